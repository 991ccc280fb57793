//! The prompt service: sends events to the scheduler and executes its actions.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use kernel::{CancellationToken, ClockSource};
use routing::{
    NodeScheduler, NodeSummary, RefusalReason, SchedulerAction, SchedulerEvent, SchedulerSettings,
};
use smol::channel::bounded;
use telemetry::{HopTracer, LengthLabels, NodeMetrics, OutcomeLabels, length_bucket};
use types::{
    EngineId, EngineRole, ModelId, ModelVersion, NodeId, PlanKind, PromptJob, RequestId,
    TokenCount, ZoneId,
};

use super::{
    PromptHandle, PromptUpdate,
    open::{OpenPrompt, PromptAssignment},
    patience::ReadinessHistory,
    trial::SuspectGate,
};
use crate::{directory::UpstreamDirectory, peers::PeerClient, quarantine::QuarantineService};

const UPDATE_CHANNEL_CAPACITY: usize = 256;
const THOUSANDTHS_PER_UNIT: f64 = 1_000.0;
const TERMINATION_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A prompt submitted by a caller or forwarded by another node.
pub struct PromptSubmission {
    /// Model, lengths, plan and deadline, as the scheduler needs them.
    pub job: PromptJob,
    /// Text of the prompt, sent to the engine.
    pub text: Arc<str>,
    /// Answer tokens that the caller has already received; the answer continues
    /// after them.
    pub resume_at: TokenCount,
    /// Node that forwarded the prompt; `None` when a caller sent it.
    pub via: Option<NodeId>,
    /// W3C trace context of the hop to this node.
    pub traceparent: String,
}

/// Holds the open prompts of the node and the scheduler that assigns them to engines
/// and other nodes.
pub struct PromptService {
    pub(super) node: NodeId,
    pub(super) clock: ClockSource,
    pub(super) directory: Arc<UpstreamDirectory>,
    pub(super) peers: Arc<PeerClient>,
    pub(super) quarantine: Arc<QuarantineService>,
    pub(super) tracer: HopTracer,
    pub(super) metrics: Arc<NodeMetrics>,
    scheduler: Mutex<NodeScheduler>,
    open_prompts: Mutex<HashMap<RequestId, OpenPrompt>>,
    roles: Mutex<HashMap<EngineId, EngineRole>>,
    summaries: Mutex<HashMap<NodeId, NodeSummary>>,
    pub(super) gang_reservations: AtomicUsize,
    pub(super) readiness: ReadinessHistory,
    pub(super) suspects: SuspectGate,
}

/// Services and settings that a [`PromptService`] uses.
pub struct PromptDependencies {
    /// Id of this node, named in reservations and summaries.
    pub node: NodeId,
    /// Availability zone of this node, for the scheduler.
    pub zone: ZoneId,
    /// Clock for deadlines and retries.
    pub clock: ClockSource,
    /// Known engines and the clients that call them.
    pub directory: Arc<UpstreamDirectory>,
    /// Client for forwarding prompts and sending death records.
    pub peers: Arc<PeerClient>,
    /// Tracks prompts that crash engines.
    pub quarantine: Arc<QuarantineService>,
    /// Starts the spans of attempts and forwards.
    pub tracer: HopTracer,
    /// Counters of prompts, tokens and failures.
    pub metrics: Arc<NodeMetrics>,
    /// Settings of the scheduler.
    pub settings: SchedulerSettings,
}

impl PromptService {
    /// Creates a service with no open prompts.
    #[must_use]
    pub fn new(dependencies: PromptDependencies) -> Arc<Self> {
        let scheduler = NodeScheduler::new(
            dependencies.node.clone(),
            dependencies.zone,
            dependencies.settings,
        );
        let readiness = ReadinessHistory::new(dependencies.clock.now());
        Arc::new(Self {
            node: dependencies.node,
            clock: dependencies.clock,
            directory: dependencies.directory,
            peers: dependencies.peers,
            quarantine: dependencies.quarantine,
            tracer: dependencies.tracer,
            metrics: dependencies.metrics,
            scheduler: Mutex::new(scheduler),
            open_prompts: Mutex::default(),
            roles: Mutex::default(),
            summaries: Mutex::default(),
            gang_reservations: AtomicUsize::new(0),
            readiness,
            suspects: SuspectGate::default(),
        })
    }

    /// Submits a prompt; the handle receives its updates.
    #[must_use]
    pub fn submit(self: &Arc<Self>, submission: PromptSubmission) -> PromptHandle {
        let (updates, receiver) = bounded(UPDATE_CHANNEL_CAPACITY);
        let request = submission.job.request.clone();
        let prompt = OpenPrompt {
            job: submission.job.clone(),
            forwarded_here: submission.via.is_some(),
            text: submission.text,
            traceparent: submission.traceparent,
            updates,
            delivered: submission.resume_at,
            assignment: PromptAssignment::Queued,
            token: CancellationToken::new(),
            first_token_seen: submission.resume_at > 0,
            attempts: 0,
            failures: 0,
            run: None,
        };
        self.with_open_prompts(|prompts| prompts.insert(request.clone(), prompt));
        self.metrics.open_prompts.inc();
        let arrival = SchedulerEvent::Arrived {
            job: submission.job,
            via: submission.via,
        };
        self.admit(&request, arrival);
        PromptHandle {
            service: Arc::clone(self),
            request,
            updates: receiver,
        }
    }

    /// Cancels a prompt; does nothing when it has already ended.
    pub fn cancel(self: &Arc<Self>, request: &RequestId) {
        let Some(prompt) = self.remove(request) else {
            return;
        };
        prompt.token.cancel();
        self.count_outcome(prompt.job.plan, "cancelled");
        self.handle(SchedulerEvent::Cancelled {
            request: request.clone(),
        });
    }

    /// Passes one event to the scheduler and executes the resulting actions.
    pub fn handle(self: &Arc<Self>, event: SchedulerEvent) {
        let now = self.clock.now();
        // The lock is held until the actions are executed, so that actions of two
        // events are never reordered.
        let mut scheduler = self.lock_scheduler();
        for action in scheduler.handle(now, event) {
            self.execute_action(action);
        }
    }

    /// Builds and stores this node's summary, to be sent to other nodes.
    #[must_use]
    pub fn update_summary(&self) -> NodeSummary {
        let now = self.clock.now();
        let mut scheduler = self.lock_scheduler();
        let summary = scheduler.summary(now);
        drop(scheduler);
        self.store_summary(&summary);
        summary
    }

    /// Stores the summary of another node and passes it to the scheduler.
    pub fn receive_summary(self: &Arc<Self>, summary: NodeSummary) {
        self.store_summary(&summary);
        self.handle(SchedulerEvent::SummaryReceived(summary));
    }

    /// Returns the highest short-prompt load of the pools in a node's last
    /// summary: 1 is full; without a summary the load is 0.
    #[must_use]
    pub fn node_load(&self, node: &NodeId) -> f64 {
        let summaries = self.summaries.lock();
        let summaries = summaries.unwrap_or_else(PoisonError::into_inner);
        let pools = summaries
            .get(node)
            .into_iter()
            .flat_map(|summary| &summary.pools);
        let highest = pools.map(|pool| pool.short_load_thousandths).max();
        f64::from(highest.unwrap_or(0)) / THOUSANDTHS_PER_UNIT
    }

    /// Returns the number of engines of all nodes known to have a model ready.
    #[must_use]
    pub fn ready_engine_count(&self, model: &ModelId, version: &ModelVersion) -> u32 {
        let summaries = self.summaries.lock();
        let summaries = summaries.unwrap_or_else(PoisonError::into_inner);
        summaries
            .values()
            .flat_map(|summary| &summary.pools)
            .filter(|pool| pool.model == *model && pool.version == *version)
            .map(|pool| pool.engines)
            .sum()
    }

    /// Removes the summary of a node that has left or died.
    pub fn forget_node(self: &Arc<Self>, node: &NodeId) {
        let summaries = self.summaries.lock();
        let mut summaries = summaries.unwrap_or_else(PoisonError::into_inner);
        summaries.remove(node);
        drop(summaries);
        self.handle(SchedulerEvent::NodeGone { node: node.clone() });
    }

    fn store_summary(&self, summary: &NodeSummary) {
        self.readiness.record_summary(self.clock.now(), summary);
        let summaries = self.summaries.lock();
        let mut summaries = summaries.unwrap_or_else(PoisonError::into_inner);
        summaries.insert(summary.node.clone(), summary.clone());
    }

    fn lock_scheduler(&self) -> MutexGuard<'_, NodeScheduler> {
        self.scheduler
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of prompts open on this node.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.with_open_prompts(|prompts| prompts.len())
    }

    /// Returns the number of gang reservations that are held or being released.
    #[must_use]
    pub fn gang_reservation_count(&self) -> usize {
        self.gang_reservations.load(Ordering::Relaxed)
    }

    /// Refuses every open prompt and logs each; returns how many there were.
    pub fn terminate_all(self: &Arc<Self>) -> usize {
        let requests: Vec<RequestId> =
            self.with_open_prompts(|prompts| prompts.keys().cloned().collect());
        for request in &requests {
            log::warn!("event=prompt_cut request={request} cause=\"the node stops\"");
            self.refuse(
                request,
                RefusalReason::RetriesExhausted,
                TERMINATION_RETRY_AFTER,
            );
            self.handle(SchedulerEvent::Cancelled {
                request: request.clone(),
            });
        }
        requests.len()
    }

    /// Returns the role that the scheduler last chose for an engine.
    #[must_use]
    pub fn desired_role(&self, engine: &EngineId) -> EngineRole {
        let roles = self.roles.lock().unwrap_or_else(PoisonError::into_inner);
        roles.get(engine).copied().unwrap_or_default()
    }

    fn execute_action(self: &Arc<Self>, action: SchedulerAction) {
        match action {
            SchedulerAction::Dispatch {
                request,
                attempt,
                engines,
                priority,
                resume_at: _,
            } => self.start_attempt(request, attempt, engines, priority),
            SchedulerAction::Forward { request, node } => self.start_forward(request, node),
            SchedulerAction::CancelAttempt {
                request,
                attempt,
                engines,
            } => self.cancel_attempt(&request, attempt, engines),
            SchedulerAction::Refuse {
                request,
                reason,
                retry_after,
            } => {
                let retry_scheduled =
                    reason == RefusalReason::ModelNotReady && self.schedule_model_retry(&request);
                if !retry_scheduled {
                    self.refuse(&request, reason, retry_after);
                }
            }
            SchedulerAction::ChangeRole { engine, role } => {
                let mut roles = self.roles.lock().unwrap_or_else(PoisonError::into_inner);
                roles.insert(engine, role);
            }
        }
    }

    pub(super) fn refuse(
        self: &Arc<Self>,
        request: &RequestId,
        reason: RefusalReason,
        retry_after: Duration,
    ) {
        let Some(prompt) = self.remove(request) else {
            return;
        };
        prompt.token.cancel();
        let reason_name = refusal_code(reason);
        self.count_outcome(prompt.job.plan, reason_name);
        log::info!(
            "event=prompt_refused request={request} organisation={} reason={reason_name} \
             retry_after_ms={}",
            prompt.job.organisation,
            retry_after.as_millis()
        );
        let update = PromptUpdate::Refused {
            reason,
            retry_after,
        };
        send_final_update(&prompt, update);
    }

    /// Ends a prompt whose answer is complete.
    pub(super) fn finish(self: &Arc<Self>, request: &RequestId, tokens: TokenCount) {
        let Some(prompt) = self.remove(request) else {
            return;
        };
        self.quarantine.record_success(&prompt.job, &prompt.text);
        self.count_outcome(prompt.job.plan, "finished");
        send_final_update(&prompt, PromptUpdate::Finished { tokens });
    }

    /// Records the time from arrival to first token of a prompt in the metrics.
    pub(super) fn record_first_token_time(&self, job: &PromptJob) {
        let labels = LengthLabels {
            plan: plan_name(job.plan).to_owned(),
            length: length_bucket(job.prompt_tokens).to_owned(),
        };
        let waited = self.clock.now().saturating_duration_since(job.arrived);
        self.metrics
            .first_token
            .get_or_create(&labels)
            .observe(waited.as_secs_f64());
    }

    pub(super) fn with_open_prompts<T>(
        &self,
        operation: impl FnOnce(&mut HashMap<RequestId, OpenPrompt>) -> T,
    ) -> T {
        let mut prompts = self
            .open_prompts
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        operation(&mut prompts)
    }

    fn remove(self: &Arc<Self>, request: &RequestId) -> Option<OpenPrompt> {
        let prompt = self.with_open_prompts(|prompts| prompts.remove(request))?;
        self.admit_next_suspect(request);
        self.metrics.open_prompts.dec();
        Some(prompt)
    }

    fn count_outcome(&self, plan: PlanKind, outcome: &str) {
        let labels = OutcomeLabels {
            plan: plan_name(plan).to_owned(),
            outcome: outcome.to_owned(),
        };
        self.metrics.prompts.get_or_create(&labels).inc();
    }
}

/// Returns the code of a refusal for API errors, metrics and logs.
#[must_use]
pub fn refusal_code(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::OrganisationLimit => "organisation_limit",
        RefusalReason::DeadlineUnreachable => "deadline_unreachable",
        RefusalReason::QueueFull => "queue_full",
        RefusalReason::TrialShed => "trial_shed",
        RefusalReason::TooLong => "too_long",
        RefusalReason::ModelNotReady => "model_not_ready",
        RefusalReason::RetriesExhausted => "retries_exhausted",
        RefusalReason::Quarantined => "prompt_quarantined",
    }
}

fn plan_name(plan: PlanKind) -> &'static str {
    match plan {
        PlanKind::Paying => "paying",
        PlanKind::Trial => "trial",
    }
}

/// Sends the final update after pending ones. Never blocks: if the channel is full,
/// a task waits for space.
fn send_final_update(prompt: &OpenPrompt, update: PromptUpdate) {
    if prompt.updates.try_send(update.clone()).is_ok() {
        return;
    }
    let updates = prompt.updates.clone();
    smol::spawn(async move {
        updates.send(update).await.ok();
    })
    .detach();
}
