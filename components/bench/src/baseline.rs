//! Common load balancers to compare with: each node dispatches straight to
//! engines.
//!
//! Engines queue prompts in order of arrival. A prompt larger than one engine
//! runs on several if all of them can reserve memory at once, and is retried
//! otherwise. A failed attempt is retried on engines without a failed
//! attempt since their last report.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use routing::{RefusalReason, SchedulerAction, SchedulerEvent};
use types::{AttemptId, EngineId, EngineReport, PromptJob, RequestId, TokenCount};

use crate::engine_row::{EngineRow, SentWork};

/// Delay before a gang whose reservation was refused is retried.
const GANG_RETRY: Duration = Duration::from_millis(500);
/// Share of each engine's memory that a gang is sized for, in percent.
const GANG_FILL_PERCENT: TokenCount = 95;
/// Failed attempts after which a request is refused.
const FAILURES_MAX: u32 = 4;
/// Retry-after time given to refused callers.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A baseline balancing rule.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BaselineKind {
    /// Picks engines in turn.
    RoundRobin,
    /// Picks the engine with the least work, counting its last report and the
    /// attempts that this node sent since.
    LeastLoaded,
}

/// A prompt of this node and its latest attempt.
#[derive(Clone, Debug)]
struct RouterJob {
    job: PromptJob,
    attempt: AttemptId,
    failures: u32,
    resume_at: TokenCount,
    engines: Vec<EngineId>,
    /// When a gang that waits for memory is retried.
    retry: Option<Instant>,
}

/// The baseline balancer of one node.
#[derive(Debug)]
pub struct BaselineRouter {
    kind: BaselineKind,
    engines: Vec<EngineRow>,
    jobs: HashMap<RequestId, RouterJob>,
    waiting: Vec<RequestId>,
    cursor: usize,
    rng: StdRng,
}

impl BaselineRouter {
    /// Creates a balancer without engines; `seed` sets its random choices.
    #[must_use]
    pub fn new(kind: BaselineKind, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        Self {
            kind,
            engines: Vec::new(),
            jobs: HashMap::new(),
            waiting: Vec::new(),
            cursor: usize::from(rng.random::<u8>()),
            rng,
        }
    }

    /// Handles one event and returns the resulting actions.
    pub fn handle(&mut self, now: Instant, event: SchedulerEvent) -> Vec<SchedulerAction> {
        match event {
            SchedulerEvent::Arrived { job, .. } => self.handle_arrival(now, job),
            SchedulerEvent::EngineReported(report) => {
                self.update_report(now, report);
                Vec::new()
            }
            SchedulerEvent::EngineGone { engine } => {
                self.engines
                    .retain(|row| row.report.profile.engine != engine);
                Vec::new()
            }
            SchedulerEvent::Finished { request, .. } | SchedulerEvent::Cancelled { request } => {
                self.remove_job(&request);
                Vec::new()
            }
            SchedulerEvent::Failed {
                request, delivered, ..
            } => self.handle_failure(now, &request, delivered),
            SchedulerEvent::GangReservationRefused { request, .. } => {
                self.schedule_retry(now, &request);
                Vec::new()
            }
            SchedulerEvent::Tick => self.retry_waiting(now),
            _ => Vec::new(),
        }
    }

    fn handle_arrival(&mut self, now: Instant, job: PromptJob) -> Vec<SchedulerAction> {
        let request = job.request.clone();
        let entry = RouterJob {
            job,
            attempt: 0,
            failures: 0,
            resume_at: 0,
            engines: Vec::new(),
            retry: None,
        };
        self.jobs.insert(request.clone(), entry);
        self.dispatch(now, &request)
    }

    fn update_report(&mut self, now: Instant, report: EngineReport) {
        let reported_at = now.checked_sub(report.age).unwrap_or(now);
        let known = self
            .engines
            .iter_mut()
            .find(|row| row.report.profile.engine == report.profile.engine);
        if let Some(row) = known {
            row.reported_at = reported_at;
            row.report = report;
            row.suspect = false;
            row.sent.retain(|work| work.at >= reported_at);
            return;
        }
        self.engines.push(EngineRow {
            report,
            reported_at,
            sent: Vec::new(),
            suspect: false,
        });
        self.engines
            .sort_by(|left, right| left.report.profile.engine.cmp(&right.report.profile.engine));
    }

    fn dispatch(&mut self, now: Instant, request: &RequestId) -> Vec<SchedulerAction> {
        let Some(entry) = self.jobs.get(request) else {
            return Vec::new();
        };
        let total = entry.job.prompt_tokens + entry.job.output_tokens;
        let prefill = entry.job.prompt_tokens;
        let indices = self.choose_engines(total);
        let Some(count) = TokenCount::try_from(indices.len())
            .ok()
            .filter(|count| *count > 0)
        else {
            return self.refuse(request, RefusalReason::ModelNotReady);
        };
        for index in &indices {
            self.engines[*index].sent.push(SentWork {
                request: request.clone(),
                at: now,
                tokens: prefill / count,
                memory: total / count,
            });
        }
        let engines: Vec<EngineId> = indices
            .iter()
            .map(|index| self.engines[*index].report.profile.engine.clone())
            .collect();
        let Some(entry) = self.jobs.get_mut(request) else {
            return Vec::new();
        };
        entry.attempt += 1;
        entry.engines.clone_from(&engines);
        entry.retry = None;
        vec![SchedulerAction::Dispatch {
            request: request.clone(),
            attempt: entry.attempt,
            engines,
            priority: 0,
            resume_at: entry.resume_at,
        }]
    }

    /// Chooses engines, by index, for a sequence of `total` tokens.
    fn choose_engines(&mut self, total: TokenCount) -> Vec<usize> {
        let usable: Vec<usize> = (0..self.engines.len())
            .filter(|index| !self.engines[*index].suspect)
            .collect();
        let Some(first) = usable.first() else {
            return Vec::new();
        };
        let capacity = self.engines[*first].report.profile.kv_capacity;
        let count = engines_needed(total, capacity).min(usable.len());
        match self.kind {
            BaselineKind::RoundRobin => self.next_in_turn(&usable, count),
            BaselineKind::LeastLoaded if count > 1 => self.most_free(usable, count, total),
            BaselineKind::LeastLoaded => self.least_loaded(usable),
        }
    }

    fn next_in_turn(&mut self, usable: &[usize], count: usize) -> Vec<usize> {
        let first = self.cursor;
        self.cursor += count;
        (first..first + count)
            .map(|turn| usable[turn % usable.len()])
            .collect()
    }

    fn least_loaded(&mut self, usable: Vec<usize>) -> Vec<usize> {
        let least = usable
            .into_iter()
            .min_by_key(|index| (self.engines[*index].load(), self.rng.random::<u32>()));
        least.into_iter().collect()
    }

    /// The engines with the most free memory: at least `count`, and up to twice
    /// as many until each can hold an even share; `count` if none of these fit.
    fn most_free(&self, mut usable: Vec<usize>, count: usize, total: TokenCount) -> Vec<usize> {
        usable.sort_by_key(|index| (self.engines[*index].used(), self.engines[*index].load()));
        let fits = |count: &usize| {
            let row = &self.engines[usable[*count - 1]];
            let free = row.report.profile.kv_capacity.saturating_sub(row.used());
            let share = TokenCount::try_from(*count).map_or(total, |count| total.div_ceil(count));
            share <= free
        };
        let most = (count * 2).min(usable.len());
        let wanted = (count..=most).find(fits).unwrap_or(count);
        usable.truncate(wanted);
        usable
    }

    fn handle_failure(
        &mut self,
        now: Instant,
        request: &RequestId,
        delivered: TokenCount,
    ) -> Vec<SchedulerAction> {
        let Some(entry) = self.jobs.get_mut(request) else {
            return Vec::new();
        };
        entry.failures += 1;
        entry.resume_at = delivered;
        let exhausted = entry.failures >= FAILURES_MAX;
        let engines = entry.engines.clone();
        for row in &mut self.engines {
            row.suspect |= engines.contains(&row.report.profile.engine);
        }
        if exhausted {
            return self.refuse(request, RefusalReason::RetriesExhausted);
        }
        self.dispatch(now, request)
    }

    fn schedule_retry(&mut self, now: Instant, request: &RequestId) {
        for row in &mut self.engines {
            row.sent.retain(|work| work.request != *request);
        }
        if let Some(entry) = self.jobs.get_mut(request) {
            entry.retry = Some(now + GANG_RETRY);
            self.waiting.push(request.clone());
        }
    }

    fn retry_waiting(&mut self, now: Instant) -> Vec<SchedulerAction> {
        let mut actions = Vec::new();
        for request in std::mem::take(&mut self.waiting) {
            match self.jobs.get(&request).and_then(|entry| entry.retry) {
                Some(retry) if retry <= now => actions.extend(self.dispatch(now, &request)),
                Some(_) => self.waiting.push(request),
                None => {}
            }
        }
        actions
    }

    fn refuse(&mut self, request: &RequestId, reason: RefusalReason) -> Vec<SchedulerAction> {
        self.remove_job(request);
        vec![SchedulerAction::Refuse {
            request: request.clone(),
            reason,
            retry_after: RETRY_AFTER,
        }]
    }

    fn remove_job(&mut self, request: &RequestId) {
        let Some(entry) = self.jobs.remove(request) else {
            return;
        };
        for row in &mut self.engines {
            if entry.engines.contains(&row.report.profile.engine) {
                row.sent.retain(|work| work.request != *request);
            }
        }
    }
}

/// Number of engines that a sequence of `total` tokens needs.
fn engines_needed(total: TokenCount, capacity: TokenCount) -> usize {
    if total <= capacity {
        return 1;
    }
    let usable = (capacity * GANG_FILL_PERCENT / 100).max(1);
    usize::try_from(total.div_ceil(usable)).unwrap_or(usize::MAX)
}
