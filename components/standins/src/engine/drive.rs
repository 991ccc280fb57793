//! Advances the simulation of the engine as time passes on the clock.

use std::time::{Duration, Instant};

use kernel::CancellationToken;
use model::ModelEvent;
use smol::future;

use crate::engine::{
    StandinEngine,
    attempts::{AttemptAction, AttemptKey},
    cache_log::CacheLog,
    state::EngineState,
};

// Limits the sleep so that a clock jump cannot leave the driver asleep.
const MAX_DRIVER_WAIT: Duration = Duration::from_secs(1);

impl StandinEngine {
    /// Advances the simulation as its events fall due, until `token` is cancelled.
    pub async fn drive(&self, token: CancellationToken) {
        while !token.is_cancelled() {
            let next = self.run_due_work();
            let now = self.clock.now();
            let wait = next.saturating_duration_since(now).min(MAX_DRIVER_WAIT);
            let timer = self.clock.sleep(wait);
            let wake_signal = async {
                self.wake_receiver.recv().await.ok();
            };
            future::or(future::or(timer, wake_signal), token.cancelled()).await;
        }
    }

    /// Runs everything that is due and returns the time on the clock at which to
    /// run again.
    fn run_due_work(&self) -> Instant {
        let now = self.clock.now();
        if self.incarnation_token().is_cancelled() {
            return now + MAX_DRIVER_WAIT;
        }
        let crashed = self.with_state(|state| self.advance(state, now));
        if crashed {
            self.kill(self.settings.restart_after());
        }
        self.with_state(|state| self.next_step_at(state, now))
    }

    /// Advances the simulation to `now` and returns whether a prompt crashes the
    /// engine.
    fn advance(&self, state: &mut EngineState, now: Instant) -> bool {
        let simulated_now = self.scale.to_simulated(now);
        state.apply_finished_loads(now);
        let events = state.simulation.advance(simulated_now);
        let crashed = events
            .into_iter()
            .any(|event| self.forward_event(state, event));
        self.record_events_and_report(state, now, simulated_now);
        crashed
    }

    /// Forwards an event to its attempt and returns whether it crashes the engine.
    fn forward_event(&self, state: &mut EngineState, event: ModelEvent) -> bool {
        let key = state.attempt_key(event.sequence);
        let Some(running) = state.attempts.get_mut(&key) else {
            return false;
        };
        match running.forward(event.kind) {
            AttemptAction::Nothing => false,
            AttemptAction::ConnectMembers => {
                let members = running.members.clone();
                let (request, attempt) = (running.request.clone(), running.attempt);
                self.connect_members(key, members, &request, attempt);
                false
            }
            AttemptAction::Remove => {
                state.attempts.remove(&key);
                false
            }
            AttemptAction::CrashEngine => true,
        }
    }

    /// Logs new cache events, and samples a report if one is due.
    fn record_events_and_report(
        &self,
        state: &mut EngineState,
        now: Instant,
        simulated_now: Instant,
    ) {
        let slice = state.simulation.cache_events(state.cache.next_number());
        let readable = CacheLog::readable_at(now, self.settings.cache_delay_ms);
        state
            .cache
            .record(slice, readable, self.settings.cache_gap_every);
        if state.reports.next_sample_at(now, self.report_interval()) <= now {
            let report = state.simulation.report(simulated_now);
            state.reports.record(now, report);
        }
    }

    fn next_step_at(&self, state: &EngineState, now: Instant) -> Instant {
        let simulated = state.simulation.next_event_at();
        let event = simulated.map(|at| self.scale.to_clock(at));
        let report = state.reports.next_sample_at(now, self.report_interval());
        let times = [event, state.loads.next_ready_at(), Some(report)];
        times.into_iter().flatten().min().unwrap_or(now)
    }

    fn report_interval(&self) -> Duration {
        Duration::from_millis(self.settings.report_interval_ms.max(1))
    }

    /// Cancels an attempt that lost one of its members and ends its stream with
    /// `cause`.
    pub(crate) fn cancel_and_fail_attempt(&self, key: AttemptKey, cause: &str) {
        self.with_state(|state| {
            if let Some(running) = state.cancel_attempt(key, self.simulated_now()) {
                running.send_failure(cause);
            }
        });
        self.wake_driver();
    }
}
