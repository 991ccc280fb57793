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
const CLAIM_LIMIT: usize = 8;

#[derive(Clone, Copy, Debug)]
pub(crate) struct GangBackoff {
    pub(crate) until: Instant,
    pub(crate) refusals: u32,
}

#[derive(Clone, Debug)]
struct ForeignClaim {
    node: NodeId,
    since: Instant,
    heard: Instant,
}

/// Reservations wanted and refused.
#[derive(Debug, Default)]
pub(crate) struct GangPlanner {
    /// Engines kept free for the prompt that waits longest in each pool.
    pub(crate) wanted: BTreeMap<EngineId, (RequestId, Instant)>,
    pub(crate) backoffs: HashMap<RequestId, GangBackoff>,
    pub(crate) refused: BTreeMap<EngineId, Instant>,
    claims: BTreeMap<EngineId, ForeignClaim>,
}

impl GangPlanner {
    /// Whether the engine is kept free for a group, of this node or another.
    pub(crate) fn reserves(&self, engine: &EngineId) -> bool {
        self.wanted.contains_key(engine) || self.claims.contains_key(engine)
    }

    /// Whether a group was refused to the request before.
    pub(crate) fn backs_off(&self, request: &RequestId) -> bool {
        self.backoffs.contains_key(request)
    }

    /// Takes the claims that another node tells of.
    pub(crate) fn take_claims(&mut self, now: Instant, node: &NodeId, claims: &[EngineClaim]) {
        self.forget_node(node);
        for claim in claims {
            let since = now.checked_sub(claim.waited).unwrap_or(now);
            let known = self.claims.get(&claim.engine);
            if known.is_some_and(|known| (known.since, &known.node) < (since, node)) {
                continue;
            }
            let claim_heard = ForeignClaim {
                node: node.clone(),
                since,
                heard: now,
            };
            self.claims.insert(claim.engine.clone(), claim_heard);
        }
    }

    pub(crate) fn forget_node(&mut self, node: &NodeId) {
        self.claims.retain(|_, claim| claim.node != *node);
    }

    /// Claims to tell of: wanted engines that are not in `owned`.
    pub(crate) fn claims(
        &self,
        now: Instant,
        owned: impl Fn(&EngineId) -> bool,
    ) -> Vec<EngineClaim> {
        self.wanted
            .iter()
            .filter(|(engine, _)| !owned(engine))
            .take(CLAIM_LIMIT)
            .map(|(engine, (_, since))| EngineClaim {
                engine: engine.clone(),
                waited: now.saturating_duration_since(*since),
            })
            .collect()
    }

    /// Drops what has expired, and what was wanted for `request`.
    pub(crate) fn release(&mut self, now: Instant, request: &RequestId) {
        self.wanted.retain(|_, (wanted, _)| wanted != request);
        self.refused.retain(|_, until| *until > now);
        self.claims
            .retain(|_, claim| now.saturating_duration_since(claim.heard) < CLAIM_LIFETIME);
    }

    /// Drops what has expired, and what belongs to requests that don't wait
    /// any more.
    pub(crate) fn prune(&mut self, now: Instant, waits: impl Fn(&RequestId) -> bool) {
        self.wanted.retain(|_, (request, _)| waits(request));
        self.backoffs
            .retain(|request, backoff| backoff.until > now || waits(request));
        self.refused.retain(|_, until| *until > now);
        self.claims
            .retain(|_, claim| now.saturating_duration_since(claim.heard) < CLAIM_LIFETIME);
    }

    pub(crate) fn forget(&mut self, request: &RequestId) {
        self.wanted.retain(|_, (wanted, _)| wanted != request);
        self.backoffs.remove(request);
    }

    /// Whether another node that waits longer claims the engine.
    pub(crate) fn yields(&self, engine: &EngineId, since: Instant, node: &NodeId) -> bool {
        self.claims
            .get(engine)
            .is_some_and(|claim| (claim.since, &claim.node) < (since, node))
    }
}
