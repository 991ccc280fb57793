//! Retries prompts while no engine is known to have their model ready.
//!
//! After a node starts, or after engines move from a node that stops to others,
//! it takes a second or two until reports make the engines known again.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use routing::NodeSummary;
use types::{ModelId, ModelVersion, PromptJob};

use super::{PromptService, open::PromptAssignment};

/// Time after a model was last known to be ready during which prompts wait for
/// it.
const READINESS_TIMEOUT: Duration = Duration::from_secs(5);
/// Failures after which a prompt has used up its retries.
const MAX_FAILURES: u32 = 4;
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Times at which each model was last known to be ready on some node.
#[derive(Debug)]
pub(super) struct ReadinessHistory {
    started: Instant,
    last_ready: Mutex<HashMap<(ModelId, ModelVersion), Instant>>,
}

impl ReadinessHistory {
    /// Creates the history of a node that starts at `now`.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            started: now,
            last_ready: Mutex::default(),
        }
    }

    /// Records the models that a node reports as ready.
    pub(super) fn record_summary(&self, now: Instant, summary: &NodeSummary) {
        let mut last_ready = self
            .last_ready
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for pool in summary.pools.iter().filter(|pool| pool.engines > 0) {
            last_ready.insert((pool.model.clone(), pool.version.clone()), now);
        }
    }

    /// Returns whether the model was known to be ready within `READINESS_TIMEOUT`,
    /// or the node started within that time.
    fn may_become_ready(&self, now: Instant, job: &PromptJob) -> bool {
        let last_ready = self
            .last_ready
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let key = (job.model.clone(), job.version.clone());
        let last_seen = last_ready.get(&key).copied().unwrap_or(self.started);
        now.saturating_duration_since(last_seen) < READINESS_TIMEOUT
    }
}

impl PromptService {
    /// Handles the refusal of a prompt for which no engine is known to have the model
    /// ready: resubmits the prompt after `RETRY_INTERVAL`. Returns `false` when a
    /// retry is of no use.
    pub(super) fn wait_for_model(self: &Arc<Self>, request: &str) -> bool {
        let now = self.clock.now();
        let event = self.with_open_prompts(|prompts| {
            let prompt = prompts.get_mut(request)?;
            let should_wait = !prompt.forwarded_here
                && prompt.failures < MAX_FAILURES
                && prompt.job.deadline > now + RETRY_INTERVAL
                && self.readiness.may_become_ready(now, &prompt.job);
            should_wait.then(|| {
                prompt.assignment = PromptAssignment::Queued;
                prompt.resubmission()
            })
        });
        let Some(event) = event else {
            return false;
        };
        let request = request.to_owned();
        let service = Arc::clone(self);
        smol::spawn(async move {
            service.clock.sleep(RETRY_INTERVAL).await;
            if service.with_open_prompts(|prompts| prompts.contains_key(&request)) {
                service.handle(event);
            }
        })
        .detach();
        true
    }
}
