//! Gang scheduling: a prompt that exceeds one engine's memory runs on several
//! engines, whose memory is reserved on all of them or on none.
//!
//! A group is any attempt on several engines: either a gang, which needs their
//! memory together, or a long prompt with helpers, which speed up its prefill.
//!
//! The reservation on each engine decides between competing nodes. Every node
//! reserves in ascending order of engine ids and releases everything when one
//! engine refuses. So two nodes cannot block each other: of the engines that
//! both want, the node that reserved the one with the highest id has reserved
//! all of them. From then on, an engine can refuse it only because of work that
//! runs there, not because of the other node's reservation.
//!
//! The owner of a claimed engine starts no further medium or long work on it,
//! so that it becomes free for the prompt that has waited longest; a claim
//! reserves no memory.

use std::{
    cmp::Reverse,
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    time::{Duration, Instant},
};

use admission::{LengthClass, PoolIndex, QueuedJob};
use rand::RngExt;
use types::{AttemptId, EngineId, EngineRole, NodeId, PromptJob, RequestId, TokenCount};

use crate::{
    NodeScheduler, RefusalReason, SchedulerAction,
    arrival::PromptRefusal,
    claims::GangBackoff,
    estimate::{to_float, to_tokens},
    peers::PoolKeyRef,
    placement::needed_tokens,
    pool::PoolKey,
};

/// Fraction of its own speed that each further engine adds to a prefill.
const MEMBER_EFFICIENCY: f64 = 0.9;
/// Time for which an engine that refused a reservation is left out.
const REFUSED_ENGINE_COOLDOWN: Duration = Duration::from_secs(2);
/// Upper bound of the backoff after a prompt's first refused reservation;
/// doubles with each refusal. The backoff is drawn from half the bound to the
/// bound.
const FIRST_BACKOFF_MAX: Duration = Duration::from_millis(100);
/// Largest upper bound of the backoff.
const BACKOFF_MAX: Duration = Duration::from_secs(3);

/// Time for which the known number of engines must be unchanged before a prompt
/// is refused as too long: several intervals of reports and summaries.
const POOL_SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time for which the largest known size is remembered. A node that is cut off
/// from others gets no summaries of engines that may still exist.
const POOL_SIZE_RETENTION: Duration = Duration::from_mins(5);

/// Recent numbers of engines known for a prompt's pool, updated whenever a
/// prompt does not fit them. A node has one history for the prompts of all
/// pools.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolSizeHistory {
    size: usize,
    unchanged_since: Instant,
    largest: usize,
    largest_seen_at: Instant,
}

impl PoolSizeHistory {
    fn new(now: Instant, size: usize) -> Self {
        Self {
            size,
            unchanged_since: now,
            largest: size,
            largest_seen_at: now,
        }
    }

    /// Whether the pool can be taken to have fewer than `needed` engines, given
    /// that `known` are known now.
    fn rules_out(&mut self, now: Instant, known: usize, needed: usize) -> bool {
        if known != self.size {
            self.size = known;
            self.unchanged_since = now;
        }
        if known >= self.largest || now.duration_since(self.largest_seen_at) > POOL_SIZE_RETENTION {
            self.largest = known;
            self.largest_seen_at = now;
        }
        needed > self.largest && now.duration_since(self.unchanged_since) >= POOL_SETTLE_TIME
    }
}

/// Engine that could join a gang.
#[derive(Clone, Debug)]
struct GangCandidate {
    engine: EngineId,
    role: EngineRole,
    kv_capacity: TokenCount,
    kv_free: TokenCount,
    owned: bool,
    owner: NodeId,
}

impl NodeScheduler {
    /// Length class of a prompt: `Gang` if prompt and answer exceed the memory
    /// of the largest engine that can run it, less the headroom for short
    /// prompts.
    ///
    /// Refuses a prompt as `TooLong` if it exceeds the memory of all known
    /// engines of its pool and their number has settled; this updates the size
    /// history. Until it has settled, or if no node serves the pool, the
    /// refusal is `ModelNotReady`.
    pub(crate) fn class_of(
        &self,
        now: Instant,
        job: &PromptJob,
    ) -> Result<LengthClass, PromptRefusal> {
        let needed = job.prompt_tokens.saturating_add(job.output_tokens);
        let candidates = self.candidates(now, &PoolKey::of(job));
        let capacity = candidates
            .iter()
            .map(|candidate| candidate.kv_capacity)
            .max();
        let Some(capacity) = capacity else {
            if self.peer_serves_pool(now, job) {
                return Ok(LengthClass::of(job.prompt_tokens));
            }
            return Err(PromptRefusal::new(
                RefusalReason::ModelNotReady,
                Duration::from_secs(2),
            ));
        };
        if needed <= self.usable_kv(capacity) {
            return Ok(LengthClass::of(job.prompt_tokens));
        }
        let size = self.gang_size(needed, capacity);
        let known = self.known_engine_count(now, job);
        if size <= known {
            return Ok(LengthClass::Gang);
        }
        let mut history = self
            .pool_size_history
            .get()
            .unwrap_or(PoolSizeHistory::new(now, known));
        let ruled_out = history.rules_out(now, known, size);
        self.pool_size_history.set(Some(history));
        Err(if ruled_out {
            PromptRefusal::new(RefusalReason::TooLong, Duration::MAX)
        } else {
            PromptRefusal::new(RefusalReason::ModelNotReady, POOL_SETTLE_TIME)
        })
    }

    /// Prefill speed of a prompt's gang relative to one engine; `None` for
    /// other classes.
    pub(crate) fn gang_speedup(&self, job: &PromptJob, class: LengthClass) -> Option<f64> {
        if class != LengthClass::Gang {
            return None;
        }
        let views = self.engines.values();
        let capacity = views.map(|view| view.report.profile.kv_capacity).max()?;
        let needed = job.prompt_tokens.saturating_add(job.output_tokens);
        Some(group_speedup(self.gang_size(needed, capacity)))
    }

    /// The node that should assemble the gang; `None` if it is this one. A node
    /// that owns enough engines is preferred. Otherwise rendezvous hashing
    /// picks the same node on all nodes.
    pub(crate) fn gang_coordinator(&self, now: Instant, job: &PromptJob) -> Option<NodeId> {
        let key = PoolKey::of(job);
        let own = self.candidates(now, &key);
        let own: Vec<&GangCandidate> = own.iter().filter(|candidate| candidate.owned).collect();
        let needed = job.prompt_tokens.saturating_add(job.output_tokens);
        let key_ref = PoolKeyRef::of(job);
        let lifetime = self.settings.summary_lifetime;
        let capacity = self
            .candidates(now, &key)
            .iter()
            .map(|candidate| candidate.kv_capacity)
            .max()?;
        let size = self.gang_size(needed, capacity);
        if own.len() >= size {
            return None;
        }
        let mut sufficient_peer: Option<(u64, &NodeId)> = None;
        let mut coordinator: Option<(u64, &NodeId)> = None;
        for peer in self.peers.current(now, lifetime) {
            let Some(pool) = peer.pool(key_ref) else {
                continue;
            };
            let node = &peer.summary.node;
            let entry = Some((rendezvous_weight(node, job), node));
            coordinator = coordinator.max(entry);
            if usize::try_from(pool.engines).unwrap_or(usize::MAX) >= size {
                sufficient_peer = sufficient_peer.max(entry);
            }
        }
        if let Some((_, node)) = sufficient_peer {
            return Some(node.clone());
        }
        if !own.is_empty() {
            coordinator = coordinator.max(Some((rendezvous_weight(&self.node, job), &self.node)));
        }
        coordinator
            .map(|(_, node)| node.clone())
            .filter(|node| *node != self.node)
    }

    /// Starts queued gang prompts in order; earmarks engines for the first one
    /// that cannot start.
    pub(crate) fn dispatch_gangs(
        &mut self,
        now: Instant,
        pool: PoolIndex,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(key) = self.pools.key(pool).cloned() else {
            return;
        };
        let trial_floor = self.trial_floor.available();
        let gang = LengthClass::Gang;
        while let Some(head) = self.queue.head(pool, gang, &self.shares, trial_floor) {
            let head = head.clone();
            let urgency = self.urgency(&head);
            let Some(engines) = self.choose_gang(now, &key, &head) else {
                return;
            };
            let started = self.start_attempt(now, &head.job.request, engines, urgency);
            actions.extend(started);
            self.gangs.forget_request(&head.job.request);
        }
    }

    /// Handles a refused reservation of a group: leaves the engine out for a
    /// while and queues the prompt again with a backoff.
    pub(crate) fn handle_gang_refusal(
        &mut self,
        now: Instant,
        request: &RequestId,
        attempt: AttemptId,
        engine: &EngineId,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let running = self.running.get(request);
        if running.is_none_or(|running| running.queued.attempt != attempt) {
            return;
        }
        let Some(running) = self.end_attempt(now, request) else {
            return;
        };
        self.shares
            .refund(running.queued.organisation, running.refundable_tokens);
        self.gangs
            .refused
            .insert(engine.clone(), now + REFUSED_ENGINE_COOLDOWN);
        let refusals = self.gangs.backoffs.get(request).map_or(0, |b| b.refusals);
        let backoff_max = (FIRST_BACKOFF_MAX * (1 << refusals.min(5))).min(BACKOFF_MAX);
        let backoff_time = backoff_max.mul_f64(self.rng.random_range(0.5..1.0));
        let backoff = GangBackoff {
            until: now + backoff_time,
            refusals: refusals + 1,
        };
        self.gangs.backoffs.insert(request.clone(), backoff);
        self.requeue(now, running.queued, actions);
    }

    /// All engines of a gang for the prompt, in ascending order of their ids.
    /// If one has too little free memory, earmarks them and returns `None`.
    /// Returns `None` too during the prompt's backoff and if there are too few
    /// engines.
    fn choose_gang(
        &mut self,
        now: Instant,
        key: &PoolKey,
        head: &QueuedJob,
    ) -> Option<Vec<EngineId>> {
        let request = &head.job.request;
        let backoff = self.gangs.backoffs.get(request);
        if backoff.is_some_and(|backoff| backoff.until > now) {
            return None;
        }
        let mut candidates = self.candidates(now, key);
        candidates.retain(|candidate| {
            !self
                .gangs
                .claimed_by_longer_waiter(&candidate.engine, head.queued_since, &self.node)
        });
        let capacity = candidates
            .iter()
            .map(|candidate| candidate.kv_capacity)
            .max()?;
        let needed = needed_tokens(head);
        let size = self.gang_size(needed, capacity);
        if candidates.len() < size {
            return None;
        }
        let tokens_per_engine = needed.div_ceil(u64::try_from(size).unwrap_or(1).max(1));
        let candidates = self.pick_candidates(candidates, size, tokens_per_engine);
        let ready = candidates
            .iter()
            .all(|candidate| candidate.kv_free >= tokens_per_engine);
        let mut engines: Vec<EngineId> = candidates
            .into_iter()
            .map(|candidate| candidate.engine)
            .collect();
        engines.sort_unstable();
        self.gangs.drop_earmarks_and_expired(now, request);
        if ready {
            return Some(engines);
        }
        for engine in engines {
            self.gangs
                .earmarked
                .insert(engine, (request.clone(), head.queued_since));
        }
        None
    }

    /// The most suitable engines for a gang, spread over their owners so that
    /// each keeps some for short prompts.
    fn pick_candidates(
        &self,
        mut candidates: Vec<GangCandidate>,
        size: usize,
        tokens_per_engine: TokenCount,
    ) -> Vec<GangCandidate> {
        let mut ready_counts: HashMap<NodeId, usize> = HashMap::new();
        for candidate in candidates
            .iter()
            .filter(|candidate| candidate.kv_free >= tokens_per_engine)
        {
            *ready_counts.entry(candidate.owner.clone()).or_default() += 1;
        }
        let mut picked = Vec::new();
        while picked.len() < size {
            let best = (0..candidates.len()).max_by_key(|index| {
                let candidate = &candidates[*index];
                let ready = candidate.kv_free >= tokens_per_engine;
                let earmarked = self.gangs.earmarked.contains_key(&candidate.engine);
                let has_long_role = candidate.role == EngineRole::Long;
                let ready_count = ready_counts.get(&candidate.owner).copied().unwrap_or(0);
                (
                    ready,
                    earmarked,
                    has_long_role,
                    ready_count,
                    candidate.owned,
                    candidate.kv_free,
                    Reverse(&candidate.engine),
                )
            });
            let Some(best) = best else {
                break;
            };
            let candidate = candidates.swap_remove(best);
            if let Some(ready_count) = ready_counts.get_mut(&candidate.owner) {
                *ready_count = ready_count.saturating_sub(1);
            }
            picked.push(candidate);
        }
        picked
    }

    /// Engines of this node that serve a pool, and those of other nodes that
    /// are listed in the digests of their summaries, whatever their adapters.
    /// An engine that is in a group or refused a reservation recently counts as
    /// having no free memory.
    fn candidates(&self, now: Instant, key: &PoolKey) -> Vec<GangCandidate> {
        let mut candidates = Vec::new();
        for (engine, view) in &self.engines {
            if !key.can_run_on(view) {
                continue;
            }
            candidates.push(GangCandidate {
                engine: engine.clone(),
                role: view.target_role,
                kv_capacity: view.report.profile.kv_capacity,
                kv_free: if view.is_shared(&self.node) {
                    0
                } else {
                    view.kv_free(&self.node)
                },
                owned: true,
                owner: self.node.clone(),
            });
        }
        let lifetime = self.settings.summary_lifetime;
        for peer in self.peers.current(now, lifetime) {
            let pools = peer.summary.pools.iter();
            let served =
                pools.filter(|pool| pool.model == key.model && pool.version == key.version);
            for digest in served.flat_map(|pool| &pool.digests) {
                if self.engines.contains_key(&digest.engine) {
                    continue;
                }
                candidates.push(GangCandidate {
                    engine: digest.engine.clone(),
                    role: digest.role,
                    kv_capacity: digest.kv_capacity,
                    kv_free: digest.kv_free,
                    owned: false,
                    owner: peer.summary.node.clone(),
                });
            }
        }
        for candidate in &mut candidates {
            let refused = self.gangs.refused.get(&candidate.engine);
            let busy = self.runs_group(&candidate.engine);
            if busy || refused.is_some_and(|until| *until > now) {
                candidate.kv_free = 0;
            }
        }
        candidates
    }

    /// Whether the engine is in a group that this node started.
    fn runs_group(&self, engine: &EngineId) -> bool {
        self.groups.values().any(|engines| engines.contains(engine))
    }

    /// KV cache of an engine that longer work may fill, in tokens.
    fn usable_kv(&self, capacity: TokenCount) -> TokenCount {
        to_tokens(to_float(capacity) * (1.0 - self.settings.short_headroom))
    }

    /// Number of engines that hold `needed` tokens if each has a KV cache of
    /// `capacity` tokens.
    fn gang_size(&self, needed: TokenCount, capacity: TokenCount) -> usize {
        let size = needed.div_ceil(self.usable_kv(capacity).max(1));
        usize::try_from(size).unwrap_or(usize::MAX)
    }

    /// Number of engines in the prompt's pool over all nodes, by their current
    /// summaries.
    fn known_engine_count(&self, now: Instant, job: &PromptJob) -> usize {
        let key = PoolKey::of(job);
        let own = self
            .engines
            .values()
            .filter(|view| key.can_run_on(view))
            .count();
        let key_ref = PoolKeyRef::of(job);
        let others: u32 = self
            .peers
            .current(now, self.settings.summary_lifetime)
            .filter_map(|peer| peer.pool(key_ref))
            .map(|pool| pool.engines)
            .sum();
        own + usize::try_from(others).unwrap_or(usize::MAX)
    }
}

/// Prefill speed of a group of `engines` engines relative to one.
pub(crate) fn group_speedup(engines: usize) -> f64 {
    let others = u32::try_from(engines.saturating_sub(1)).unwrap_or(u32::MAX);
    1.0 + MEMBER_EFFICIENCY * f64::from(others)
}

/// Rendezvous hash of a node for a model: the node with the highest one
/// assembles the model's gangs.
fn rendezvous_weight(node: &NodeId, job: &PromptJob) -> u64 {
    let mut hasher = DefaultHasher::new();
    node.hash(&mut hasher);
    job.model.hash(&mut hasher);
    job.version.hash(&mut hasher);
    hasher.finish()
}
