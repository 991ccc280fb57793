//! Other nodes, as known from their summaries, and the choice of one to forward
//! to.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use admission::LengthClass;
use rand::{Rng, RngExt};
use types::{AdapterId, ModelId, ModelVersion, NodeId, PlanKind, PromptJob, RequestId, ZoneId};

use crate::{NodeSummary, PoolSummary};

/// Largest number of forwarded prompts tracked per node.
const FORWARDED_WORK_MAX: usize = 256;
/// Longest time for which a node is left out after a failure.
const AVOID_TIME_MAX: Duration = Duration::from_secs(1);
/// Number of nodes sampled for one choice.
const SAMPLED_PEERS: usize = 8;
/// Exponent of the weight: a node with half the wait is 2 to this power times
/// as likely to be drawn.
const WAIT_EXPONENT: i32 = 4;
/// Wait below which nodes are treated as equal.
const WAIT_FLOOR: Duration = Duration::from_millis(1);
/// Expected delay of a short prompt when all engines prefill prompts that are
/// not short.
const LONG_PREFILL_DELAY: Duration = Duration::from_millis(40);
/// Expected delay of a short prompt behind another short one.
const SHORT_PREFILL_DELAY: Duration = Duration::from_millis(150);

/// Work forwarded to a node, counted for its expected prefill time and a margin
/// of 20 ms, while the node's summary may not include it.
#[derive(Clone, Debug)]
struct ForwardedWork {
    request: RequestId,
    short: bool,
    expires_at: Instant,
}

#[derive(Debug)]
pub(crate) struct PeerView {
    pub(crate) summary: NodeSummary,
    pub(crate) received_at: Instant,
    forwarded: VecDeque<ForwardedWork>,
    avoided_until: Option<Instant>,
}

/// Node that could take a prompt, with the expected wait there.
#[derive(Clone, Debug)]
pub(crate) struct PeerOffer {
    pub(crate) node: NodeId,
    pub(crate) wait: Duration,
    /// Whether the node is in another zone than the one asked for.
    remote_zone: bool,
}

/// Search for a node that can take a prompt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerQuery<'a> {
    pub(crate) job: &'a PromptJob,
    pub(crate) class: LengthClass,
    /// Zone preferred among nodes with the same wait.
    pub(crate) zone: &'a ZoneId,
    /// Nodes that the prompt was forwarded to before.
    pub(crate) nodes_tried: &'a [NodeId],
    /// Age above which a summary is ignored.
    pub(crate) lifetime: Duration,
}

/// A `PoolKey` that borrows from the prompt, to be compared with the pools in
/// summaries.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolKeyRef<'a> {
    pub(crate) model: &'a ModelId,
    pub(crate) version: &'a ModelVersion,
    pub(crate) adapter: Option<&'a AdapterId>,
}

impl<'a> PoolKeyRef<'a> {
    pub(crate) fn of(job: &'a PromptJob) -> Self {
        Self {
            model: &job.model,
            version: &job.version,
            adapter: job.adapter.as_ref(),
        }
    }

    fn served_by(&self, pool: &PoolSummary) -> bool {
        let adapter = self
            .adapter
            .is_none_or(|adapter| pool.adapters.contains(adapter));
        pool.engines > 0 && pool.model == *self.model && pool.version == *self.version && adapter
    }
}

/// Latest summaries of the other nodes, and the work forwarded to them since.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    peers: BTreeMap<NodeId, PeerView>,
}

impl PeerTable {
    /// Stores a summary unless a newer one is known; returns whether it was
    /// stored. Since a restarted node begins with sequence number 1 again, a
    /// summary with that number is always stored, and so is any summary that
    /// arrives more than `lifetime` after the stored one.
    pub(crate) fn update_summary(
        &mut self,
        now: Instant,
        lifetime: Duration,
        summary: NodeSummary,
    ) -> bool {
        let Some(peer) = self.peers.get_mut(&summary.node) else {
            let view = PeerView {
                received_at: now,
                forwarded: VecDeque::new(),
                avoided_until: None,
                summary,
            };
            self.peers.insert(view.summary.node.clone(), view);
            return true;
        };
        let stale = now.saturating_duration_since(peer.received_at) > lifetime;
        let restarted = summary.sequence == 1;
        if summary.sequence <= peer.summary.sequence && !stale && !restarted {
            return false;
        }
        peer.received_at = now;
        peer.summary = summary;
        peer.forwarded
            .retain(|forwarded| forwarded.expires_at > now);
        true
    }

    pub(crate) fn remove(&mut self, node: &NodeId) {
        self.peers.remove(node);
    }

    /// Peers whose summaries are no older than `lifetime`.
    pub(crate) fn current(
        &self,
        now: Instant,
        lifetime: Duration,
    ) -> impl Iterator<Item = &PeerView> {
        self.peers
            .values()
            .filter(move |peer| now.saturating_duration_since(peer.received_at) <= lifetime)
    }

    /// Counts a prompt that was forwarded to a node.
    pub(crate) fn record_forward(
        &mut self,
        now: Instant,
        node: &NodeId,
        request: RequestId,
        class: LengthClass,
        work: Duration,
    ) {
        let Some(peer) = self.peers.get_mut(node) else {
            return;
        };
        peer.forwarded
            .retain(|forwarded| forwarded.expires_at > now);
        if peer.forwarded.len() >= FORWARDED_WORK_MAX {
            peer.forwarded.pop_front();
        }
        peer.forwarded.push_back(ForwardedWork {
            request,
            short: class == LengthClass::Short,
            expires_at: now + work.saturating_add(Duration::from_millis(20)),
        });
    }

    /// Stops counting a prompt that a node no longer has.
    pub(crate) fn forget_forwarded(&mut self, node: &NodeId, request: &RequestId) {
        if let Some(peer) = self.peers.get_mut(node) {
            peer.forwarded
                .retain(|forwarded| forwarded.request != *request);
        }
    }

    /// Leaves a node out for a while after it was unreachable or had no engine
    /// for a prompt.
    pub(crate) fn avoid(&mut self, now: Instant, node: &NodeId, duration: Duration) {
        if let Some(peer) = self.peers.get_mut(node) {
            peer.avoided_until = Some(now + duration.min(AVOID_TIME_MAX));
        }
    }

    /// Chooses among a random sample of the nodes that can serve the prompt: by
    /// weighted random draw for a short prompt, by the shortest wait otherwise.
    pub(crate) fn choose_peer(
        &self,
        now: Instant,
        query: &PeerQuery<'_>,
        rng: &mut impl Rng,
    ) -> Option<PeerOffer> {
        let key = PoolKeyRef::of(query.job);
        let mut candidates: Vec<&PeerView> = self
            .current(now, query.lifetime)
            .filter(|peer| peer.avoided_until.is_none_or(|until| until <= now))
            .filter(|peer| {
                peer.pool(key).is_some() && !query.nodes_tried.contains(&peer.summary.node)
            })
            .collect();
        let mut sampled = Vec::new();
        for _ in 0..SAMPLED_PEERS.min(candidates.len()) {
            let peer = candidates.swap_remove(rng.random_range(0..candidates.len()));
            let offer = peer.peer_offer(now, key, query);
            sampled.extend(offer);
        }
        if query.class == LengthClass::Short {
            return draw_weighted(sampled, rng);
        }
        sampled
            .into_iter()
            .min_by_key(|offer| (offer.wait, offer.remote_zone, offer.node.clone()))
    }
}

/// Draws one offer at random, shorter waits with higher probability, so that
/// nodes with the same view spread over their peers.
fn draw_weighted(offers: Vec<PeerOffer>, rng: &mut impl Rng) -> Option<PeerOffer> {
    let total: f64 = offers.iter().map(PeerOffer::weight).sum();
    let mut remaining = rng.random::<f64>() * total;
    let chosen = offers.iter().position(|offer| {
        remaining -= offer.weight();
        remaining <= 0.0
    });
    offers.into_iter().nth(chosen.unwrap_or(0))
}

impl PeerOffer {
    fn weight(&self) -> f64 {
        let wait = self.wait.max(WAIT_FLOOR).as_secs_f64();
        wait.powi(-WAIT_EXPONENT)
    }
}

impl PeerView {
    pub(crate) fn pool(&self, key: PoolKeyRef<'_>) -> Option<&PoolSummary> {
        self.summary.pools.iter().find(|pool| key.served_by(pool))
    }

    /// Expected wait at the peer: the wait in its summary plus the work
    /// forwarded to it since.
    fn peer_offer(
        &self,
        now: Instant,
        key: PoolKeyRef<'_>,
        query: &PeerQuery<'_>,
    ) -> Option<PeerOffer> {
        let pool = self.pool(key)?;
        let wait = match (query.job.plan, query.class) {
            (PlanKind::Paying, LengthClass::Short) => self.short_wait(now, pool),
            (PlanKind::Paying, _) => pool.long_wait + self.forwarded_non_short_work(now, pool),
            (PlanKind::Trial, _) => pool.trial_wait + self.forwarded_non_short_work(now, pool),
        };
        Some(PeerOffer {
            node: self.summary.node.clone(),
            wait,
            remote_zone: self.summary.zone != *query.zone,
        })
    }

    /// Expected delay of a short prompt: `LONG_PREFILL_DELAY` and
    /// `SHORT_PREFILL_DELAY`, each weighted by its probability. The first
    /// applies if every engine that has no medium or longer prefill is busy, so
    /// that the prompt shares a batch with such a prefill; the second if every
    /// unshared engine is busy, so that it waits for the rest of another short
    /// prefill. If all engines are shared, the wait in the summary is used in
    /// place of the first.
    fn short_wait(&self, now: Instant, pool: &PoolSummary) -> Duration {
        let unshared = pool.engines.saturating_sub(pool.shared_engines);
        if unshared == 0 {
            return pool.short_wait + SHORT_PREFILL_DELAY;
        }
        let load_fraction = f64::from(pool.short_load_thousandths) / 1_000.0;
        let known_busy = self.forwarded_short_prompts(now);
        let long_prefill_delay_probability =
            all_busy_probability(load_fraction, pool.without_non_short_prefill, known_busy);
        let short_prefill_delay_probability =
            all_busy_probability(load_fraction, unshared, known_busy);
        LONG_PREFILL_DELAY.mul_f64(long_prefill_delay_probability)
            + SHORT_PREFILL_DELAY.mul_f64(short_prefill_delay_probability)
    }

    fn forwarded_short_prompts(&self, now: Instant) -> u32 {
        let short_prompts = self
            .forwarded
            .iter()
            .filter(|forwarded| forwarded.short && forwarded.expires_at > now);
        u32::try_from(short_prompts.count()).unwrap_or(u32::MAX)
    }

    /// Time of the forwarded prompts that are not short and that the node's
    /// summary may not include, per engine of the pool.
    fn forwarded_non_short_work(&self, now: Instant, pool: &PoolSummary) -> Duration {
        let forwarded_non_short_work: Duration = self
            .forwarded
            .iter()
            .filter(|forwarded| !forwarded.short)
            .map(|forwarded| forwarded.expires_at.saturating_duration_since(now))
            .sum();
        forwarded_non_short_work / pool.engines.max(1)
    }
}

/// Probability that all of `engines` engines are busy, given that `known_busy`
/// of them are. Each other one is taken to be busy with a probability of
/// `load_fraction / engines`, at least 0.05 and at most 0.95.
fn all_busy_probability(load_fraction: f64, engines: u32, known_busy: u32) -> f64 {
    let Some(remaining) = engines
        .checked_sub(known_busy)
        .filter(|remaining| *remaining > 0)
    else {
        return 1.0;
    };
    let busy_probability = (load_fraction / f64::from(engines)).clamp(0.05, 0.95);
    busy_probability.powi(i32::try_from(remaining).unwrap_or(i32::MAX))
}
