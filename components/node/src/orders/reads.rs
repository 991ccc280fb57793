//! Idempotent reads of plain services: a deadline, one retry elsewhere out of
//! a budget, a circuit breaker for each process. Orders never come here.

use std::{collections::BTreeMap, time::Duration};

use errors::{SendPhase, UpstreamError};
use orders::{CircuitBreaker, RetryBudget};
use types::UpstreamId;
use upstream::ServiceResponse;

use super::{OrderService, ServicePeer};

/// Limits of one read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReadSettings {
    /// Time after which the caller has no more use for the answer.
    pub deadline_in: Duration,
    /// W3C trace context of the hop.
    pub traceparent: String,
}

/// How a read ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadOutcome {
    /// A process answered.
    Answered {
        /// Which.
        peer: UpstreamId,
        /// What.
        answer: ServiceResponse,
    },
    /// The release note in force names no such service.
    ServiceUnknown,
    /// Each process is broken off, or there is none.
    NoPeer,
    /// The last try failed.
    Failed(UpstreamError),
}

/// Retry budget and breakers of this node's reads.
#[derive(Debug, Default)]
pub(crate) struct ReadGate {
    budget: RetryBudget,
    breakers: BTreeMap<UpstreamId, CircuitBreaker>,
}

impl OrderService {
    /// Reads from a plain service, and once more from another process if the
    /// first fails, time is left and the budget allows it.
    pub async fn read(&self, service: &str, path: &str, settings: &ReadSettings) -> ReadOutcome {
        let Some(target) = (self.resolver)(service) else {
            return ReadOutcome::ServiceUnknown;
        };
        let deadline = self.clock().now() + settings.deadline_in;
        self.with_reads(|gate| gate.budget.earn());
        let mut failure = None;
        for peer in target.peers {
            let left = deadline.saturating_duration_since(self.clock().now());
            let limit = left.min(target.timeout);
            if limit.is_zero() || !self.may_read(&peer) {
                continue;
            }
            let retries = failure.is_some();
            if retries && !self.with_reads(|gate| gate.budget.spend()) {
                break;
            }
            match self.read_once(&peer, path, limit, settings).await {
                Ok(answer) => {
                    let peer = peer.id;
                    return ReadOutcome::Answered { peer, answer };
                }
                Err(error) if retries => return ReadOutcome::Failed(error),
                Err(error) => failure = Some(error),
            }
        }
        failure.map_or(ReadOutcome::NoPeer, ReadOutcome::Failed)
    }

    fn may_read(&self, peer: &ServicePeer) -> bool {
        let now = self.clock().now();
        self.with_reads(|gate| {
            let breaker = gate.breakers.entry(peer.id.clone()).or_default();
            breaker.admit(now)
        })
    }

    async fn read_once(
        &self,
        peer: &ServicePeer,
        path: &str,
        limit: Duration,
        settings: &ReadSettings,
    ) -> Result<ServiceResponse, UpstreamError> {
        let read = peer.client.read(path, limit, &settings.traceparent);
        let result = self.clock().timeout(limit, read).await;
        let result = result.unwrap_or_else(|| {
            Err(UpstreamError::Overdue {
                step: "service read".to_owned(),
                peer: peer.id.clone(),
                phase: SendPhase::AfterFirstByte,
            })
        });
        let now = self.clock().now();
        self.with_reads(|gate| {
            let answered = result.as_ref().is_ok_and(|answer| answer.status < 500);
            if answered {
                // Peers that answer, or are gone, take no memory.
                gate.breakers.remove(&peer.id);
                return;
            }
            let breaker = gate.breakers.entry(peer.id.clone()).or_default();
            breaker.failed(now);
        });
        result
    }
}
