//! Prompts larger than one engine's memory: groups of engines, all or
//! nothing.
//!
//! The reservation on each engine is the arbiter. A node reserves a group in
//! ascending order of engine ids and keeps nothing when one refuses, so among
//! nodes that compete the one that got furthest in the order is refused by
//! running work only. Claims in summaries make owners run engines empty for
//! the prompt that has waited longest; a claim holds nothing.

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
    arrival::Rejection,
    claims::GangBackoff,
    estimate::{float, whole},
    peers::PoolNeed,
    placement::needed_tokens,
    pool::PoolKey,
};

/// Share of its speed that a further engine adds to one prefill.
const MEMBER_EFFICIENCY: f64 = 0.9;
/// Time an engine that refused is left out.
const REFUSED_TIME: Duration = Duration::from_secs(2);
/// Bounds of the pause after a refused group.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
const BACKOFF_MAX: Duration = Duration::from_secs(3);

/// Time for which the number of known engines must not have changed before a
/// prompt is refused for good: some intervals of reports and summaries.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time for which a larger fleet is remembered: engines that a cut off node no
/// longer hears of may still be there.
const FLEET_MEMORY: Duration = Duration::from_mins(5);

/// How many engines a node knew lately, as far as long prompts made it look.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownFleet {
    size: usize,
    since: Instant,
    largest: usize,
    largest_at: Instant,
}

impl KnownFleet {
    fn new(now: Instant, size: usize) -> Self {
        Self {
            size,
            since: now,
            largest: size,
            largest_at: now,
        }
    }

    /// Whether `needed` engines are surely more than there are, when `known`
    /// are known now.
    fn rules_out(&mut self, now: Instant, known: usize, needed: usize) -> bool {
        if known != self.size {
            self.size = known;
            self.since = now;
        }
        if known >= self.largest || now.duration_since(self.largest_at) > FLEET_MEMORY {
            self.largest = known;
            self.largest_at = now;
        }
        needed > self.largest && now.duration_since(self.since) >= SETTLE_TIME
    }
}

/// One engine that could join a group.
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
    /// The class of a prompt, by the memory of the engines that can run it.
    pub(crate) fn class_of(&self, now: Instant, job: &PromptJob) -> Result<LengthClass, Rejection> {
        let needed = job.prompt_tokens.saturating_add(job.output_tokens);
        let candidates = self.candidates(now, &PoolKey::of(job));
        let capacity = candidates.iter().map(|one| one.kv_capacity).max();
        let Some(capacity) = capacity else {
            if self.has_peer_with(now, job) {
                return Ok(LengthClass::of(job.prompt_tokens));
            }
            return Err(Rejection::new(
                RefusalReason::ModelNotReady,
                Duration::from_secs(2),
            ));
        };
        if needed <= self.usable(capacity) {
            return Ok(LengthClass::of(job.prompt_tokens));
        }
        let size = self.group_size(needed, capacity);
        let known = self.engines_known(now, job);
        if size <= known {
            return Ok(LengthClass::Gang);
        }
        let mut fleet = self
            .known_fleet
            .get()
            .unwrap_or(KnownFleet::new(now, known));
        let sure = fleet.rules_out(now, known, size);
        self.known_fleet.set(Some(fleet));
        Err(if sure {
            Rejection::new(RefusalReason::TooLong, Duration::MAX)
        } else {
            Rejection::new(RefusalReason::ModelNotReady, SETTLE_TIME)
        })
    }

    /// Prefill speed of a prompt's group over that of one engine.
    pub(crate) fn gang_pace(&self, job: &PromptJob, class: LengthClass) -> Option<f64> {
        if class != LengthClass::Gang {
            return None;
        }
        let views = self.engines.values();
        let capacity = views.map(|view| view.report.profile.kv_capacity).max()?;
        let needed = job.prompt_tokens.saturating_add(job.output_tokens);
        Some(group_pace(self.group_size(needed, capacity)))
    }

    /// The node that should gather the group, unless it is this one: one
    /// that owns enough engines, else the same one for all nodes.
    pub(crate) fn gang_node(&self, now: Instant, job: &PromptJob) -> Option<NodeId> {
        let key = PoolKey::of(job);
        let own = self.candidates(now, &key);
        let own: Vec<&GangCandidate> = own.iter().filter(|one| one.owned).collect();
        let needed = job.prompt_tokens.saturating_add(job.output_tokens);
        let need = PoolNeed::of(job);
        let lifetime = self.settings.summary_lifetime;
        let capacity = self
            .candidates(now, &key)
            .iter()
            .map(|one| one.kv_capacity)
            .max()?;
        let size = self.group_size(needed, capacity);
        if own.len() >= size {
            return None;
        }
        let mut enough: Option<(u64, &NodeId)> = None;
        let mut any: Option<(u64, &NodeId)> = None;
        for peer in self.peers.fresh(now, lifetime) {
            let Some(pool) = peer.pool(need) else {
                continue;
            };
            let node = &peer.summary.node;
            let entry = Some((rendezvous(node, job), node));
            any = any.max(entry);
            if usize::try_from(pool.engines).unwrap_or(usize::MAX) >= size {
                enough = enough.max(entry);
            }
        }
        if let Some((_, node)) = enough {
            return Some(node.clone());
        }
        if !own.is_empty() {
            any = any.max(Some((rendezvous(&self.node, job), &self.node)));
        }
        any.map(|(_, node)| node.clone())
            .filter(|node| *node != self.node)
    }

    /// Starts the first prompt that waits for a group, or keeps engines free
    /// for it.
    pub(crate) fn dispatch_gangs(
        &mut self,
        now: Instant,
        pool: PoolIndex,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(key) = self.pools.key(pool).cloned() else {
            return;
        };
        let floor = self.floor.available();
        let gang = LengthClass::Gang;
        while let Some(head) = self.queue.head(pool, gang, &self.shares, floor) {
            let head = head.clone();
            let urgency = self.urgency(&head);
            let Some(group) = self.gather(now, &key, &head) else {
                return;
            };
            let started = self.start(now, &head.job.request, group, urgency);
            actions.extend(started);
            self.gangs.forget(&head.job.request);
        }
    }

    /// Memory for an attempt over several engines could not be had.
    pub(crate) fn gang_refused(
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
            .refund(running.queued.organisation, running.charged);
        self.gangs
            .refused
            .insert(engine.clone(), now + REFUSED_TIME);
        let refusals = self.gangs.backoffs.get(request).map_or(0, |b| b.refusals);
        let longest = (BACKOFF_MIN * (1 << refusals.min(5))).min(BACKOFF_MAX);
        let pause = longest.mul_f64(self.rng.random_range(0.5..1.0));
        let backoff = GangBackoff {
            until: now + pause,
            refusals: refusals + 1,
        };
        self.gangs.backoffs.insert(request.clone(), backoff);
        self.requeue(now, running.queued, actions);
    }

    /// A whole group for the prompt, in ascending order; else notes which
    /// engines to keep free for it.
    fn gather(&mut self, now: Instant, key: &PoolKey, head: &QueuedJob) -> Option<Vec<EngineId>> {
        let request = &head.job.request;
        let backoff = self.gangs.backoffs.get(request);
        if backoff.is_some_and(|backoff| backoff.until > now) {
            return None;
        }
        let mut candidates = self.candidates(now, key);
        candidates.retain(|one| {
            !self
                .gangs
                .yields(&one.engine, head.queued_since, &self.node)
        });
        let capacity = candidates.iter().map(|one| one.kv_capacity).max()?;
        let needed = needed_tokens(head);
        let size = self.group_size(needed, capacity);
        if candidates.len() < size {
            return None;
        }
        let share = needed.div_ceil(u64::try_from(size).unwrap_or(1).max(1));
        let candidates = self.pick(candidates, size, share);
        let ready = candidates.iter().all(|one| one.kv_free >= share);
        let mut group: Vec<EngineId> = candidates.into_iter().map(|one| one.engine).collect();
        group.sort_unstable();
        self.gangs.release(now, request);
        if ready {
            return Some(group);
        }
        for engine in group {
            self.gangs
                .wanted
                .insert(engine, (request.clone(), head.queued_since));
        }
        None
    }

    /// The engines that suit a group best, spread over their owners so that
    /// each keeps some for short prompts.
    fn pick(
        &self,
        mut candidates: Vec<GangCandidate>,
        size: usize,
        share: TokenCount,
    ) -> Vec<GangCandidate> {
        let mut spares: HashMap<NodeId, usize> = HashMap::new();
        for one in candidates.iter().filter(|one| one.kv_free >= share) {
            *spares.entry(one.owner.clone()).or_default() += 1;
        }
        let mut picked = Vec::new();
        while picked.len() < size {
            let best = (0..candidates.len()).max_by_key(|place| {
                let one = &candidates[*place];
                let ready = one.kv_free >= share;
                let kept = self.gangs.wanted.contains_key(&one.engine);
                let long = one.role == EngineRole::Long;
                let left = spares.get(&one.owner).copied().unwrap_or(0);
                (
                    ready,
                    kept,
                    long,
                    left,
                    one.owned,
                    one.kv_free,
                    Reverse(&one.engine),
                )
            });
            let Some(best) = best else {
                break;
            };
            let one = candidates.swap_remove(best);
            if let Some(left) = spares.get_mut(&one.owner) {
                *left = left.saturating_sub(1);
            }
            picked.push(one);
        }
        picked
    }

    /// Engines of this node and of others that serve a pool and are not in a
    /// group already.
    fn candidates(&self, now: Instant, key: &PoolKey) -> Vec<GangCandidate> {
        let mut candidates = Vec::new();
        for (engine, view) in &self.engines {
            if !key.usable(view) {
                continue;
            }
            candidates.push(GangCandidate {
                engine: engine.clone(),
                role: view.wanted_role,
                kv_capacity: view.report.profile.kv_capacity,
                kv_free: if view.lends(&self.node) {
                    0
                } else {
                    view.kv_free(&self.node)
                },
                owned: true,
                owner: self.node.clone(),
            });
        }
        let lifetime = self.settings.summary_lifetime;
        for peer in self.peers.fresh(now, lifetime) {
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
            let busy = self.in_group(&candidate.engine);
            if busy || refused.is_some_and(|until| *until > now) {
                candidate.kv_free = 0;
            }
        }
        candidates
    }

    /// Whether a group of this node runs on the engine.
    fn in_group(&self, engine: &EngineId) -> bool {
        self.groups.values().any(|engines| engines.contains(engine))
    }

    /// Memory of an engine that longer work may fill.
    fn usable(&self, capacity: TokenCount) -> TokenCount {
        whole(float(capacity) * (1.0 - self.settings.short_headroom))
    }

    fn group_size(&self, needed: TokenCount, capacity: TokenCount) -> usize {
        let size = needed.div_ceil(self.usable(capacity).max(1));
        usize::try_from(size).unwrap_or(usize::MAX)
    }

    /// Engines of the pool in the fleet, as far as this node knows.
    fn engines_known(&self, now: Instant, job: &PromptJob) -> usize {
        let key = PoolKey::of(job);
        let own = self
            .engines
            .values()
            .filter(|view| key.usable(view))
            .count();
        let need = PoolNeed::of(job);
        let others: u32 = self
            .peers
            .fresh(now, self.settings.summary_lifetime)
            .filter_map(|peer| peer.pool(need))
            .map(|pool| pool.engines)
            .sum();
        own + usize::try_from(others).unwrap_or(usize::MAX)
    }
}

/// Prefill speed of a group over that of one engine.
pub(crate) fn group_pace(engines: usize) -> f64 {
    let others = u32::try_from(engines.saturating_sub(1)).unwrap_or(u32::MAX);
    1.0 + MEMBER_EFFICIENCY * f64::from(others)
}

/// Weight of a node as the one that gathers a model's groups.
fn rendezvous(node: &NodeId, job: &PromptJob) -> u64 {
    let mut hasher = DefaultHasher::new();
    node.hash(&mut hasher);
    job.model.hash(&mut hasher);
    job.version.hash(&mut hasher);
    hasher.finish()
}
