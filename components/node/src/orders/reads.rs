//! Idempotent reads of plain services, with a deadline, one retry on another
//! process within a retry budget, and a circuit breaker for each process.
//! Orders never take this path.

use std::{collections::BTreeMap, time::Duration};

use errors::{SendPhase, UpstreamError};
use orders::{CircuitBreaker, RetryBudget};
use types::UpstreamId;
use upstream::ServiceResponse;

use super::{OrderService, ServicePeer};

/// Settings of one read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReadSettings {
    /// Time left until the caller's deadline; later answers are of no use.
    pub deadline_in: Duration,
    /// W3C trace context of the hop.
    pub traceparent: String,
}

/// How a read ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadOutcome {
    /// A process answered, with any HTTP status.
    Answered {
        /// Process that answered.
        peer: UpstreamId,
        /// Answer of the process.
        answer: ServiceResponse,
    },
    /// The release note in force names no such service.
    ServiceUnknown,
    /// Nothing was sent: there is no process, the circuit breaker of each one is
    /// open, or no time was left.
    NoPeer,
    /// The last attempt failed.
    Failed(UpstreamError),
}

/// Retry budget and circuit breakers of this node's reads.
#[derive(Debug, Default)]
pub(crate) struct ReadLimiter {
    budget: RetryBudget,
    breakers: BTreeMap<UpstreamId, CircuitBreaker>,
}

impl OrderService {
    /// Reads from a plain service. If the first process fails, retries once on
    /// another one while time is left and the retry budget allows it.
    pub async fn read(&self, service: &str, path: &str, settings: &ReadSettings) -> ReadOutcome {
        let Some(target) = (self.resolver)(service) else {
            return ReadOutcome::ServiceUnknown;
        };
        let deadline = self.clock().now() + settings.deadline_in;
        self.with_limiter(|limiter| limiter.budget.deposit());
        let mut failure = None;
        for peer in target.peers {
            let left = deadline.saturating_duration_since(self.clock().now());
            let limit = left.min(target.timeout);
            if limit.is_zero() || !self.may_read(&peer) {
                continue;
            }
            let is_retry = failure.is_some();
            if is_retry && !self.with_limiter(|limiter| limiter.budget.try_withdraw()) {
                break;
            }
            match self.read_once(&peer, path, limit, settings).await {
                Ok(answer) => {
                    let peer = peer.id;
                    return ReadOutcome::Answered { peer, answer };
                }
                Err(error) if is_retry => return ReadOutcome::Failed(error),
                Err(error) => failure = Some(error),
            }
        }
        failure.map_or(ReadOutcome::NoPeer, ReadOutcome::Failed)
    }

    fn may_read(&self, peer: &ServicePeer) -> bool {
        let now = self.clock().now();
        self.with_limiter(|limiter| {
            let breaker = limiter.breakers.entry(peer.id.clone()).or_default();
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
        self.with_limiter(|limiter| {
            let answered = result.as_ref().is_ok_and(|answer| answer.status < 500);
            if answered {
                // A closed breaker equals a missing one, so that only failing
                // processes take memory.
                limiter.breakers.remove(&peer.id);
                return;
            }
            let breaker = limiter.breakers.entry(peer.id.clone()).or_default();
            breaker.record_failure(now);
        });
        result
    }
}
