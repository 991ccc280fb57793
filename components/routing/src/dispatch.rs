//! Choice of engines for queued prompts.

use std::time::{Duration, Instant};

use admission::{LengthClass, PoolIndex, QueuedJob};
use types::{EngineId, EngineRole, PlanKind, RequestId, TokenCount};

use crate::{
    NodeScheduler, SchedulerAction,
    estimate::duration_from_secs,
    gang::group_speedup,
    load::LoadMeter,
    placement::{
        PlacementOffer, PromptUrgency, engine_offer, engine_priority, needed_tokens, role_allows,
    },
    pool::PoolKey,
    scheduler::RunningJob,
    view::{AttemptPhase, EngineView, InflightAttempt, overdue_prefill_left},
};

/// Classes that run on a single engine, in the order in which they are served.
const SINGLE_ENGINE_CLASSES: [LengthClass; 3] =
    [LengthClass::Short, LengthClass::Medium, LengthClass::Long];

/// Engine chosen for the prompt at the head of one class of a pool's queue.
struct EngineChoice {
    request: RequestId,
    engine: EngineId,
    urgency: PromptUrgency,
}

/// Shortest prefill time for which other engines help with a long prompt.
const HELPED_PREFILL_MIN: Duration = Duration::from_secs(20);
/// Largest number of engines that help with one prompt.
const HELPERS_MAX: usize = 2;
/// Fraction of its KV cache that an engine must have free in order to help.
const HELPER_KV_FREE_FRACTION: f64 = 0.5;

impl NodeScheduler {
    /// Starts every queued prompt that an engine can take now.
    pub(crate) fn dispatch_all(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        if self.queue.is_empty() {
            return;
        }
        self.trial_floor.accrue(now, self.engines.len());
        for view in self.engines.values_mut() {
            view.advance_prefills(now);
        }
        for pool in self.queue.pools() {
            for class in SINGLE_ENGINE_CLASSES {
                self.dispatch_class(now, pool, class, actions);
            }
            self.dispatch_gangs(now, pool, actions);
        }
    }

    fn dispatch_class(
        &mut self,
        now: Instant,
        pool: PoolIndex,
        class: LengthClass,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(key) = self.pools.key(pool).cloned() else {
            return;
        };
        while let Some(choice) = self.choose_engine(pool, now, class, &key) {
            let engines = self.engines_with_helpers(&key, choice.engine, &choice.request, class);
            let started = self.start_attempt(now, &choice.request, engines, choice.urgency);
            actions.extend(started);
        }
    }

    /// The chosen engine and, for a long prompt, the engines that help with its
    /// prefill.
    fn engines_with_helpers(
        &self,
        key: &PoolKey,
        leader: EngineId,
        request: &RequestId,
        class: LengthClass,
    ) -> Vec<EngineId> {
        let mut engines = vec![leader];
        let prefill_time = self.queue.prefill_time_of(request).unwrap_or_default();
        if class == LengthClass::Long
            && prefill_time >= HELPED_PREFILL_MIN
            && !self.gangs.has_backoff(request)
        {
            let helpers = self.helper_engines(key, &engines);
            engines.extend(helpers);
        }
        engines
    }

    /// Engines of this node without prefill work that can help with a long
    /// prompt. Enough of them are left for short prompts.
    pub(crate) fn helper_engines(&self, key: &PoolKey, chosen: &[EngineId]) -> Vec<EngineId> {
        let without_prefill: Vec<&EngineId> = self
            .engines
            .iter()
            .filter(|(engine, view)| !chosen.contains(engine) && key.can_run_on(view))
            .filter(|(engine, view)| {
                view.has_no_prefill(&self.node) && !self.gangs.is_earmarked_or_claimed(engine)
            })
            .filter(|(_, view)| {
                view.kv_free(&self.node) >= view.kv_fraction(HELPER_KV_FREE_FRACTION)
            })
            .map(|(engine, _)| engine)
            .collect();
        let spare = without_prefill
            .len()
            .saturating_sub(self.engines_kept_for_short());
        let helpers = without_prefill
            .into_iter()
            .rev()
            .take(spare.min(HELPERS_MAX));
        helpers.cloned().collect()
    }

    /// Number of engines without prefill work to leave for short prompts: one
    /// per engine with the short role, at least one.
    fn engines_kept_for_short(&self) -> usize {
        let engines = self.engines.values();
        let short = engines.filter(|view| view.target_role == EngineRole::Short);
        short.count().max(1)
    }

    /// Current urgency of a job, by its plan and its organisation's share.
    pub(crate) fn urgency(&self, queued: &QueuedJob) -> PromptUrgency {
        match queued.job.plan {
            PlanKind::Paying if self.shares.is_over_share(queued.organisation) => {
                PromptUrgency::OverShare
            }
            PlanKind::Paying => PromptUrgency::Paying,
            PlanKind::Trial if queued.prefill_time <= self.trial_floor.available() => {
                PromptUrgency::TrialFloor
            }
            PlanKind::Trial => PromptUrgency::Trial,
        }
    }

    /// The engine with the best offer for the prompt at the head of a queue;
    /// `None` if no engine takes it now.
    fn choose_engine(
        &mut self,
        pool: PoolIndex,
        now: Instant,
        class: LengthClass,
        key: &PoolKey,
    ) -> Option<EngineChoice> {
        let trial_floor = self.trial_floor.available();
        let head = self
            .queue
            .head(pool, class, &self.shares, trial_floor)?
            .clone();
        let urgency = self.urgency(&head);
        let mut offers = Vec::new();
        for (engine, view) in &self.engines {
            if !key.can_run_on(view) || !role_allows(now, view, &head) {
                continue;
            }
            if class != LengthClass::Short && self.gangs.is_earmarked_or_claimed(engine) {
                continue;
            }
            let offer = engine_offer(view, &self.node, &head, urgency, &self.settings);
            let remote_zone = view.report.profile.zone != head.job.zone;
            offers.extend(offer.map(|offer| (offer, remote_zone, engine)));
        }
        let avoided = self
            .crash_suspects
            .engines_to_avoid(&head.job.request, &self.running);
        if offers.iter().any(|(.., engine)| !avoided.contains(*engine)) {
            offers.retain(|(.., engine)| !avoided.contains(*engine));
        }
        let best = best_offer(&offers, class)?;
        Some(EngineChoice {
            request: head.job.request.clone(),
            engine: best.clone(),
            urgency,
        })
    }

    /// Removes a job from the queue and starts it on `engines`.
    pub(crate) fn start_attempt(
        &mut self,
        now: Instant,
        request: &RequestId,
        engines: Vec<EngineId>,
        urgency: PromptUrgency,
    ) -> Option<SchedulerAction> {
        let queued = self.queue.take_to_start(request, &mut self.shares)?;
        self.shares.record_start(queued.organisation);
        let load_meter = self.load_meter.get_or_insert_with(|| LoadMeter::new(now));
        load_meter.record_start(now, queued.class, queued.prefill_time);
        if urgency == PromptUrgency::TrialFloor {
            self.trial_floor.spend(queued.prefill_time);
        }
        let priority = engine_priority(urgency, queued.job.prompt_tokens);
        let count = u64::try_from(engines.len().max(1)).unwrap_or(1);
        let tokens_per_engine = needed_tokens(&queued).div_ceil(count);
        let mut expected_prefill = queued.prefill_time;
        for (index, engine) in engines.iter().enumerate() {
            let Some(view) = self.engines.get_mut(engine) else {
                continue;
            };
            if index == 0 && queued.class != LengthClass::Gang {
                let solo_prefill = solo_prefill_time(view, &queued);
                expected_prefill =
                    duration_from_secs(solo_prefill.as_secs_f64() / group_speedup(engines.len()));
            }
            let mut inflight =
                new_inflight(now, &queued, priority, tokens_per_engine, expected_prefill);
            inflight.best_effort = urgency.is_best_effort();
            inflight.grouped = engines.len() > 1;
            // A helper counts as part of a gang, so that `is_shared` holds
            // while it prefills.
            if index > 0 {
                inflight.class = LengthClass::Gang;
            }
            view.add_attempt(now, inflight);
        }
        let action = SchedulerAction::Dispatch {
            request: request.clone(),
            attempt: queued.attempt,
            engines: engines.clone(),
            priority,
            resume_at: queued.resume_at,
        };
        self.deadlines
            .insert((queued.job.deadline, request.clone()));
        if engines.len() > 1 {
            self.groups.insert(request.clone(), engines.clone());
        }
        let running = RunningJob {
            refundable_tokens: queued.cost,
            queued,
            engines,
            prefill_started_at: now,
            first_token_at: None,
            expected_prefill,
        };
        self.running.insert(request.clone(), running);
        Some(action)
    }
}

/// The engine of lowest cost. If at most one engine is without prefill work, a
/// short prompt prefers a busy engine that delays it only within its allowance.
/// This leaves the free engine to a later prompt that a busy one would delay
/// too long. If no busy engine is within the allowance, the cost alone decides.
fn best_offer<'a>(
    offers: &[(PlacementOffer, bool, &'a EngineId)],
    class: LengthClass,
) -> Option<&'a EngineId> {
    let without_prefill = offers
        .iter()
        .filter(|(offer, ..)| offer.without_prefill)
        .count();
    let spares_last_engine = class == LengthClass::Short && without_prefill <= 1;
    let best = offers.iter().min_by_key(|(offer, remote_zone, engine)| {
        let deferred =
            spares_last_engine && (offer.without_prefill || !offer.within_delay_allowance);
        (deferred, offer.cost, *remote_zone, *engine)
    });
    best.map(|(_, _, engine)| *engine)
}

fn solo_prefill_time(view: &EngineView, queued: &QueuedJob) -> Duration {
    let cached = view.prefixes.cached_tokens(&queued.job);
    let profile = &view.report.profile;
    view.speed
        .prefill(profile, cached, queued.job.prompt_tokens)
}

fn new_inflight(
    now: Instant,
    queued: &QueuedJob,
    priority: u32,
    tokens: TokenCount,
    prefill_left: Duration,
) -> InflightAttempt {
    InflightAttempt {
        request: queued.job.request.clone(),
        attempt: queued.attempt,
        class: queued.class,
        priority,
        tokens,
        phase: AttemptPhase::Prefill,
        prefill_left,
        prefill_left_min: overdue_prefill_left(prefill_left),
        dispatched_at: now,
        best_effort: false,
        grouped: false,
        overlapped: false,
    }
}
