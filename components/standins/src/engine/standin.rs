//! The engine itself, called within the process.

use std::{
    sync::{Arc, Mutex, PoisonError, Weak},
    time::{Duration, Instant},
};

use errors::{SendPhase, UpstreamError};
use kernel::{CancellationToken, ClockSource};
use model::ModelError;
use smol::channel::{Receiver, Sender, bounded};
use stores::fakes::{CallKind, FaultSwitch};
use types::{AttemptId, EngineReport, IncarnationNumber, RequestId, TokenCount};
use upstream::KvExport;

use crate::{
    engine::{EngineSettings, attempts::AttemptPlace, scale::TimeScale, state::EngineState},
    faults::{STATUS_UNAVAILABLE, guarded},
};

pub(crate) const STATUS_NOT_FOUND: u16 = 404;
const STATUS_TOO_LARGE: u16 = 413;
const STATUS_RUNNING: u16 = 422;
const MEMORY_RETRY: Duration = Duration::from_millis(500);

/// A model engine in memory, with switchable faults.
pub struct StandinEngine {
    pub(crate) settings: EngineSettings,
    pub(crate) clock: ClockSource,
    pub(crate) scale: TimeScale,
    pub(crate) itself: Weak<Self>,
    pub(crate) wake: Sender<()>,
    pub(crate) woken: Receiver<()>,
    switch: FaultSwitch,
    state: Mutex<EngineState>,
}

impl StandinEngine {
    /// An idle engine; `drive` must run for it to work.
    #[must_use]
    pub fn new(settings: EngineSettings, clock: ClockSource) -> Arc<Self> {
        let now = clock.now();
        let state = EngineState::new(&settings, now);
        let (wake, woken) = bounded(1);
        let switch = FaultSwitch::new(&settings.id, clock.clone());
        switch.set(settings.faults.clone());
        Arc::new_cyclic(|itself| Self {
            scale: TimeScale::new(now, settings.time_scale),
            settings,
            clock,
            itself: itself.clone(),
            wake,
            woken,
            switch,
            state: Mutex::new(state),
        })
    }

    /// The faults of its calls; a held call is lost.
    #[must_use]
    pub fn switch(&self) -> &FaultSwitch {
        &self.switch
    }

    /// The process dies: connections drop and memory is lost. After
    /// `restart_after` it is back with a new incarnation; without, it stays
    /// down.
    pub fn kill(&self, restart_after: Option<Duration>) {
        self.locked(|state| state.crash(self.model_now(), &self.settings.id, restart_after));
        self.nudge();
        log::info!("event=standin_engine_killed engine={}", self.settings.id);
    }

    /// Attempts taken since the start, crashes or not.
    #[must_use]
    pub fn submits(&self) -> u64 {
        self.locked(|state| state.submits)
    }

    /// KV memory in use now, holds included, in tokens.
    #[must_use]
    pub fn used_tokens(&self) -> TokenCount {
        self.model_report().kv_used
    }

    /// Life of the process now.
    #[must_use]
    pub fn incarnation(&self) -> IncarnationNumber {
        self.locked(|state| state.model.profile().incarnation)
    }

    pub(crate) fn life(&self) -> CancellationToken {
        self.locked(|state| state.life.clone())
    }

    /// Begins the next life after a crash; `EngineServer` does it by itself.
    pub fn revive(&self) {
        self.locked(|state| state.revive(&self.settings));
        self.nudge();
    }

    pub(crate) fn restart_after(&self) -> Option<Duration> {
        self.locked(|state| state.restart_after)
    }

    /// Ends an attempt whose stream is gone, unless it has ended already.
    pub(crate) fn abandon(&self, place: AttemptPlace) {
        self.locked(|state| state.remove_attempt(place, self.model_now()));
        self.nudge();
    }

    /// Sequences being decoded now.
    #[must_use]
    pub fn generating(&self) -> u32 {
        self.model_report().decoding
    }

    /// Whether memory is held here for an attempt.
    pub(crate) fn holds(&self, request: &RequestId, attempt: AttemptId) -> bool {
        let report = self.model_report();
        let mut holds = report.holds.iter();
        holds.any(|hold| hold.request == *request && hold.attempt == attempt)
    }

    /// The export of that name, if it is still held.
    pub(crate) fn exported(&self, export: &str) -> Option<KvExport> {
        let mut holds = self.model_report().holds.into_iter();
        let hold = holds.find(|hold| format!("{}/{}", hold.request, hold.attempt) == export)?;
        Some(KvExport {
            export: export.to_owned(),
            tokens: hold.tokens,
        })
    }

    /// The model's report as it is now, in its own times.
    fn model_report(&self) -> EngineReport {
        self.locked(|state| state.model.report(self.model_now()))
    }

    pub(crate) fn model_now(&self) -> Instant {
        self.scale.to_model(self.clock.now())
    }

    pub(crate) fn nudge(&self) {
        self.wake.try_send(()).ok();
    }

    pub(crate) fn locked<T>(&self, change: impl FnOnce(&mut EngineState) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut state)
    }

    pub(crate) fn refused(&self, step: &str, status: u16, cause: String) -> UpstreamError {
        UpstreamError::Refused {
            step: step.to_owned(),
            peer: self.settings.id.clone(),
            status,
            cause,
            retry_after: (status == STATUS_UNAVAILABLE).then_some(MEMORY_RETRY),
        }
    }

    pub(crate) fn model_error(&self, step: &str, error: ModelError) -> UpstreamError {
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
        self.refused(step, status, error.to_string())
    }

    pub(crate) fn check_alive(&self, step: &str) -> Result<(), UpstreamError> {
        self.locked(|state| self.alive(state, step))
    }

    fn alive(&self, state: &EngineState, step: &str) -> Result<(), UpstreamError> {
        if !state.life.is_cancelled() {
            return Ok(());
        }
        Err(UpstreamError::Broken {
            step: step.to_owned(),
            peer: self.settings.id.clone(),
            phase: SendPhase::BeforeFirstByte,
            cause: "down".to_owned(),
        })
    }

    /// Runs a change of the model under its lock and the faults, then lets
    /// the driver look.
    pub(crate) async fn change<T: Send>(
        &self,
        step: &str,
        change: impl FnOnce(&mut EngineState, Instant) -> Result<T, ModelError> + Send,
    ) -> Result<T, UpstreamError> {
        let work = || {
            let outcome = self.locked(|state| {
                self.alive(state, step)?;
                let outcome = change(state, self.model_now());
                outcome.map_err(|error| self.model_error(step, error))
            });
            self.nudge();
            outcome
        };
        guarded(&self.switch, step, CallKind::Write, work).await
    }

    pub(crate) async fn look<T: Send>(
        &self,
        step: &str,
        look: impl FnOnce(&mut EngineState, Instant) -> T + Send,
    ) -> Result<T, UpstreamError> {
        let work = || {
            self.locked(|state| {
                self.alive(state, step)?;
                Ok(look(state, self.clock.now()))
            })
        };
        guarded(&self.switch, step, CallKind::Read, work).await
    }
}
