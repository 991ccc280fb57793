//! Other nodes as their summaries tell of them, and the choice among them.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use admission::LengthClass;
use rand::{Rng, RngExt};
use types::{AdapterId, ModelId, ModelVersion, NodeId, PlanKind, PromptJob, RequestId, ZoneId};

use crate::{NodeSummary, PoolSummary};

/// Forwarded prompts remembered for one node.
const FORWARD_LIMIT: usize = 256;
/// Longest time a node is left out.
const AVOID_LIMIT: Duration = Duration::from_secs(1);
/// Nodes drawn for a choice.
const CHOICES: usize = 8;
/// How much likelier a node with half the wait is drawn, as a power of two.
const WAIT_POWER: i32 = 4;
/// Expected wait below which nodes count as alike.
const WAIT_MIN: Duration = Duration::from_millis(1);
/// Expected delay of a short prompt where all engines prefill longer work.
const LONG_DELAY: Duration = Duration::from_millis(40);
/// Expected delay of a short prompt behind another one.
const SHORT_DELAY: Duration = Duration::from_millis(150);

/// One prompt handed to another node, until its summary can tell of it.
#[derive(Clone, Debug)]
struct ForwardedWork {
    request: RequestId,
    short: bool,
    ends: Instant,
}

#[derive(Debug)]
pub(crate) struct PeerView {
    pub(crate) summary: NodeSummary,
    pub(crate) taken: Instant,
    forwarded: VecDeque<ForwardedWork>,
    avoided_until: Option<Instant>,
}

/// Another node that could take a prompt, with its expected wait there.
#[derive(Clone, Debug)]
pub(crate) struct PeerOffer {
    pub(crate) node: NodeId,
    pub(crate) wait: Duration,
    /// Whether it is in another zone.
    far: bool,
}

/// A prompt that looks for another node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OfferQuery<'a> {
    pub(crate) job: &'a PromptJob,
    pub(crate) class: LengthClass,
    /// Zone that is preferred where it is free.
    pub(crate) zone: &'a ZoneId,
    /// Nodes that had the prompt already.
    pub(crate) handed: &'a [NodeId],
    /// Age at which a summary is not used any more.
    pub(crate) lifetime: Duration,
}

/// What a prompt needs of a pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolNeed<'a> {
    pub(crate) model: &'a ModelId,
    pub(crate) version: &'a ModelVersion,
    pub(crate) adapter: Option<&'a AdapterId>,
}

impl<'a> PoolNeed<'a> {
    pub(crate) fn of(job: &'a PromptJob) -> Self {
        Self {
            model: &job.model,
            version: &job.version,
            adapter: job.adapter.as_ref(),
        }
    }

    fn met_by(&self, pool: &PoolSummary) -> bool {
        let adapter = self
            .adapter
            .is_none_or(|adapter| pool.adapters.contains(adapter));
        pool.engines > 0 && pool.model == *self.model && pool.version == *self.version && adapter
    }
}

/// All other nodes heard of lately.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    peers: BTreeMap<NodeId, PeerView>,
}

impl PeerTable {
    /// Takes a summary unless a newer one is known. A summary of a new life
    /// of the node starts at a low sequence again, so one is also taken when
    /// the known one has outlived `lifetime`.
    pub(crate) fn update(
        &mut self,
        now: Instant,
        lifetime: Duration,
        summary: NodeSummary,
    ) -> bool {
        let Some(peer) = self.peers.get_mut(&summary.node) else {
            let view = PeerView {
                taken: now,
                forwarded: VecDeque::new(),
                avoided_until: None,
                summary,
            };
            self.peers.insert(view.summary.node.clone(), view);
            return true;
        };
        let stale = now.saturating_duration_since(peer.taken) > lifetime;
        let restarted = summary.sequence == 1;
        if summary.sequence <= peer.summary.sequence && !stale && !restarted {
            return false;
        }
        peer.taken = now;
        peer.summary = summary;
        peer.forwarded.retain(|forwarded| forwarded.ends > now);
        true
    }

    pub(crate) fn remove(&mut self, node: &NodeId) {
        self.peers.remove(node);
    }

    /// Peers whose summaries are in date.
    pub(crate) fn fresh(
        &self,
        now: Instant,
        lifetime: Duration,
    ) -> impl Iterator<Item = &PeerView> {
        self.peers
            .values()
            .filter(move |peer| now.saturating_duration_since(peer.taken) <= lifetime)
    }

    /// Notes that a prompt was handed to a node.
    pub(crate) fn forwarded(
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
        peer.forwarded.retain(|forwarded| forwarded.ends > now);
        if peer.forwarded.len() >= FORWARD_LIMIT {
            peer.forwarded.pop_front();
        }
        peer.forwarded.push_back(ForwardedWork {
            request,
            short: class == LengthClass::Short,
            ends: now + work.saturating_add(Duration::from_millis(20)),
        });
    }

    /// Forgets a prompt that a node has no more.
    pub(crate) fn forget_forward(&mut self, node: &NodeId, request: &RequestId) {
        if let Some(peer) = self.peers.get_mut(node) {
            peer.forwarded
                .retain(|forwarded| forwarded.request != *request);
        }
    }

    /// Leaves a node out for a while after it could not be reached or had no
    /// engine for a prompt.
    pub(crate) fn avoid(&mut self, now: Instant, node: &NodeId, pause: Duration) {
        if let Some(peer) = self.peers.get_mut(node) {
            peer.avoided_until = Some(now + pause.min(AVOID_LIMIT));
        }
    }

    /// The better of two nodes drawn at random among those that can serve.
    pub(crate) fn offer(
        &self,
        now: Instant,
        query: &OfferQuery<'_>,
        rng: &mut impl Rng,
    ) -> Option<PeerOffer> {
        let need = PoolNeed::of(query.job);
        let mut candidates: Vec<&PeerView> = self
            .fresh(now, query.lifetime)
            .filter(|peer| peer.avoided_until.is_none_or(|until| until <= now))
            .filter(|peer| peer.pool(need).is_some() && !query.handed.contains(&peer.summary.node))
            .collect();
        let mut drawn = Vec::new();
        for _ in 0..CHOICES.min(candidates.len()) {
            let peer = candidates.swap_remove(rng.random_range(0..candidates.len()));
            let offer = peer.offer(now, need, query);
            drawn.extend(offer);
        }
        if query.class == LengthClass::Short {
            return weighted(drawn, rng);
        }
        drawn
            .into_iter()
            .min_by_key(|offer| (offer.wait, offer.far, offer.node.clone()))
    }
}

/// Draws one of the offers: the shorter the wait the likelier, so that nodes
/// with the same view spread out.
fn weighted(offers: Vec<PeerOffer>, rng: &mut impl Rng) -> Option<PeerOffer> {
    let total: f64 = offers.iter().map(PeerOffer::weight).sum();
    let mut left = rng.random::<f64>() * total;
    let chosen = offers.iter().position(|offer| {
        left -= offer.weight();
        left <= 0.0
    });
    offers.into_iter().nth(chosen.unwrap_or(0))
}

impl PeerOffer {
    fn weight(&self) -> f64 {
        let wait = self.wait.max(WAIT_MIN).as_secs_f64();
        wait.powi(-WAIT_POWER)
    }
}

impl PeerView {
    pub(crate) fn pool(&self, need: PoolNeed<'_>) -> Option<&PoolSummary> {
        self.summary.pools.iter().find(|pool| need.met_by(pool))
    }

    /// Expected delay there: what it told, and what was handed to it since.
    fn offer(&self, now: Instant, need: PoolNeed<'_>, query: &OfferQuery<'_>) -> Option<PeerOffer> {
        let pool = self.pool(need)?;
        let wait = match (query.job.plan, query.class) {
            (PlanKind::Paying, LengthClass::Short) => self.short_wait(now, pool),
            (PlanKind::Paying, _) => pool.long_wait + self.pending(now, pool),
            (PlanKind::Trial, _) => pool.trial_wait + self.pending(now, pool),
        };
        Some(PeerOffer {
            node: self.summary.node.clone(),
            wait,
            far: self.summary.zone != *query.zone,
        })
    }

    /// Expected delay of a short prompt: nothing if an engine is free of all
    /// prefill, a step if one prefills longer work only, else the rest of
    /// another short one.
    fn short_wait(&self, now: Instant, pool: &PoolSummary) -> Duration {
        let open = pool.engines.saturating_sub(pool.lent);
        if open == 0 {
            return pool.short_wait + SHORT_DELAY;
        }
        let load = f64::from(pool.short_load_thousandths) / 1_000.0;
        let handed = self.handed_short(now);
        let no_calm = chance(load, pool.calm, handed);
        let no_open = chance(load, open, handed);
        LONG_DELAY.mul_f64(no_calm) + SHORT_DELAY.mul_f64(no_open)
    }

    fn handed_short(&self, now: Instant) -> u32 {
        let handed = self
            .forwarded
            .iter()
            .filter(|forwarded| forwarded.short && forwarded.ends > now);
        u32::try_from(handed.count()).unwrap_or(u32::MAX)
    }

    /// Longer work handed to the node that its summary does not tell of.
    fn pending(&self, now: Instant, pool: &PoolSummary) -> Duration {
        let pending: Duration = self
            .forwarded
            .iter()
            .filter(|forwarded| !forwarded.short)
            .map(|forwarded| forwarded.ends.saturating_duration_since(now))
            .sum();
        pending / pool.engines.max(1)
    }
}

/// Chance that all of `engines` engines are busy with a load of `load`
/// engines, when `handed` of them are known to be.
fn chance(load: f64, engines: u32, handed: u32) -> f64 {
    let Some(left) = engines.checked_sub(handed).filter(|left| *left > 0) else {
        return 1.0;
    };
    let busy = (load / f64::from(engines)).clamp(0.05, 0.95);
    busy.powi(i32::try_from(left).unwrap_or(i32::MAX))
}
