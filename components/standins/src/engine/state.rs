//! In-memory state of a stand-in engine.

use std::time::{Duration, Instant};

use kernel::CancellationToken;
use model::{EngineModel, SequenceId};
use types::{AttemptId, EngineProfile, ModelSpec, RequestId};
use upstream::EngineCall;

use crate::engine::{
    EngineSettings,
    attempts::{AttemptKey, AttemptMap, RunningAttempt},
    cache_log::CacheLog,
    loads::PendingLoads,
    report_log::ReportLog,
};

/// State of the engine process. A crash clears attempts, loaded models, loads and
/// reports; `cache` is cleared on restart, and `submits` is kept.
pub(crate) struct EngineState {
    pub(crate) simulation: EngineModel,
    pub(crate) attempts: AttemptMap,
    pub(crate) loaded_models: Vec<ModelSpec>,
    pub(crate) loads: PendingLoads,
    pub(crate) cache: CacheLog,
    pub(crate) reports: ReportLog,
    // Cancelled when the incarnation ends.
    pub(crate) incarnation_token: CancellationToken,
    pub(crate) restart_after: Option<Duration>,
    pub(crate) submits: u64,
}

impl EngineState {
    /// Creates the state of an idle engine; its first report is sampled at `now`.
    pub(crate) fn new(settings: &EngineSettings, now: Instant) -> Self {
        let mut simulation = idle_simulation(settings, settings.profile());
        let mut reports = ReportLog::default();
        reports.record(now, simulation.report(now));
        Self {
            simulation,
            attempts: AttemptMap::default(),
            loaded_models: settings.models.clone(),
            loads: PendingLoads::default(),
            cache: CacheLog::default(),
            reports,
            incarnation_token: CancellationToken::new(),
            restart_after: settings.restart_after(),
            submits: 0,
        }
    }

    /// Simulates a crash at `now`, in simulated time: breaks all streams and clears
    /// the loaded models, loads and reports.
    pub(crate) fn crash(&mut self, now: Instant, peer: &str, restart_after: Option<Duration>) {
        self.simulation.crash(now);
        for (_, running) in self.attempts.drain() {
            running.break_stream(peer);
        }
        self.loaded_models.clear();
        self.loads = PendingLoads::default();
        self.reports = ReportLog::default();
        self.restart_after = restart_after;
        self.incarnation_token.cancel();
    }

    /// Starts the next incarnation, a new process without the orders and cache
    /// events of the previous one. `EngineModel::crash` has already set its number.
    pub(crate) fn restart(&mut self, settings: &EngineSettings) {
        let profile = self.simulation.profile().clone();
        self.simulation = idle_simulation(settings, profile);
        self.loaded_models.clone_from(&settings.models);
        self.cache = CacheLog::default();
        self.incarnation_token = CancellationToken::new();
    }

    pub(crate) fn apply_finished_loads(&mut self, now: Instant) {
        let ready = self.loads.take_finished(now);
        if ready.is_empty() {
            return;
        }
        let mut models = self.loaded_models.clone();
        models.extend(ready);
        self.set_loaded_models(models);
    }

    pub(crate) fn set_loaded_models(&mut self, models: Vec<ModelSpec>) {
        self.loaded_models.clone_from(&models);
        self.simulation.set_models(models);
    }

    pub(crate) fn holds_model(&self, call: &EngineCall) -> bool {
        self.loaded_models.iter().any(|loaded| {
            let adapter = call.adapter.as_ref();
            let fits = adapter.is_none_or(|adapter| loaded.adapters.contains(adapter));
            loaded.model == call.model && loaded.version == call.version && fits
        })
    }

    /// Returns the key of an attempt of the current incarnation.
    pub(crate) fn attempt_key(&self, sequence: SequenceId) -> AttemptKey {
        AttemptKey {
            incarnation: self.simulation.profile().incarnation,
            sequence,
        }
    }

    /// Cancels an attempt in the simulation and removes it here, unless it has
    /// already ended; its stream gets no event.
    pub(crate) fn cancel_attempt(
        &mut self,
        key: AttemptKey,
        now: Instant,
    ) -> Option<RunningAttempt> {
        let running = self.attempts.remove(&key)?;
        self.simulation
            .cancel(now, &running.request, running.attempt);
        Some(running)
    }

    /// Removes an attempt here and ends its stream with a failure; the caller
    /// removes it from the simulation.
    pub(crate) fn fail_stream(&mut self, request: &RequestId, attempt: AttemptId, cause: &str) {
        let found = self
            .attempts
            .iter()
            .find(|(_, running)| running.request == *request && running.attempt == attempt);
        let Some(key) = found.map(|(key, _)| *key) else {
            return;
        };
        if let Some(running) = self.attempts.remove(&key) {
            running.send_failure(cause);
        }
    }
}

fn idle_simulation(settings: &EngineSettings, profile: EngineProfile) -> EngineModel {
    let mut simulation = EngineModel::new(profile, settings.models.clone());
    simulation.set_checks_fencing(settings.checks_fencing);
    simulation.set_role(settings.role);
    simulation
}
