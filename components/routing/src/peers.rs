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
/// Longest time a node is left out after it refused.
const AVOID_LIMIT: Duration = Duration::from_secs(1);
/// Nodes drawn for a choice.
const CHOICES: usize = 2;

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

    /// Leaves a node out for a while after it refused or failed.
    pub(crate) fn refused(&mut self, now: Instant, node: &NodeId, pause: Duration) {
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
        let mut best: Option<(Duration, bool, NodeId)> = None;
        for _ in 0..CHOICES.min(candidates.len()) {
            let drawn = candidates.swap_remove(rng.random_range(0..candidates.len()));
            let Some(wait) = drawn.wait(now, need, query.class, query.job.plan) else {
                continue;
            };
            let entry = (
                wait,
                drawn.summary.zone != *query.zone,
                drawn.summary.node.clone(),
            );
            if best.as_ref().is_none_or(|known| entry < *known) {
                best = Some(entry);
            }
        }
        best.map(|(wait, _, node)| PeerOffer { node, wait })
    }
}

impl PeerView {
    pub(crate) fn pool(&self, need: PoolNeed<'_>) -> Option<&PoolSummary> {
        self.summary.pools.iter().find(|pool| need.met_by(pool))
    }

    /// Expected wait there: what it told, and what was handed to it since.
    fn wait(
        &self,
        now: Instant,
        need: PoolNeed<'_>,
        class: LengthClass,
        plan: PlanKind,
    ) -> Option<Duration> {
        let pool = self.pool(need)?;
        let told = match (plan, class) {
            (PlanKind::Trial, _) => pool.trial_wait,
            (PlanKind::Paying, LengthClass::Short) => pool.short_wait,
            (PlanKind::Paying, _) => pool.long_wait,
        };
        let mut pending = Duration::ZERO;
        let mut count = 0;
        for forwarded in &self.forwarded {
            let counts = forwarded.short || class != LengthClass::Short;
            if counts && forwarded.ends > now {
                pending += forwarded.ends - now;
                count += 1;
            }
        }
        if count < pool.idle {
            return Some(told);
        }
        Some(told + pending / pool.engines.max(1))
    }
}
