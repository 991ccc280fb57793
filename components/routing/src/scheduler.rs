//! Scheduler state of a node and the handling of its events.

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

use admission::{DeadlineGate, FairQueue, LimitTable, QueuedJob, ShareTable, TrialBudget};
use rand::{SeedableRng, rngs::StdRng};
use types::{EngineId, EngineReport, NodeId, OrganisationId, RequestId, ZoneId};

use crate::{
    RefusalReason, SchedulerAction, SchedulerEvent, SchedulerSettings,
    arrival::{JobProgress, PromptRefusal},
    claims::GangTable,
    forwarding::ForwardedJob,
    gang::PoolSizeHistory,
    load::LoadMeter,
    peers::PeerTable,
    pool::PoolTable,
    retry::RetryBudget,
    roles::RolePlanner,
    suspects::SuspectSet,
    view::EngineView,
};

/// State machine that decides on every prompt that a node receives: it takes
/// events and returns actions.
#[derive(Debug)]
pub struct NodeScheduler {
    pub(crate) node: NodeId,
    pub(crate) zone: ZoneId,
    pub(crate) settings: SchedulerSettings,
    pub(crate) engines: BTreeMap<EngineId, EngineView>,
    pub(crate) pools: PoolTable,
    pub(crate) peers: PeerTable,
    pub(crate) queue: FairQueue,
    pub(crate) trial_floor: TrialBudget,
    pub(crate) shares: ShareTable,
    pub(crate) limits: LimitTable,
    /// Organisations of the requests that this node admitted and that have not
    /// ended.
    pub(crate) admitted_requests: HashMap<RequestId, OrganisationId>,
    pub(crate) deadline_gate: DeadlineGate,
    pub(crate) gangs: GangTable,
    /// Engines of each group, that is, of each running attempt that uses more
    /// than one.
    pub(crate) groups: HashMap<RequestId, Vec<EngineId>>,
    pub(crate) roles: RolePlanner,
    pub(crate) retries: RetryBudget,
    pub(crate) running: HashMap<RequestId, RunningJob>,
    pub(crate) forwarded: HashMap<RequestId, ForwardedJob>,
    /// Times at which forwarded prompts are refused if their end was not
    /// reported.
    pub(crate) forward_expiries: BTreeSet<(Instant, RequestId)>,
    /// Deadlines of the running requests.
    pub(crate) deadlines: BTreeSet<(Instant, RequestId)>,
    pub(crate) crash_suspects: SuspectSet,
    pub(crate) load_meter: Option<LoadMeter>,
    pub(crate) rng: StdRng,
    pub(crate) summary_sequence: u64,
    first_event_at: Option<Instant>,
    /// Recent numbers of known engines, by which a prompt that fits nowhere is
    /// refused as too long or as not ready.
    pub(crate) pool_size_history: Cell<Option<PoolSizeHistory>>,
}

/// A request with a running attempt.
#[derive(Debug)]
pub(crate) struct RunningJob {
    pub(crate) queued: QueuedJob,
    pub(crate) engines: Vec<EngineId>,
    /// Start of the prefill as reported by the engine; the time of dispatch
    /// until then.
    pub(crate) prefill_started_at: Instant,
    pub(crate) first_token_at: Option<Instant>,
    /// Prefill time expected from `prefill_started_at`. The engine's report of
    /// the start replaces it by the time on a single engine, also for a group.
    pub(crate) expected_prefill: Duration,
    /// Tokens charged to the organisation that may still be refunded.
    pub(crate) refundable_tokens: u64,
}

/// Number of prompts on a node, by state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptCounts {
    /// Prompts waiting in the queue.
    pub queued: usize,
    /// Prompts running on an engine.
    pub running: usize,
    /// Prompts forwarded to another node and not ended.
    pub forwarded: usize,
}

impl NodeScheduler {
    /// Creates a scheduler without engines or peers.
    #[must_use]
    pub fn new(node: NodeId, zone: ZoneId, settings: SchedulerSettings) -> Self {
        Self {
            node,
            zone,
            engines: BTreeMap::new(),
            pools: PoolTable::default(),
            peers: PeerTable::default(),
            queue: FairQueue::default(),
            trial_floor: TrialBudget::new(settings.trial_floor),
            shares: ShareTable::new(settings.fairness_lead_tokens),
            limits: LimitTable::default(),
            admitted_requests: HashMap::new(),
            deadline_gate: DeadlineGate {
                wait_margin: settings.wait_margin,
            },
            gangs: GangTable::default(),
            groups: HashMap::new(),
            roles: RolePlanner::default(),
            retries: RetryBudget::new(settings.retry_ratio, settings.retry_burst),
            running: HashMap::new(),
            forwarded: HashMap::new(),
            forward_expiries: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            crash_suspects: SuspectSet::default(),
            load_meter: None,
            rng: StdRng::seed_from_u64(settings.seed),
            summary_sequence: 0,
            first_event_at: None,
            pool_size_history: Cell::new(None),
            settings,
        }
    }

    /// Number of prompts on this node now, by state.
    #[must_use]
    pub fn prompt_counts(&self) -> PromptCounts {
        PromptCounts {
            queued: self.queue.len(),
            running: self.running.len(),
            forwarded: self.forwarded.len(),
        }
    }

    /// Handles one event and returns the actions to carry out, in order.
    pub fn handle(&mut self, now: Instant, event: SchedulerEvent) -> Vec<SchedulerAction> {
        let mut actions = Vec::new();
        let start = *self.first_event_at.get_or_insert(now);
        self.shares.advance_to(now.saturating_duration_since(start));
        self.apply_event(now, event, &mut actions);
        self.expire_deadlines(now, &mut actions);
        self.expire_forwards(now, &mut actions);
        self.plan_roles(now, &mut actions);
        self.dispatch_all(now, &mut actions);
        self.release_refused(&actions);
        self.crash_suspects.forget_refused_and_forwarded(&actions);
        actions
    }

    fn apply_event(
        &mut self,
        now: Instant,
        event: SchedulerEvent,
        actions: &mut Vec<SchedulerAction>,
    ) {
        match event {
            SchedulerEvent::Arrived { job, via } => self.admit(now, job, via.as_ref(), actions),
            SchedulerEvent::Resubmitted {
                job,
                attempts,
                failures,
                delivered,
            } => {
                let progress = JobProgress {
                    attempts,
                    failures,
                    delivered,
                };
                self.resubmit(now, job, progress, actions);
            }
            SchedulerEvent::EngineReported(report) => self.record_report(now, report),
            SchedulerEvent::EngineGone { engine } => {
                self.engines.remove(&engine);
                self.reroute_unserved(now, actions);
            }
            SchedulerEvent::CacheChanged { engine, events, .. } => {
                if let Some(view) = self.engines.get_mut(&engine) {
                    view.prefixes.apply_events(&events);
                }
            }
            SchedulerEvent::Started {
                request,
                attempt,
                cached_tokens,
                ..
            } => self.record_prefill_start(now, &request, attempt, cached_tokens),
            SchedulerEvent::FirstToken { request, attempt } => {
                self.record_first_token(now, &request, attempt);
            }
            SchedulerEvent::Finished {
                request,
                attempt,
                output_tokens,
            } => {
                self.crash_suspects.remove(&request);
                self.finish_attempt(now, &request, attempt, output_tokens);
            }
            SchedulerEvent::Failed {
                request,
                attempt,
                delivered,
                retryable,
            } => self.handle_failure(now, &request, attempt, delivered, retryable, actions),
            SchedulerEvent::ForwardRefused {
                request,
                node,
                reason,
                retry_after,
            } => {
                let refusal = PromptRefusal {
                    reason,
                    retry_after,
                };
                self.forward_refused(now, &request, &node, refusal, actions);
            }
            SchedulerEvent::ForwardFailed {
                request,
                node,
                delivered,
            } => self.forward_failed(now, &request, &node, delivered, actions),
            SchedulerEvent::ForwardFinished { request, node, .. } => {
                if self.end_forward(&request, Some(&node)).is_some() {
                    self.release_admission(&request);
                }
            }
            SchedulerEvent::CrashSuspected { request } => self.crash_suspects.insert(request),
            SchedulerEvent::GangReservationRefused {
                request,
                attempt,
                engine,
            } => self.handle_gang_refusal(now, &request, attempt, &engine, actions),
            SchedulerEvent::Cancelled { request } => {
                self.crash_suspects.remove(&request);
                self.cancel_request(now, &request, actions);
            }
            SchedulerEvent::LimitsChanged {
                organisation,
                limits,
            } => self.limits.set(now, &organisation, limits),
            SchedulerEvent::SummaryReceived(summary) => self.merge_summary(now, summary),
            SchedulerEvent::NodeGone { node } => {
                self.peers.remove(&node);
                self.shares.forget_node(&node);
                self.gangs.forget_node(&node);
            }
            SchedulerEvent::Tick => {}
        }
    }

    fn record_report(&mut self, now: Instant, report: EngineReport) {
        let engine = report.profile.engine.clone();
        match self.engines.get_mut(&engine) {
            Some(view) => {
                view.update_report(now, report);
            }
            None => {
                self.engines.insert(engine, EngineView::new(now, report));
            }
        }
    }

    /// Ends the admission of requests that `actions` refuse.
    fn release_refused(&mut self, actions: &[SchedulerAction]) {
        for action in actions {
            if let SchedulerAction::Refuse { request, .. } = action {
                self.release_admission(request);
            }
        }
    }

    /// Removes a request from its organisation's requests in progress, if it
    /// was admitted here.
    pub(crate) fn release_admission(&mut self, request: &RequestId) {
        if let Some(organisation) = self.admitted_requests.remove(request) {
            self.limits.finish_request(&organisation);
        }
    }

    /// Whether the request is queued, running or forwarded here.
    pub(crate) fn holds_request(&self, request: &RequestId) -> bool {
        self.queue.contains(request)
            || self.running.contains_key(request)
            || self.forwarded.contains_key(request)
    }

    /// Refuses queued prompts that can no longer meet their deadline, and
    /// cancels running ones whose deadline has passed.
    fn expire_deadlines(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        while let Some(queued) = self.queue.expire(now, &mut self.shares) {
            self.gangs.forget_request(&queued.job.request);
            let retry_after = self.retry_after(now, &queued);
            actions.push(refuse_action(
                queued.job.request,
                RefusalReason::DeadlineUnreachable,
                retry_after,
            ));
        }
        while let Some((deadline, request)) = self.deadlines.first() {
            if *deadline > now {
                return;
            }
            let request = request.clone();
            self.cancel_attempt(now, &request, actions);
            let retry_after = DeadlineGate::retry_after(Duration::ZERO);
            actions.push(refuse_action(
                request,
                RefusalReason::DeadlineUnreachable,
                retry_after,
            ));
        }
    }

    /// Cancels the running attempt of a request on its engines.
    pub(crate) fn cancel_attempt(
        &mut self,
        now: Instant,
        request: &RequestId,
        actions: &mut Vec<SchedulerAction>,
    ) -> Option<RunningJob> {
        let running = self.end_attempt(now, request)?;
        actions.push(SchedulerAction::CancelAttempt {
            request: request.clone(),
            attempt: running.queued.attempt,
            engines: running.engines.clone(),
        });
        Some(running)
    }

    /// Removes the state of an attempt that no longer runs.
    pub(crate) fn end_attempt(&mut self, now: Instant, request: &RequestId) -> Option<RunningJob> {
        let running = self.running.remove(request)?;
        self.groups.remove(request);
        let deadline = running.queued.job.deadline;
        self.deadlines.remove(&(deadline, request.clone()));
        for engine in &running.engines {
            if let Some(view) = self.engines.get_mut(engine) {
                view.remove_attempt(now, request, running.queued.attempt);
            }
        }
        self.shares.record_end(running.queued.organisation);
        Some(running)
    }
}

/// The action that refuses a request.
pub(crate) fn refuse_action(
    request: RequestId,
    reason: RefusalReason,
    retry_after: Duration,
) -> SchedulerAction {
    SchedulerAction::Refuse {
        request,
        reason,
        retry_after,
    }
}
