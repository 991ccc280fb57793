//! The engine simulation: a batch of sequences stepped from event to event.

use std::{
    collections::{BTreeSet, HashMap},
    time::{Duration, Instant},
};

use types::{
    AttemptId, EngineOrder, EngineProfile, EngineReport, EngineRole, FencingNumber, ModelSpec,
    RequestId, TokenCount,
};

use crate::{
    AttemptSpec, CacheSlice, ModelError, ModelEvent, PrefixCache, SequenceId,
    batch::StepPlan,
    memory::{AttemptKey, HoldTable},
    sequence::{QueueKey, SequenceState},
};

/// One simulated model engine whose clock the caller advances.
///
/// The times passed to its methods must not go back. Each method first runs the
/// simulation up to that time; the next `advance` returns the resulting events.
#[derive(Clone, Debug)]
pub struct EngineModel {
    pub(crate) profile: EngineProfile,
    pub(crate) role: EngineRole,
    pub(crate) models: Vec<ModelSpec>,
    /// Highest fencing number accepted.
    pub(crate) fencing: FencingNumber,
    pub(crate) checks_fencing: bool,
    pub(crate) sequences: HashMap<SequenceId, SequenceState>,
    pub(crate) attempts: HashMap<AttemptKey, SequenceId>,
    /// Queued and prefilling sequences.
    pub(crate) prefills: BTreeSet<QueueKey>,
    pub(crate) decodes: BTreeSet<QueueKey>,
    pub(crate) holds: HoldTable,
    pub(crate) cache: PrefixCache,
    /// Memory of sequences outside the prefix cache, in tokens.
    pub(crate) private_tokens: TokenCount,
    /// Tokens that all sequences together still have to prefill.
    pub(crate) backlog: TokenCount,
    pub(crate) step: Option<StepPlan>,
    /// When a KV import completes that a queued sequence waits for.
    pub(crate) wake_at: Option<Instant>,
    /// When the last step ended; tells whether the engine was idle since.
    pub(crate) last_step_end: Option<Instant>,
    pub(crate) events: Vec<ModelEvent>,
    pub(crate) next_id: SequenceId,
    pub(crate) generated: TokenCount,
}

impl EngineModel {
    /// Creates an idle engine with `models` loaded.
    #[must_use]
    pub fn new(profile: EngineProfile, models: Vec<ModelSpec>) -> Self {
        Self {
            profile,
            role: EngineRole::default(),
            models,
            fencing: 0,
            checks_fencing: true,
            sequences: HashMap::new(),
            attempts: HashMap::new(),
            prefills: BTreeSet::new(),
            decodes: BTreeSet::new(),
            holds: HoldTable::default(),
            cache: PrefixCache::default(),
            private_tokens: 0,
            backlog: 0,
            step: None,
            wake_at: None,
            last_step_end: None,
            events: Vec::new(),
            next_id: 1,
            generated: 0,
        }
    }

    /// Sets whether orders with an old fencing number are refused.
    pub fn set_checks_fencing(&mut self, checks: bool) {
        self.checks_fencing = checks;
    }

    /// Properties of the engine process; a crash increments its incarnation.
    #[must_use]
    pub fn profile(&self) -> &EngineProfile {
        &self.profile
    }

    /// Queues an attempt. It may need more memory than is free now, but not
    /// more than the engine has.
    ///
    /// # Errors
    /// `ModelError::TooLarge` when it never fits the engine, and
    /// `ModelError::AlreadyRunning` when it is already queued or running.
    pub fn submit(&mut self, now: Instant, spec: AttemptSpec) -> Result<SequenceId, ModelError> {
        self.run_until(now);
        let key = AttemptKey::new(&spec.request, spec.attempt);
        if self.attempts.contains_key(&key) {
            return Err(ModelError::AlreadyRunning);
        }
        self.check_size(spec.own_tokens())?;
        let id = self.next_id;
        self.next_id += 1;
        let sequence = SequenceState::new(id, spec);
        self.prefills.insert(sequence.key());
        self.backlog += sequence.remaining_prefill();
        self.attempts.insert(key, id);
        self.sequences.insert(id, sequence);
        self.plan_step(now);
        Ok(id)
    }

    /// Ends an attempt and frees its memory and hold; an unknown attempt is
    /// ignored. Returns whether the attempt was queued or running.
    pub fn cancel(&mut self, now: Instant, request: &RequestId, attempt: AttemptId) -> bool {
        self.run_until(now);
        let key = AttemptKey::new(request, attempt);
        self.holds.remove(&key);
        let ran = match self.attempts.get(&key).copied() {
            Some(id) => {
                self.end_sequence(id);
                true
            }
            None => false,
        };
        self.plan_step(now);
        ran
    }

    /// Applies an order that sets the role and models.
    ///
    /// # Errors
    /// `ModelError::Fenced` when the engine checks fencing numbers and has
    /// accepted a higher one.
    pub fn apply_order(&mut self, order: &EngineOrder) -> Result<(), ModelError> {
        if self.checks_fencing && order.fencing < self.fencing {
            return Err(ModelError::Fenced {
                newest: self.fencing,
            });
        }
        self.fencing = self.fencing.max(order.fencing);
        self.role = order.role;
        self.models.clone_from(&order.models);
        Ok(())
    }

    /// Sets the role without an order.
    pub fn set_role(&mut self, role: EngineRole) {
        self.role = role;
    }

    /// Sets the loaded models without an order.
    pub fn set_models(&mut self, models: Vec<ModelSpec>) {
        self.models = models;
    }

    /// Simulates a crash and restart with empty memory and a new incarnation.
    /// Returns the lost sequences.
    pub fn crash(&mut self, now: Instant) -> Vec<SequenceId> {
        self.run_until(now);
        let mut lost: Vec<SequenceId> = self.sequences.keys().copied().collect();
        lost.sort_unstable();
        self.sequences.clear();
        self.attempts.clear();
        self.prefills.clear();
        self.decodes.clear();
        self.holds.clear();
        self.cache.clear();
        self.private_tokens = 0;
        self.backlog = 0;
        self.step = None;
        self.wake_at = None;
        self.generated = 0;
        self.profile.incarnation += 1;
        lost
    }

    /// When the simulation next changes without further calls; `None` while it
    /// is idle.
    #[must_use]
    pub fn next_event_at(&self) -> Option<Instant> {
        let step = self.step.as_ref().map(|step| step.ends);
        let times = [step, self.wake_at, self.holds.next_expiry()];
        times.into_iter().flatten().min()
    }

    /// Runs the simulation up to `now` and returns the events since the last
    /// call, in order.
    pub fn advance(&mut self, now: Instant) -> Vec<ModelEvent> {
        self.run_until(now);
        std::mem::take(&mut self.events)
    }

    /// Runs up to `now` and reports the engine's load, queue and holds.
    pub fn report(&mut self, now: Instant) -> EngineReport {
        self.run_until(now);
        EngineReport {
            profile: self.profile.clone(),
            role: self.role,
            models: self.models.clone(),
            age: Duration::ZERO,
            kv_used: self.used_tokens(),
            decoding: u32::try_from(self.decodes.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.prefills.len()).unwrap_or(u32::MAX),
            prefill_backlog: self.backlog,
            generated: self.generated,
            holds: self.holds.report(now),
            fencing: self.fencing,
        }
    }

    /// Cache events from log position `after` on.
    #[must_use]
    pub fn cache_events(&self, after: u64) -> CacheSlice {
        self.cache.events_after(after)
    }

    /// Whether a step is in progress.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.step.is_some()
    }

    /// KV memory in use, in tokens; includes holds, excludes idle cache blocks.
    #[must_use]
    pub fn used_tokens(&self) -> TokenCount {
        self.private_tokens + self.holds.tokens() + self.cache.used_tokens()
    }

    /// KV memory available now, in tokens; idle cache blocks count as free.
    #[must_use]
    pub fn free_tokens(&self) -> TokenCount {
        self.profile.kv_capacity.saturating_sub(self.used_tokens())
    }

    /// KV memory of idle cache blocks, which can be evicted at any time, in
    /// tokens.
    #[must_use]
    pub fn idle_cache_tokens(&self) -> TokenCount {
        self.cache.idle_tokens()
    }

    pub(crate) fn check_size(&self, tokens: TokenCount) -> Result<(), ModelError> {
        let capacity = self.profile.kv_capacity;
        if tokens > capacity {
            return Err(ModelError::TooLarge { tokens, capacity });
        }
        Ok(())
    }
}
