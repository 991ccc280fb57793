//! Attempts in flight: on the way to engines, reserved or running.

use std::time::Duration;

use model::{AttemptSpec, HoldSpec, SequenceId};
use types::{AttemptId, RequestId, TokenCount};

use crate::{BenchRequest, fleet::HOP_DELAY};

/// Lease time of a memory hold; an engine frees it unless it is renewed.
pub(crate) const HOLD_LIFETIME: Duration = Duration::from_secs(10);
/// Time between renewals of memory holds.
pub(crate) const RENEW_PERIOD: Duration = Duration::from_millis(200);
/// Delay between the reservations and the start of a gang: the answers return
/// and the start call goes out.
pub(crate) const GANG_START_DELAY: Duration = HOP_DELAY.saturating_mul(2);

/// Stage of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AttemptStage {
    /// Sent, not yet at its engines.
    Sent,
    /// Memory is reserved on all its engines.
    Reserved,
    /// Submitted to its leading engine.
    Running,
    /// Finished, failed or cancelled.
    Ended,
}

/// One attempt of a request and its engines.
#[derive(Clone, Debug)]
pub(crate) struct InFlightAttempt {
    /// Index of its request.
    pub(crate) request: usize,
    pub(crate) id: RequestId,
    pub(crate) attempt: AttemptId,
    /// Node that dispatched it.
    pub(crate) node: usize,
    /// Its engines as indices; the first leads the gang and runs the sequence.
    pub(crate) engines: Vec<usize>,
    pub(crate) priority: u32,
    pub(crate) resume_at: TokenCount,
    pub(crate) stage: AttemptStage,
    pub(crate) sequence: Option<SequenceId>,
    /// Whether the further engines lend compute to it.
    pub(crate) lending: bool,
    /// Whether its node cancelled it; its later events are dropped.
    pub(crate) cancelled: bool,
    /// Whether its first token was reported to its node.
    pub(crate) first_token_reported: bool,
}

impl InFlightAttempt {
    pub(crate) fn new(
        request: usize,
        id: RequestId,
        attempt: AttemptId,
        node: usize,
        engines: Vec<usize>,
        priority: u32,
    ) -> Self {
        Self {
            request,
            id,
            attempt,
            node,
            engines,
            priority,
            resume_at: 0,
            stage: AttemptStage::Sent,
            sequence: None,
            lending: false,
            cancelled: false,
            first_token_reported: false,
        }
    }

    pub(crate) fn leader(&self) -> usize {
        self.engines[0]
    }

    pub(crate) fn members(&self) -> &[usize] {
        &self.engines[1..]
    }

    pub(crate) fn is_gang(&self) -> bool {
        self.engines.len() > 1
    }

    /// Memory that each engine of the gang holds, in tokens.
    pub(crate) fn memory_share(&self, spec: &BenchRequest) -> TokenCount {
        let engines = u64::try_from(self.engines.len()).unwrap_or(1);
        (spec.prompt_tokens + spec.output_tokens).div_ceil(engines)
    }

    pub(crate) fn hold(&self, spec: &BenchRequest, holder: String) -> HoldSpec {
        HoldSpec {
            request: self.id.clone(),
            attempt: self.attempt,
            holder,
            tokens: self.memory_share(spec),
            lifetime: HOLD_LIFETIME,
        }
    }

    pub(crate) fn attempt_spec(&self, spec: &BenchRequest) -> AttemptSpec {
        let members = u64::try_from(self.members().len()).unwrap_or(0);
        AttemptSpec {
            request: self.id.clone(),
            attempt: self.attempt,
            priority: self.priority,
            prompt_tokens: spec.prompt_tokens,
            resume_at: self.resume_at,
            output_tokens: spec.output_tokens,
            answer_tokens: spec.answer_tokens,
            prefixes: spec.prefixes.clone(),
            members: u32::try_from(members).unwrap_or(u32::MAX),
            member_tokens: self.memory_share(spec) * members,
        }
    }
}
