//! What callers do: whom they ask, and whether they come back.

use std::time::{Duration, Instant};

use routing::SchedulerEvent;
use types::{NodeId, PromptJob, RequestId};

use crate::{
    BenchRequest, FleetShape,
    fleet::{HOP, MODEL, VERSION},
};

/// Times that a caller sends one request, the first included.
const SENDS_MAX: u32 = 2;

/// One caller with its request.
#[derive(Clone, Debug)]
pub(crate) struct CallerState {
    pub(crate) spec: BenchRequest,
    /// Node that the caller reached.
    pub(crate) entry: usize,
    /// When the caller sent it first.
    pub(crate) sent: Instant,
    pub(crate) deadline: Instant,
    /// Times it was sent.
    pub(crate) sends: u32,
    /// Flights of it that are not over.
    pub(crate) flights: Vec<usize>,
    /// Node that a forwarded request waits or runs on.
    pub(crate) forwarded: Option<usize>,
}

impl CallerState {
    pub(crate) fn new(shape: &FleetShape, start: Instant, spec: &BenchRequest) -> Self {
        let nodes = shape.nodes_in(&shape.zone_of(spec.zone));
        let count = u64::try_from(nodes.len()).unwrap_or(1);
        let place = usize::try_from(spec.pick % count).unwrap_or(0);
        let sent = start + spec.at;
        Self {
            entry: nodes[place],
            sent,
            deadline: sent + spec.patience,
            sends: 0,
            flights: Vec::new(),
            forwarded: None,
            spec: spec.clone(),
        }
    }

    /// The id under which the request was sent last.
    pub(crate) fn request_id(&self) -> RequestId {
        format!("r{}-{}", self.spec.index, self.sends)
    }

    /// When the caller sends it again after a refusal; `None` when it gives
    /// up.
    pub(crate) fn comes_back(&self, now: Instant, retry_after: Duration) -> Option<Instant> {
        let back = now + HOP + retry_after + HOP;
        (self.sends < SENDS_MAX && back < self.deadline).then_some(back)
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

/// Place of the request that an id was made for.
pub(crate) fn request_place(id: &RequestId) -> Option<usize> {
    let digits = id.strip_prefix('r')?;
    let place = digits.split('-').next()?;
    place.parse().ok()
}
