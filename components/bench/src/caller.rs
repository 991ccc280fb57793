//! Simulated callers: which node they reach and when they retry.

use std::time::{Duration, Instant};

use routing::SchedulerEvent;
use types::{NodeId, PromptJob, RequestId};

use crate::{
    BenchRequest, FleetShape,
    fleet::{HOP_DELAY, MODEL, VERSION},
};

/// Times that a caller sends one request, including the first.
const SENDS_MAX: u32 = 2;

/// A caller and the progress of its request.
#[derive(Clone, Debug)]
pub(crate) struct CallerState {
    pub(crate) spec: BenchRequest,
    /// Entry node that the caller reached.
    pub(crate) entry: usize,
    /// When the caller first sent the request.
    pub(crate) first_sent: Instant,
    pub(crate) deadline: Instant,
    /// Times the request has reached its entry node.
    pub(crate) send_count: u32,
    /// Its attempts in flight, as indices.
    pub(crate) attempts: Vec<usize>,
    /// Node that the request was forwarded to.
    pub(crate) forwarded: Option<usize>,
}

impl CallerState {
    pub(crate) fn new(shape: &FleetShape, start: Instant, spec: &BenchRequest) -> Self {
        let nodes = shape.nodes_in(&shape.zone_of(spec.zone));
        let count = u64::try_from(nodes.len()).unwrap_or(1);
        let index = usize::try_from(spec.pick % count).unwrap_or(0);
        let first_sent = start + spec.at;
        Self {
            entry: nodes[index],
            first_sent,
            deadline: first_sent + spec.timeout,
            send_count: 0,
            attempts: Vec::new(),
            forwarded: None,
            spec: spec.clone(),
        }
    }

    /// Id of the send that reached the entry node last.
    pub(crate) fn request_id(&self) -> RequestId {
        format!("r{}-{}", self.spec.index, self.send_count)
    }

    /// When a retry after a refusal reaches the entry node; `None` when the caller
    /// gives up.
    pub(crate) fn retry_at(&self, now: Instant, retry_after: Duration) -> Option<Instant> {
        let arrival = now + HOP_DELAY + retry_after + HOP_DELAY;
        (self.send_count < SENDS_MAX && arrival < self.deadline).then_some(arrival)
    }

    pub(crate) fn arrival(
        &self,
        shape: &FleetShape,
        now: Instant,
        via: Option<NodeId>,
    ) -> SchedulerEvent {
        let spec = &self.spec;
        let job = PromptJob {
            request: self.request_id(),
            organisation: spec.organisation.clone(),
            plan: spec.plan,
            weight: 1,
            model: MODEL.to_owned(),
            version: VERSION.to_owned(),
            adapter: None,
            note_version: 1,
            prompt_tokens: spec.prompt_tokens,
            output_tokens: spec.output_tokens,
            prefixes: spec.prefixes.clone(),
            zone: shape.zone_of(self.entry),
            arrived: now,
            deadline: self.deadline,
        };
        SchedulerEvent::Arrived { job, via }
    }
}

/// Index of the request that an id was made for.
pub(crate) fn request_index(id: &RequestId) -> Option<usize> {
    let digits = id.strip_prefix('r')?;
    let index = digits.split('-').next()?;
    index.parse().ok()
}
