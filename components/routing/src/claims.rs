//! Engines that nodes earmark for gangs, and backoff after refused
//! reservations.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use types::{EngineId, NodeId, RequestId};

use crate::EngineClaim;

/// Time for which another node's claim is honoured after it was received.
const CLAIM_LIFETIME: Duration = Duration::from_secs(5);
/// Largest number of claims in one summary.
const CLAIMS_MAX: usize = 8;

#[derive(Clone, Copy, Debug)]
pub(crate) struct GangBackoff {
    pub(crate) until: Instant,
    pub(crate) refusals: u32,
}

#[derive(Clone, Debug)]
struct PeerClaim {
    node: NodeId,
    waiting_since: Instant,
    received_at: Instant,
}

/// Engines that are kept free for gangs, here and by claims of other nodes, and
/// refused reservations.
#[derive(Debug, Default)]
pub(crate) struct GangTable {
    /// Engines that this node keeps free for the first gang prompt of a pool's
    /// queue: the prompt's request, and when it began to wait. They get no new
    /// medium or long work. Earmarks on engines of other nodes are published
    /// as claims.
    pub(crate) earmarked: BTreeMap<EngineId, (RequestId, Instant)>,
    /// Requests with a refused reservation, and when to try again.
    pub(crate) backoffs: HashMap<RequestId, GangBackoff>,
    /// Engines that refused a reservation, and until when they are left out.
    pub(crate) refused: BTreeMap<EngineId, Instant>,
    /// Engines that other nodes keep free for their gangs.
    claims: BTreeMap<EngineId, PeerClaim>,
}

impl GangTable {
    /// Whether the engine is earmarked for a gang of this node or claimed by
    /// another node.
    pub(crate) fn is_earmarked_or_claimed(&self, engine: &EngineId) -> bool {
        self.earmarked.contains_key(engine) || self.claims.contains_key(engine)
    }

    /// Whether a reservation for the request was refused before.
    pub(crate) fn has_backoff(&self, request: &RequestId) -> bool {
        self.backoffs.contains_key(request)
    }

    /// Replaces the claims of another node by those in its summary. Of two
    /// claims on one engine, the one that has waited longer is kept.
    pub(crate) fn replace_claims(&mut self, now: Instant, node: &NodeId, claims: &[EngineClaim]) {
        self.forget_node(node);
        for claim in claims {
            let waiting_since = now.checked_sub(claim.waited).unwrap_or(now);
            let known = self.claims.get(&claim.engine);
            if known.is_some_and(|known| (known.waiting_since, &known.node) < (waiting_since, node))
            {
                continue;
            }
            let peer_claim = PeerClaim {
                node: node.clone(),
                waiting_since,
                received_at: now,
            };
            self.claims.insert(claim.engine.clone(), peer_claim);
        }
    }

    pub(crate) fn forget_node(&mut self, node: &NodeId) {
        self.claims.retain(|_, claim| claim.node != *node);
    }

    /// Claims to publish: earmarked engines that are not in `owned`.
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

    /// Drops the earmarks of `request`, and the refusals and the claims of
    /// other nodes that have expired.
    pub(crate) fn drop_earmarks_and_expired(&mut self, now: Instant, request: &RequestId) {
        self.earmarked
            .retain(|_, (earmarked_for, _)| earmarked_for != request);
        self.refused.retain(|_, until| *until > now);
        self.claims
            .retain(|_, claim| now.saturating_duration_since(claim.received_at) < CLAIM_LIFETIME);
    }

    /// Drops the earmarks of requests that are not queued, expired refusals and
    /// claims, and expired backoffs of requests that are not queued.
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

    /// Whether another node claims the engine for a prompt that has waited
    /// longer. The node's id breaks ties.
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
