//! The stand-in engine: its state, faults and life cycle.

use std::{
    sync::{Arc, Mutex, PoisonError, Weak},
    time::{Duration, Instant},
};

use errors::{SendPhase, UpstreamError};
use kernel::{CancellationToken, ClockSource};
use model::ModelError;
use smol::channel::{Receiver, Sender, bounded};
use stores::fakes::{CallKind, FaultInjector};
use types::{AttemptId, EngineReport, IncarnationNumber, RequestId, TokenCount};
use upstream::KvExport;

use crate::{
    engine::{EngineSettings, attempts::AttemptKey, scale::TimeScale, state::EngineState},
    faults::{STATUS_UNAVAILABLE, run_with_faults},
};

pub(crate) const STATUS_NOT_FOUND: u16 = 404;
const STATUS_TOO_LARGE: u16 = 413;
const STATUS_RUNNING: u16 = 422;
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A model engine in memory, with faults that can be injected.
pub struct StandinEngine {
    pub(crate) settings: EngineSettings,
    pub(crate) clock: ClockSource,
    pub(crate) scale: TimeScale,
    pub(crate) weak_self: Weak<Self>,
    pub(crate) wake_sender: Sender<()>,
    pub(crate) wake_receiver: Receiver<()>,
    injector: FaultInjector,
    state: Mutex<EngineState>,
}

impl StandinEngine {
    /// Creates an idle engine; it makes progress only while `drive` runs.
    #[must_use]
    pub fn new(settings: EngineSettings, clock: ClockSource) -> Arc<Self> {
        let now = clock.now();
        let state = EngineState::new(&settings, now);
        let (wake_sender, wake_receiver) = bounded(1);
        let injector = FaultInjector::new(&settings.id, clock.clone());
        injector.set(settings.faults.clone());
        Arc::new_cyclic(|weak_self| Self {
            scale: TimeScale::new(now, settings.time_scale),
            settings,
            clock,
            weak_self: weak_self.clone(),
            wake_sender,
            wake_receiver,
            injector,
            state: Mutex::new(state),
        })
    }

    /// The fault injector of its calls. A call held back by `hold_writes` never runs.
    #[must_use]
    pub fn fault_injector(&self) -> &FaultInjector {
        &self.injector
    }

    /// Simulates a crash of the process: connections break and memory is lost.
    /// `EngineServer` restarts it after `restart_after` with a new incarnation, or
    /// leaves it down if that is `None`. Without a server it stays down until
    /// `restart` is called.
    pub fn kill(&self, restart_after: Option<Duration>) {
        self.with_state(|state| {
            state.crash(self.simulated_now(), &self.settings.id, restart_after);
        });
        self.wake_driver();
        log::info!("event=standin_engine_killed engine={}", self.settings.id);
    }

    /// Number of attempts accepted since the first start, across restarts.
    #[must_use]
    pub fn submits(&self) -> u64 {
        self.with_state(|state| state.submits)
    }

    /// KV cache memory in use, including reservations, in tokens.
    #[must_use]
    pub fn used_tokens(&self) -> TokenCount {
        self.simulation_report().kv_used
    }

    /// Current incarnation number; each restart has a higher one.
    #[must_use]
    pub fn incarnation(&self) -> IncarnationNumber {
        self.with_state(|state| state.simulation.profile().incarnation)
    }

    /// Token that is cancelled when the current incarnation ends.
    pub(crate) fn incarnation_token(&self) -> CancellationToken {
        self.with_state(|state| state.incarnation_token.clone())
    }

    /// Starts the next incarnation after a crash; `EngineServer` calls it on
    /// its own.
    pub fn restart(&self) {
        self.with_state(|state| state.restart(&self.settings));
        self.wake_driver();
    }

    pub(crate) fn restart_after(&self) -> Option<Duration> {
        self.with_state(|state| state.restart_after)
    }

    /// Cancels an attempt whose stream was dropped, unless it has already ended.
    pub(crate) fn cancel_dropped_attempt(&self, key: AttemptKey) {
        self.with_state(|state| state.cancel_attempt(key, self.simulated_now()));
        self.wake_driver();
    }

    /// Number of sequences that are decoding.
    #[must_use]
    pub fn decoding_sequences(&self) -> u32 {
        self.simulation_report().decoding
    }

    /// Returns whether this engine holds KV memory for an attempt.
    pub(crate) fn holds_memory(&self, request: &RequestId, attempt: AttemptId) -> bool {
        let report = self.simulation_report();
        let mut holds = report.holds.iter();
        holds.any(|hold| hold.request == *request && hold.attempt == attempt)
    }

    /// Finds the KV memory held under the name `request/attempt`, whether exported
    /// or reserved.
    pub(crate) fn find_export(&self, export: &str) -> Option<KvExport> {
        let mut holds = self.simulation_report().holds.into_iter();
        let hold = holds.find(|hold| format!("{}/{}", hold.request, hold.attempt) == export)?;
        Some(KvExport {
            export: export.to_owned(),
            tokens: hold.tokens,
        })
    }

    /// The current report of the simulation, with simulated durations.
    fn simulation_report(&self) -> EngineReport {
        self.with_state(|state| state.simulation.report(self.simulated_now()))
    }

    pub(crate) fn simulated_now(&self) -> Instant {
        self.scale.to_simulated(self.clock.now())
    }

    /// Wakes `drive` so that it picks up a changed state at once.
    pub(crate) fn wake_driver(&self) {
        self.wake_sender.try_send(()).ok();
    }

    pub(crate) fn with_state<T>(&self, change: impl FnOnce(&mut EngineState) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut state)
    }

    pub(crate) fn refused_error(&self, step: &str, status: u16, cause: String) -> UpstreamError {
        UpstreamError::Refused {
            step: step.to_owned(),
            peer: self.settings.id.clone(),
            status,
            cause,
            retry_after: (status == STATUS_UNAVAILABLE).then_some(MEMORY_RETRY_DELAY),
        }
    }

    pub(crate) fn simulation_error(&self, step: &str, error: ModelError) -> UpstreamError {
        let status = match error {
            ModelError::Fenced { newest } => {
                return UpstreamError::Fenced {
                    step: step.to_owned(),
                    peer: self.settings.id.clone(),
                    newest,
                };
            }
            ModelError::TooLarge { .. } => STATUS_TOO_LARGE,
            ModelError::NoMemory { .. } => STATUS_UNAVAILABLE,
            ModelError::AlreadyRunning => STATUS_RUNNING,
            ModelError::UnknownAttempt => STATUS_NOT_FOUND,
        };
        self.refused_error(step, status, error.to_string())
    }

    pub(crate) fn check_alive(&self, step: &str) -> Result<(), UpstreamError> {
        self.with_state(|state| self.check_alive_in(state, step))
    }

    fn check_alive_in(&self, state: &EngineState, step: &str) -> Result<(), UpstreamError> {
        if !state.incarnation_token.is_cancelled() {
            return Ok(());
        }
        Err(UpstreamError::Broken {
            step: step.to_owned(),
            peer: self.settings.id.clone(),
            phase: SendPhase::BeforeFirstByte,
            cause: "the engine has crashed and not restarted".to_owned(),
        })
    }

    /// Applies `change` under the state lock and the injected faults, then wakes
    /// the driver. `change` gets the simulated time.
    pub(crate) async fn run_write<T: Send>(
        &self,
        step: &str,
        change: impl FnOnce(&mut EngineState, Instant) -> Result<T, ModelError> + Send,
    ) -> Result<T, UpstreamError> {
        let work = || {
            let outcome = self.with_state(|state| {
                self.check_alive_in(state, step)?;
                let outcome = change(state, self.simulated_now());
                outcome.map_err(|error| self.simulation_error(step, error))
            });
            self.wake_driver();
            outcome
        };
        run_with_faults(&self.injector, step, CallKind::Write, work).await
    }

    /// Applies `read`, which gets the time on the clock, under the state lock and
    /// the injected faults.
    pub(crate) async fn run_read<T: Send>(
        &self,
        step: &str,
        read: impl FnOnce(&mut EngineState, Instant) -> T + Send,
    ) -> Result<T, UpstreamError> {
        let work = || {
            self.with_state(|state| {
                self.check_alive_in(state, step)?;
                Ok(read(state, self.clock.now()))
            })
        };
        run_with_faults(&self.injector, step, CallKind::Read, work).await
    }
}
