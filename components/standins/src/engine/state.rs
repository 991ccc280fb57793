//! What an engine holds in memory.

use std::time::{Duration, Instant};

use kernel::CancellationToken;
use model::{EngineModel, SequenceId};
use types::{AttemptId, EngineProfile, ModelSpec, RequestId};
use upstream::EngineCall;

use crate::engine::{
    EngineSettings,
    attempts::{AttemptMap, AttemptPlace, RunningAttempt},
    cache_log::CacheLog,
    loads::LoadQueue,
    report_log::ReportLog,
};

/// What the engine holds, all of it lost in a crash but the settings.
pub(crate) struct EngineState {
    pub(crate) model: EngineModel,
    pub(crate) attempts: AttemptMap,
    pub(crate) ready: Vec<ModelSpec>,
    pub(crate) loads: LoadQueue,
    pub(crate) cache: CacheLog,
    pub(crate) reports: ReportLog,
    pub(crate) life: CancellationToken,
    pub(crate) restart_after: Option<Duration>,
    pub(crate) submits: u64,
}

impl EngineState {
    /// An idle engine; its first report is sampled at `now`.
    pub(crate) fn new(settings: &EngineSettings, now: Instant) -> Self {
        let mut model = idle_model(settings, settings.profile());
        let mut reports = ReportLog::default();
        reports.record(now, model.report(now));
        Self {
            model,
            attempts: AttemptMap::default(),
            ready: settings.models.clone(),
            loads: LoadQueue::default(),
            cache: CacheLog::default(),
            reports,
            life: CancellationToken::new(),
            restart_after: settings.restart_after(),
            submits: 0,
        }
    }

    /// Loses everything, as a crash at `now` on the model's clock does.
    pub(crate) fn crash(&mut self, now: Instant, peer: &str, restart_after: Option<Duration>) {
        self.model.crash(now);
        for (_, running) in self.attempts.drain() {
            running.cut(peer);
        }
        self.ready.clear();
        self.loads = LoadQueue::default();
        self.reports = ReportLog::default();
        self.restart_after = restart_after;
        self.life.cancel();
    }

    /// Begins the next life: a new process, which knows nothing of the last
    /// one, its orders and its cache events.
    pub(crate) fn revive(&mut self, settings: &EngineSettings) {
        let profile = self.model.profile().clone();
        self.model = idle_model(settings, profile);
        self.ready.clone_from(&settings.models);
        self.cache = CacheLog::default();
        self.life = CancellationToken::new();
    }

    pub(crate) fn finish_loads(&mut self, now: Instant) {
        let ready = self.loads.finished(now);
        if ready.is_empty() {
            return;
        }
        let mut models = self.ready.clone();
        models.extend(ready);
        self.set_ready(models);
    }

    pub(crate) fn set_ready(&mut self, models: Vec<ModelSpec>) {
        self.ready.clone_from(&models);
        self.model.set_models(models);
    }

    pub(crate) fn holds_model(&self, call: &EngineCall) -> bool {
        self.ready.iter().any(|loaded| {
            let adapter = call.adapter.as_ref();
            let fits = adapter.is_none_or(|adapter| loaded.adapters.contains(adapter));
            loaded.model == call.model && loaded.version == call.version && fits
        })
    }

    /// Where an attempt of this life is found.
    pub(crate) fn place(&self, sequence: SequenceId) -> AttemptPlace {
        AttemptPlace {
            life: self.model.profile().incarnation,
            sequence,
        }
    }

    /// Takes an attempt from the model too, unless it has ended already.
    pub(crate) fn remove_attempt(
        &mut self,
        place: AttemptPlace,
        now: Instant,
    ) -> Option<RunningAttempt> {
        let running = self.attempts.remove(&place)?;
        self.model.cancel(now, &running.request, running.attempt);
        Some(running)
    }

    /// Ends an attempt's stream with a failure; the model is told apart.
    pub(crate) fn end_attempt(&mut self, request: &RequestId, attempt: AttemptId, cause: &str) {
        let found = self
            .attempts
            .iter()
            .find(|(_, running)| running.request == *request && running.attempt == attempt);
        let Some(place) = found.map(|(place, _)| *place) else {
            return;
        };
        if let Some(running) = self.attempts.remove(&place) {
            running.fail(cause);
        }
    }
}

fn idle_model(settings: &EngineSettings, profile: EngineProfile) -> EngineModel {
    let mut model = EngineModel::new(profile, settings.models.clone());
    model.set_checks_fencing(settings.checks_fencing);
    model.set_role(settings.role);
    model
}
