//! Engines that nodes keep free for groups, and pauses after refusals.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use types::{EngineId, NodeId, RequestId};

use crate::EngineClaim;

/// Time a claim of another node counts after it was heard.
const CLAIM_LIFETIME: Duration = Duration::from_secs(5);
/// Most engines of other nodes named in a summary.
const CLAIMS_MAX: usize = 8;

#[derive(Clone, Copy, Debug)]
pub(crate) struct GangBackoff {
    pub(crate) until: Instant,
    pub(crate) refusals: u32,
}

#[derive(Clone, Debug)]
struct ForeignClaim {
    node: NodeId,
    waiting_since: Instant,
    received_at: Instant,
}

/// Reservations wanted and refused.
#[derive(Debug, Default)]
pub(crate) struct GangPlanner {
    /// Engines kept free for the prompt that waits longest in each pool.
    pub(crate) earmarked: BTreeMap<EngineId, (RequestId, Instant)>,
    pub(crate) backoffs: HashMap<RequestId, GangBackoff>,
    pub(crate) refused: BTreeMap<EngineId, Instant>,
    claims: BTreeMap<EngineId, ForeignClaim>,
}

impl GangPlanner {
    /// Whether the engine is kept free for a group, of this node or another.
    pub(crate) fn is_earmarked(&self, engine: &EngineId) -> bool {
        self.earmarked.contains_key(engine) || self.claims.contains_key(engine)
    }

    /// Whether a group was refused to the request before.
    pub(crate) fn has_backoff(&self, request: &RequestId) -> bool {
        self.backoffs.contains_key(request)
    }

    /// Takes the claims that another node tells of.
    pub(crate) fn replace_claims(&mut self, now: Instant, node: &NodeId, claims: &[EngineClaim]) {
        self.forget_node(node);
        for claim in claims {
            let waiting_since = now.checked_sub(claim.waited).unwrap_or(now);
            let known = self.claims.get(&claim.engine);
            if known.is_some_and(|known| (known.waiting_since, &known.node) < (waiting_since, node))
            {
                continue;
            }
            let foreign_claim = ForeignClaim {
                node: node.clone(),
                waiting_since,
                received_at: now,
            };
            self.claims.insert(claim.engine.clone(), foreign_claim);
        }
    }

    pub(crate) fn forget_node(&mut self, node: &NodeId) {
        self.claims.retain(|_, claim| claim.node != *node);
    }

    /// Claims to tell of: wanted engines that are not in `owned`.
    pub(crate) fn claims_on_others(
        &self,
        now: Instant,
        owned: impl Fn(&EngineId) -> bool,
    ) -> Vec<EngineClaim> {
        self.earmarked
            .iter()
            .filter(|(engine, _)| !owned(engine))
            .take(CLAIMS_MAX)
            .map(|(engine, (_, waiting_since))| EngineClaim {
                engine: engine.clone(),
                waited: now.saturating_duration_since(*waiting_since),
            })
            .collect()
    }

    /// Drops what has expired, and what was wanted for `request`.
    pub(crate) fn release_earmarks(&mut self, now: Instant, request: &RequestId) {
        self.earmarked
            .retain(|_, (earmarked_for, _)| earmarked_for != request);
        self.refused.retain(|_, until| *until > now);
        self.claims
            .retain(|_, claim| now.saturating_duration_since(claim.received_at) < CLAIM_LIFETIME);
    }

    /// Drops what has expired, and what belongs to requests that don't wait
    /// any more.
    pub(crate) fn prune(&mut self, now: Instant, is_queued: impl Fn(&RequestId) -> bool) {
        self.earmarked.retain(|_, (request, _)| is_queued(request));
        self.backoffs
            .retain(|request, backoff| backoff.until > now || is_queued(request));
        self.refused.retain(|_, until| *until > now);
        self.claims
            .retain(|_, claim| now.saturating_duration_since(claim.received_at) < CLAIM_LIFETIME);
    }

    pub(crate) fn forget_request(&mut self, request: &RequestId) {
        self.earmarked
            .retain(|_, (earmarked_for, _)| earmarked_for != request);
        self.backoffs.remove(request);
    }

    /// Whether another node that waits longer claims the engine.
    pub(crate) fn claimed_by_longer_waiter(
        &self,
        engine: &EngineId,
        waiting_since: Instant,
        node: &NodeId,
    ) -> bool {
        self.claims
            .get(engine)
            .is_some_and(|claim| (claim.waiting_since, &claim.node) < (waiting_since, node))
    }
}
