//! Retries prompts while no engine is known to have their model ready.
//!
//! After a node starts, or after engines move from a node that stops to others,
//! this node knows no ready engine until it receives the engines' reports or other
//! nodes' summaries, after one or two seconds.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use routing::NodeSummary;
use types::{ModelId, ModelVersion, PromptJob};

use super::{PromptService, open::PromptAssignment};

/// How long prompts wait for a model after it was last known to be ready.
const READINESS_TIMEOUT: Duration = Duration::from_secs(5);
/// Failed attempts and forwards after which a prompt no longer waits for its
/// model.
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
    /// ready: resubmits the prompt after `RETRY_INTERVAL`. Returns whether a
    /// retry was scheduled; never for prompts forwarded here.
    pub(super) fn schedule_model_retry(self: &Arc<Self>, request: &str) -> bool {
        let now = self.clock.now();
        let event = self.with_open_prompts(|prompts| {
            let prompt = prompts.get_mut(request)?;
            let should_retry = !prompt.forwarded_here
                && prompt.failures < MAX_FAILURES
                && prompt.job.deadline > now + RETRY_INTERVAL
                && self.readiness.may_become_ready(now, &prompt.job);
            should_retry.then(|| {
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
