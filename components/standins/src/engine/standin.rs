//! The engine itself, called within the process.

use std::{
    sync::{Arc, Mutex, PoisonError, Weak},
    time::{Duration, Instant},
};

use async_trait::async_trait;
use errors::{SendPhase, UpstreamError};
use kernel::{CancellationToken, ClockSource};
use model::{AttemptSpec, EngineModel, HoldSpec, KvImportSpec, ModelError, SequenceId};
use smol::channel::{Receiver, Sender, bounded, unbounded};
use transport::HttpCaller;
use types::{
    AttemptId, EngineOrder, EngineReport, LoadedModel, RequestId, TokenCount, estimate_tokens,
    prefix_hashes,
};
use upstream::{
    CacheBatch, EngineCall, KvExport, KvImport, KvReservation, ModelEngine, TokenStream,
};

use crate::engine::{
    EngineSettings,
    attempts::{AttemptMap, AttemptStream, RunningAttempt},
    cache_log::CacheLog,
    loads::LoadQueue,
    report_log::ReportLog,
    scale::TimeScale,
};

const FETCH_LIMIT: Duration = Duration::from_secs(5);
const STATUS_NOT_FOUND: u16 = 404;
const STATUS_TOO_LARGE: u16 = 413;
const STATUS_RUNNING: u16 = 422;
const STATUS_UNAVAILABLE: u16 = 503;
const MEMORY_RETRY: Duration = Duration::from_millis(500);

/// What the engine holds, all of it lost in a crash but the settings.
pub(crate) struct EngineState {
    pub(crate) model: EngineModel,
    pub(crate) attempts: AttemptMap,
    pub(crate) ready: Vec<LoadedModel>,
    pub(crate) loads: LoadQueue,
    pub(crate) cache: CacheLog,
    pub(crate) reports: ReportLog,
    pub(crate) life: CancellationToken,
    pub(crate) restart_after: Option<Duration>,
    pub(crate) submits: u64,
}

/// A model engine in memory, with switchable faults.
pub struct StandinEngine {
    pub(crate) settings: EngineSettings,
    pub(crate) clock: ClockSource,
    pub(crate) scale: TimeScale,
    pub(crate) itself: Weak<Self>,
    pub(crate) wake: Sender<()>,
    pub(crate) woken: Receiver<()>,
    state: Mutex<EngineState>,
}

impl StandinEngine {
    /// An idle engine; `drive` must run for it to work.
    #[must_use]
    pub fn new(settings: EngineSettings, clock: ClockSource) -> Arc<Self> {
        let mut model = EngineModel::new(settings.profile(), settings.models.clone());
        model.set_checks_fencing(settings.checks_fencing);
        model.set_role(settings.role);
        let state = EngineState {
            model,
            attempts: AttemptMap::default(),
            ready: settings.models.clone(),
            loads: LoadQueue::default(),
            cache: CacheLog::default(),
            reports: ReportLog::default(),
            life: CancellationToken::new(),
            restart_after: settings.restart_after(),
            submits: 0,
        };
        let (wake, woken) = bounded(1);
        Arc::new_cyclic(|itself| Self {
            scale: TimeScale::new(clock.now(), settings.time_scale),
            settings,
            clock,
            itself: itself.clone(),
            wake,
            woken,
            state: Mutex::new(state),
        })
    }

    /// The process dies: connections drop and memory is lost. After
    /// `restart_after` it is back with a new incarnation; without, it stays
    /// down.
    pub fn kill(&self, restart_after: Option<Duration>) {
        let now = self.model_now();
        self.locked(|state| {
            state.model.crash(now);
            for (_, running) in state.attempts.drain() {
                running.cut(&self.settings.id);
            }
            state.ready.clear();
            state.loads = LoadQueue::default();
            state.cache.forget();
            state.reports = ReportLog::default();
            state.restart_after = restart_after;
            state.life.cancel();
        });
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
        let now = self.model_now();
        self.locked(|state| state.model.report(now).kv_used)
    }

    /// Life of the process now.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.locked(|state| state.model.profile().incarnation)
    }

    pub(crate) fn life(&self) -> CancellationToken {
        self.locked(|state| state.life.clone())
    }

    /// Begins the next life after a crash.
    pub(crate) fn revive(&self) {
        self.locked(|state| {
            state.set_ready(self.settings.models.clone());
            state.model.set_role(self.settings.role);
            state.life = CancellationToken::new();
        });
        self.nudge();
    }

    pub(crate) fn restart_after(&self) -> Option<Duration> {
        self.locked(|state| state.restart_after)
    }

    /// Ends an attempt whose stream is gone, unless it has ended already.
    pub(crate) fn abandon(&self, sequence: SequenceId, request: &RequestId, attempt: AttemptId) {
        let now = self.model_now();
        self.locked(|state| {
            if state.attempts.remove(&sequence).is_some() {
                state.model.cancel(now, request, attempt);
            }
        });
        self.nudge();
    }

    /// Whether memory is held here for an attempt.
    pub(crate) fn holds(&self, request: &RequestId, attempt: AttemptId) -> bool {
        let now = self.model_now();
        let report = self.locked(|state| state.model.report(now));
        let mut holds = report.holds.iter();
        holds.any(|hold| hold.request == *request && hold.attempt == attempt)
    }

    /// The export of that name, if it is still held.
    pub(crate) fn exported(&self, export: &str) -> Option<KvExport> {
        let now = self.model_now();
        let report = self.locked(|state| state.model.report(now));
        let mut holds = report.holds.into_iter();
        let hold = holds.find(|hold| format!("{}/{}", hold.request, hold.attempt) == export)?;
        Some(KvExport {
            export: export.to_owned(),
            tokens: hold.tokens,
        })
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
            ModelError::Running => STATUS_RUNNING,
            ModelError::Unknown => STATUS_NOT_FOUND,
        };
        self.refused(step, status, error.to_string())
    }

    fn check_alive(&self, step: &str) -> Result<(), UpstreamError> {
        if !self.life().is_cancelled() {
            return Ok(());
        }
        Err(UpstreamError::Broken {
            step: step.to_owned(),
            peer: self.settings.id.clone(),
            phase: SendPhase::BeforeFirstByte,
            cause: "down".to_owned(),
        })
    }

    fn check_loaded(&self, call: &EngineCall) -> Result<(), UpstreamError> {
        let loaded = self.locked(|state| {
            let now = self.clock.now();
            state.finish_loads(now);
            state.holds_model(call)
        });
        if loaded {
            return Ok(());
        }
        let cause = format!("{} {} is not loaded", call.model, call.version);
        Err(self.refused("engine submit", STATUS_NOT_FOUND, cause))
    }

    /// Runs a change of the model under its lock, then lets the driver look.
    fn change<T>(
        &self,
        step: &str,
        change: impl FnOnce(&mut EngineState, Instant) -> Result<T, ModelError>,
    ) -> Result<T, UpstreamError> {
        self.check_alive(step)?;
        let now = self.model_now();
        let outcome = self.locked(|state| change(state, now));
        self.nudge();
        outcome.map_err(|error| self.model_error(step, error))
    }

    fn hold_spec(&self, reservation: &KvReservation) -> HoldSpec {
        HoldSpec {
            request: reservation.request.clone(),
            attempt: reservation.attempt,
            holder: reservation.holder.clone(),
            tokens: reservation.tokens,
            lifetime: self.scale.longer(reservation.lifetime),
        }
    }

    /// The size of an export on the engine that holds it.
    async fn fetch_export(&self, import: &KvImport) -> Result<KvExport, UpstreamError> {
        let step = "engine import";
        let caller = HttpCaller::new(import.source.clone(), self.clock.clone(), FETCH_LIMIT);
        let request = caller.post(step, "/engine/fetch", &import.export)?;
        let answer = caller.call(step, request).await?;
        if answer.status() == STATUS_NOT_FOUND {
            let cause = format!("no export {} on {}", import.export, import.source);
            return Err(self.refused(step, STATUS_NOT_FOUND, cause));
        }
        Ok(caller.decode(step, &answer)?)
    }
}

impl EngineState {
    pub(crate) fn finish_loads(&mut self, now: Instant) {
        let ready = self.loads.finished(now);
        if ready.is_empty() {
            return;
        }
        let mut models = self.ready.clone();
        models.extend(ready);
        self.set_ready(models);
    }

    fn set_ready(&mut self, models: Vec<LoadedModel>) {
        self.ready.clone_from(&models);
        self.model.set_models(models);
    }

    fn holds_model(&self, call: &EngineCall) -> bool {
        self.ready.iter().any(|loaded| {
            let adapter = call.adapter.as_ref();
            let fits = adapter.is_none_or(|adapter| loaded.adapters.contains(adapter));
            loaded.model == call.model && loaded.version == call.version && fits
        })
    }
}

fn attempt_spec(call: &EngineCall) -> AttemptSpec {
    AttemptSpec {
        request: call.request.clone(),
        attempt: call.attempt,
        priority: call.priority,
        prompt_tokens: estimate_tokens(&call.prompt),
        resume_at: call.resume_at,
        output_tokens: call.output_tokens,
        answer_tokens: call.output_tokens,
        prefixes: prefix_hashes(
            &call.model,
            &call.version,
            call.adapter.as_ref(),
            &call.prompt,
        ),
        members: u32::try_from(call.members.len()).unwrap_or(u32::MAX),
        member_tokens: call.members.iter().map(|member| member.tokens).sum(),
    }
}

#[async_trait]
impl ModelEngine for StandinEngine {
    async fn submit(&self, call: EngineCall) -> Result<TokenStream, UpstreamError> {
        let step = "engine submit";
        self.check_alive(step)?;
        self.check_loaded(&call)?;
        let (sender, events) = unbounded();
        let crashes = self.settings.crashes_on(&call.prompt);
        let attempt = RunningAttempt::new(&call, crashes, sender);
        let spec = attempt_spec(&call);
        let sequence = self.change(step, |state, now| {
            let sequence = state.model.submit(now, spec)?;
            state.attempts.insert(sequence, attempt);
            state.submits += 1;
            Ok(sequence)
        })?;
        Ok(Box::pin(AttemptStream {
            engine: self.itself.clone(),
            request: call.request,
            attempt: call.attempt,
            sequence,
            events: Box::pin(events),
        }))
    }

    async fn cancel(&self, request: &RequestId, attempt: AttemptId) -> Result<(), UpstreamError> {
        self.change("engine cancel", |state, now| {
            state.end_attempt(request, attempt, "cancelled");
            state.model.cancel(now, request, attempt);
            Ok(())
        })
    }

    async fn report(&self) -> Result<EngineReport, UpstreamError> {
        self.check_alive("engine report")?;
        let now = self.clock.now();
        let model_now = self.scale.to_model(now);
        let delay = Duration::from_millis(self.settings.report_delay_ms);
        let report = self.locked(|state| match state.reports.latest(now, delay) {
            Some(report) => report,
            None => state.model.report(model_now),
        });
        Ok(self.scale.report(report))
    }

    async fn cache_events(&self, after: u64) -> Result<CacheBatch, UpstreamError> {
        self.check_alive("engine cache events")?;
        let now = self.clock.now();
        Ok(self.locked(|state| state.cache.batch(after, now)))
    }

    async fn order(&self, order: EngineOrder) -> Result<(), UpstreamError> {
        let ready = self.clock.now() + Duration::from_millis(self.settings.load_ms);
        self.change("engine order", |state, _| {
            state.model.take_order(&order)?;
            let kept = state.loads.take(&order, &state.ready, ready);
            state.set_ready(kept);
            Ok(())
        })
    }

    async fn reserve(&self, reservation: KvReservation) -> Result<(), UpstreamError> {
        let spec = self.hold_spec(&reservation);
        self.change("engine reserve", |state, now| {
            state.model.reserve(now, &spec)
        })
    }

    async fn release(&self, request: &RequestId, attempt: AttemptId) -> Result<(), UpstreamError> {
        self.change("engine release", |state, now| {
            state.model.release(now, request, attempt);
            Ok(())
        })
    }

    async fn export_kv(
        &self,
        request: &RequestId,
        attempt: AttemptId,
        lifetime: Duration,
    ) -> Result<KvExport, UpstreamError> {
        let lifetime = self.scale.longer(lifetime);
        let export = self.change("engine export", |state, now| {
            let export = state.model.export_kv(now, request, attempt, lifetime)?;
            state.end_attempt(request, attempt, "exported");
            Ok(export)
        })?;
        Ok(KvExport {
            export: export.export,
            tokens: export.tokens,
        })
    }

    async fn import_kv(&self, import: KvImport) -> Result<(), UpstreamError> {
        let step = "engine import";
        self.check_alive(step)?;
        let export = self.fetch_export(&import).await?;
        let spec = KvImportSpec {
            hold: HoldSpec {
                request: import.request,
                attempt: import.attempt,
                holder: import.holder,
                tokens: export.tokens,
                lifetime: self.scale.longer(import.lifetime),
            },
            filled: export.tokens,
        };
        self.change(step, |state, now| state.model.import_kv(now, &spec))?;
        Ok(())
    }
}

impl EngineState {
    /// Ends an attempt's stream with a failure; the model is told apart.
    fn end_attempt(&mut self, request: &RequestId, attempt: AttemptId, cause: &str) {
        let found = self
            .attempts
            .iter()
            .find(|(_, running)| running.request == *request && running.attempt == attempt);
        let Some(sequence) = found.map(|(sequence, _)| *sequence) else {
            return;
        };
        if let Some(running) = self.attempts.remove(&sequence) {
            running.fail(cause);
        }
    }
}
