//! Which engine takes what waits.

use std::time::{Duration, Instant};

use admission::{LengthClass, PoolIndex, QueuedJob};
use types::{EngineId, EngineRole, PlanKind, RequestId, TokenCount};

use crate::{
    NodeScheduler, SchedulerAction,
    estimate::seconds,
    gang::group_pace,
    load::LoadMeter,
    placement::{EngineOffer, PromptUrgency, engine_priority, may_borrow, needed_tokens, place},
    pool::PoolKey,
    scheduler::RunningJob,
    view::{EngineFlight, EngineView, FlightPhase, least_left},
};

/// Classes that run on one engine, in the order they are served.
const SINGLE_CLASSES: [LengthClass; 3] =
    [LengthClass::Short, LengthClass::Medium, LengthClass::Long];

/// An engine for the head of a lane.
struct EngineChoice {
    request: RequestId,
    engine: EngineId,
    urgency: PromptUrgency,
}

/// Prefill time from which other engines help a long prompt.
const HELPED_WORK: Duration = Duration::from_secs(20);
/// Most engines that help one prompt.
const HELPERS_MAX: usize = 2;
/// Free part of its memory that an engine needs to help.
const HELPER_MEMORY: f64 = 0.5;

impl NodeScheduler {
    /// Starts everything that an engine can take now.
    pub(crate) fn dispatch_all(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        if self.queue.is_empty() {
            return;
        }
        self.floor.accrue(now, self.engines.len());
        for view in self.engines.values_mut() {
            view.advance(now);
        }
        for pool in self.queue.pools() {
            for class in SINGLE_CLASSES {
                self.dispatch_lane(now, pool, class, actions);
            }
            self.dispatch_gangs(now, pool, actions);
        }
    }

    fn dispatch_lane(
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
            let engines = self.with_helpers(&key, choice.engine, &choice.request, class);
            let started = self.start(now, &choice.request, engines, choice.urgency);
            actions.extend(started);
        }
    }

    /// The engine chosen and, for a long prompt, its helpers.
    fn with_helpers(
        &self,
        key: &PoolKey,
        leader: EngineId,
        request: &RequestId,
        class: LengthClass,
    ) -> Vec<EngineId> {
        let mut engines = vec![leader];
        let work = self.queue.job_work(request).unwrap_or_default();
        if class == LengthClass::Long && work >= HELPED_WORK && !self.gangs.backs_off(request) {
            let helpers = self.helpers(key, &engines);
            engines.extend(helpers);
        }
        engines
    }

    /// Calm engines of this node that may lend a long prompt their compute;
    /// enough of them stay with the short prompts.
    pub(crate) fn helpers(&self, key: &PoolKey, chosen: &[EngineId]) -> Vec<EngineId> {
        let calm: Vec<&EngineId> = self
            .engines
            .iter()
            .filter(|(engine, view)| !chosen.contains(engine) && key.usable(view))
            .filter(|(engine, view)| view.is_idle(&self.node) && !self.gangs.reserves(engine))
            .filter(|(_, view)| view.kv_free(&self.node) >= view.kv_part(HELPER_MEMORY))
            .map(|(engine, _)| engine)
            .collect();
        let spare = calm.len().saturating_sub(self.kept_calm());
        let helpers = calm.into_iter().rev().take(spare.min(HELPERS_MAX));
        helpers.cloned().collect()
    }

    /// Calm engines that short prompts need at their present rate.
    fn kept_calm(&self) -> usize {
        let wanted = self.engines.values();
        let short = wanted.filter(|view| view.wanted_role == EngineRole::Short);
        short.count().max(1)
    }

    /// How a job ranks on an engine now.
    pub(crate) fn urgency(&self, queued: &QueuedJob) -> PromptUrgency {
        match queued.job.plan {
            PlanKind::Paying if self.shares.is_over_share(queued.organisation) => {
                PromptUrgency::Surplus
            }
            PlanKind::Paying => PromptUrgency::Paying,
            PlanKind::Trial if queued.prefill_time <= self.floor.available() => {
                PromptUrgency::TrialFloor
            }
            PlanKind::Trial => PromptUrgency::Trial,
        }
    }

    /// The engine that suits the head of a lane best, if one takes it now.
    fn choose_engine(
        &mut self,
        pool: PoolIndex,
        now: Instant,
        class: LengthClass,
        key: &PoolKey,
    ) -> Option<EngineChoice> {
        let floor = self.floor.available();
        let head = self.queue.head(pool, class, &self.shares, floor)?.clone();
        let urgency = self.urgency(&head);
        let mut offers = Vec::new();
        for (engine, view) in &self.engines {
            if !key.usable(view) || !may_borrow(now, view, &head) {
                continue;
            }
            if class != LengthClass::Short && self.gangs.reserves(engine) {
                continue;
            }
            let offer = place(view, &self.node, &head, urgency, &self.settings);
            let far = view.report.profile.zone != head.job.zone;
            offers.extend(offer.map(|offer| (offer, far, engine)));
        }
        let avoided = self.suspects.avoided(&head.job.request, &self.running);
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

    /// Takes a job out of the queue and starts it on `engines`.
    pub(crate) fn start(
        &mut self,
        now: Instant,
        request: &RequestId,
        engines: Vec<EngineId>,
        urgency: PromptUrgency,
    ) -> Option<SchedulerAction> {
        let queued = self.queue.start(request, &mut self.shares)?;
        self.shares.record_start(queued.organisation);
        let meter = self.meter.get_or_insert_with(|| LoadMeter::new(now));
        meter.record(now, queued.class, queued.prefill_time);
        if urgency == PromptUrgency::TrialFloor {
            self.floor.spend(queued.prefill_time);
        }
        let priority = engine_priority(urgency, queued.job.prompt_tokens);
        let count = u64::try_from(engines.len().max(1)).unwrap_or(1);
        let share = needed_tokens(&queued).div_ceil(count);
        let mut expected = queued.prefill_time;
        for (place, engine) in engines.iter().enumerate() {
            let Some(view) = self.engines.get_mut(engine) else {
                continue;
            };
            if place == 0 && queued.class != LengthClass::Gang {
                let alone = left_on(view, &queued);
                expected = seconds(alone.as_secs_f64() / group_pace(engines.len()));
            }
            let mut flight = flight(now, &queued, priority, share, expected);
            flight.secondary = urgency.is_secondary();
            flight.grouped = engines.len() > 1;
            if place > 0 {
                flight.class = LengthClass::Gang;
            }
            view.add(now, flight);
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
            charged: queued.cost,
            queued,
            engines,
            started: now,
            first_token: None,
            expected,
        };
        self.running.insert(request.clone(), running);
        Some(action)
    }
}

/// The engine of least cost. A short prompt that can bear a step of longer
/// work leaves the last calm engine to one that can't.
fn best_offer<'a>(
    offers: &[(EngineOffer, bool, &'a EngineId)],
    class: LengthClass,
) -> Option<&'a EngineId> {
    let calm = offers.iter().filter(|(offer, ..)| offer.calm).count();
    let leaves = class == LengthClass::Short && calm <= 1;
    let best = offers.iter().min_by_key(|(offer, far, engine)| {
        let avoided = leaves && (offer.calm || !offer.allowed);
        (avoided, offer.cost, *far, *engine)
    });
    best.map(|(_, _, engine)| *engine)
}

fn left_on(view: &EngineView, queued: &QueuedJob) -> Duration {
    let cached = view.prefixes.cached_tokens(&queued.job);
    let profile = &view.report.profile;
    view.speed
        .prefill(profile, cached, queued.job.prompt_tokens)
}

fn flight(
    now: Instant,
    queued: &QueuedJob,
    priority: u32,
    tokens: TokenCount,
    left: Duration,
) -> EngineFlight {
    EngineFlight {
        request: queued.job.request.clone(),
        attempt: queued.attempt,
        class: queued.class,
        priority,
        tokens,
        phase: FlightPhase::Prefill,
        left,
        least: least_left(left),
        dispatched: now,
        secondary: false,
        grouped: false,
        shared: false,
    }
}
