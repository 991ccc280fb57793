//! Moves the engine model along with the clock.

use std::time::{Duration, Instant};

use kernel::CancellationToken;
use model::ModelEvent;
use smol::future;

use crate::engine::{
    StandinEngine,
    attempts::{AttemptPlace, AttemptStep},
    cache_log::CacheLog,
    state::EngineState,
};

// Bounds the wait so that a clock jump never strands the driver.
const LONGEST_WAIT: Duration = Duration::from_secs(1);

impl StandinEngine {
    /// Drives the model until `token` is cancelled.
    pub async fn drive(&self, token: CancellationToken) {
        while !token.is_cancelled() {
            let next = self.step();
            let now = self.clock.now();
            let wait = next.saturating_duration_since(now).min(LONGEST_WAIT);
            let timer = self.clock.sleep(wait);
            let woken = async {
                self.woken.recv().await.ok();
            };
            future::or(future::or(timer, woken), token.cancelled()).await;
        }
    }

    /// Does what is due; the clock's time of the next step.
    fn step(&self) -> Instant {
        let now = self.clock.now();
        if self.life().is_cancelled() {
            return now + LONGEST_WAIT;
        }
        let crashed = self.locked(|state| self.advance(state, now));
        if crashed {
            self.kill(self.settings.restart_after());
        }
        self.locked(|state| self.next_step(state, now))
    }

    fn advance(&self, state: &mut EngineState, now: Instant) -> bool {
        let model_now = self.scale.to_model(now);
        state.finish_loads(now);
        let events = state.model.advance(model_now);
        let crashed = events.into_iter().any(|event| self.take(state, event));
        self.record(state, now, model_now);
        crashed
    }

    /// Sends an event on; whether it crashes the engine.
    fn take(&self, state: &mut EngineState, event: ModelEvent) -> bool {
        let place = state.place(event.sequence);
        let Some(running) = state.attempts.get_mut(&place) else {
            return false;
        };
        match running.take(event.kind) {
            AttemptStep::GoOn => false,
            AttemptStep::Begin => {
                let members = running.members.clone();
                let (request, attempt) = (running.request.clone(), running.attempt);
                self.borrow_members(place, members, &request, attempt);
                false
            }
            AttemptStep::End => {
                state.attempts.remove(&place);
                false
            }
            AttemptStep::Crash => true,
        }
    }

    fn record(&self, state: &mut EngineState, now: Instant, model_now: Instant) {
        let slice = state.model.cache_events(state.cache.next());
        let readable = CacheLog::readable_at(now, self.settings.cache_delay_ms);
        state
            .cache
            .record(slice, readable, self.settings.cache_gap_every);
        if state.reports.due(now, self.report_interval()) <= now {
            let report = state.model.report(model_now);
            state.reports.record(now, report);
        }
    }

    fn next_step(&self, state: &EngineState, now: Instant) -> Instant {
        let model = state.model.next_event_at();
        let model = model.map(|at| self.scale.to_clock(at));
        let report = state.reports.due(now, self.report_interval());
        let times = [model, state.loads.next_at(), Some(report)];
        times.into_iter().flatten().min().unwrap_or(now)
    }

    fn report_interval(&self) -> Duration {
        Duration::from_millis(self.settings.report_interval_ms.max(1))
    }

    /// Fails an attempt that lost one of its members.
    pub(crate) fn fail_attempt(&self, place: AttemptPlace, cause: &str) {
        self.locked(|state| {
            if let Some(running) = state.remove_attempt(place, self.model_now()) {
                running.fail(cause);
            }
        });
        self.nudge();
    }
}
