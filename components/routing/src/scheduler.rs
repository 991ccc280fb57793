//! The scheduler of a node.

use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

use admission::{DeadlineGate, FairQueue, LimitTable, QueuedJob, ShareTable, TrialFloor};
use rand::{SeedableRng, rngs::StdRng};
use types::{EngineId, EngineReport, NodeId, OrganisationId, RequestId, ZoneId};

use crate::{
    RefusalReason, SchedulerAction, SchedulerEvent, SchedulerSettings,
    arrival::{JobProgress, Rejection},
    claims::GangPlanner,
    forwarding::ForwardedJob,
    gang::KnownFleet,
    load::LoadMeter,
    peers::PeerTable,
    pool::PoolTable,
    retry::RetryBudget,
    roles::RolePlanner,
    suspects::SuspectSet,
    view::EngineView,
};

/// Decides about every prompt that a node holds.
#[derive(Debug)]
pub struct NodeScheduler {
    pub(crate) node: NodeId,
    pub(crate) zone: ZoneId,
    pub(crate) settings: SchedulerSettings,
    pub(crate) engines: BTreeMap<EngineId, EngineView>,
    pub(crate) pools: PoolTable,
    pub(crate) peers: PeerTable,
    pub(crate) queue: FairQueue,
    pub(crate) floor: TrialFloor,
    pub(crate) shares: ShareTable,
    pub(crate) limits: LimitTable,
    /// Organisations of the requests that were let in here and are not over.
    pub(crate) entered: HashMap<RequestId, OrganisationId>,
    pub(crate) gate: DeadlineGate,
    pub(crate) gangs: GangPlanner,
    /// Engines of each group of this node that runs.
    pub(crate) groups: HashMap<RequestId, Vec<EngineId>>,
    pub(crate) roles: RolePlanner,
    pub(crate) retries: RetryBudget,
    pub(crate) running: HashMap<RequestId, RunningJob>,
    pub(crate) forwarded: HashMap<RequestId, ForwardedJob>,
    pub(crate) silences: BTreeSet<(Instant, RequestId)>,
    pub(crate) deadlines: BTreeSet<(Instant, RequestId)>,
    pub(crate) suspects: SuspectSet,
    pub(crate) meter: Option<LoadMeter>,
    pub(crate) rng: StdRng,
    pub(crate) sequence: u64,
    start: Option<Instant>,
    /// What long prompts that fit nowhere were told from.
    pub(crate) known_fleet: Cell<Option<KnownFleet>>,
}

/// One prompt that an attempt runs for.
#[derive(Debug)]
pub(crate) struct RunningJob {
    pub(crate) queued: QueuedJob,
    pub(crate) engines: Vec<EngineId>,
    /// When its prefill began, as far as known.
    pub(crate) started: Instant,
    pub(crate) first_token: Option<Instant>,
    /// Prefill time expected at the start.
    pub(crate) expected: Duration,
    /// Tokens charged that may be given back.
    pub(crate) charged: u64,
}

/// How many prompts a node has, by state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SchedulerLoad {
    /// Waiting for an engine.
    pub queued: usize,
    /// On an engine.
    pub running: usize,
    /// With another node.
    pub forwarded: usize,
}

impl NodeScheduler {
    /// A scheduler that knows no engine yet.
    #[must_use]
    pub fn new(node: NodeId, zone: ZoneId, settings: SchedulerSettings) -> Self {
        Self {
            node,
            zone,
            engines: BTreeMap::new(),
            pools: PoolTable::default(),
            peers: PeerTable::default(),
            queue: FairQueue::default(),
            floor: TrialFloor::new(settings.trial_floor),
            shares: ShareTable::new(settings.fairness_lead_tokens),
            limits: LimitTable::default(),
            entered: HashMap::new(),
            gate: DeadlineGate {
                wait_margin: settings.wait_margin,
            },
            gangs: GangPlanner::default(),
            groups: HashMap::new(),
            roles: RolePlanner::default(),
            retries: RetryBudget::new(settings.retry_ratio, settings.retry_burst),
            running: HashMap::new(),
            forwarded: HashMap::new(),
            silences: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            suspects: SuspectSet::default(),
            meter: None,
            rng: StdRng::seed_from_u64(settings.seed),
            sequence: 0,
            start: None,
            known_fleet: Cell::new(None),
            settings,
        }
    }

    /// How many prompts this node has now.
    #[must_use]
    pub fn load(&self) -> SchedulerLoad {
        SchedulerLoad {
            queued: self.queue.len(),
            running: self.running.len(),
            forwarded: self.forwarded.len(),
        }
    }

    /// Takes one event and returns what to do, in order.
    pub fn handle(&mut self, now: Instant, event: SchedulerEvent) -> Vec<SchedulerAction> {
        let mut actions = Vec::new();
        let start = *self.start.get_or_insert(now);
        self.shares.advance_to(now.saturating_duration_since(start));
        self.apply(now, event, &mut actions);
        self.expire(now, &mut actions);
        self.end_silent(now, &mut actions);
        self.plan_roles(now, &mut actions);
        self.dispatch_all(now, &mut actions);
        self.leave_refused(&actions);
        self.suspects.forget_ended(&actions);
        actions
    }

    fn apply(&mut self, now: Instant, event: SchedulerEvent, actions: &mut Vec<SchedulerAction>) {
        match event {
            SchedulerEvent::Arrived { job, via } => self.arrive(now, job, via.as_ref(), actions),
            SchedulerEvent::Returned {
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
                self.come_back(now, job, progress, actions);
            }
            SchedulerEvent::Reported(report) => self.take_report(now, report),
            SchedulerEvent::EngineGone { engine } => {
                self.engines.remove(&engine);
                self.move_orphans(now, actions);
            }
            SchedulerEvent::Cached { engine, events, .. } => {
                if let Some(view) = self.engines.get_mut(&engine) {
                    view.prefixes.apply(&events);
                }
            }
            SchedulerEvent::Started {
                request,
                attempt,
                cached_tokens,
                ..
            } => self.started(now, &request, attempt, cached_tokens),
            SchedulerEvent::FirstToken { request, attempt } => {
                self.first_token(now, &request, attempt);
            }
            SchedulerEvent::Finished {
                request,
                attempt,
                output_tokens,
            } => {
                self.suspects.remove(&request);
                self.finished(now, &request, attempt, output_tokens);
            }
            SchedulerEvent::Failed {
                request,
                attempt,
                delivered,
                retryable,
            } => self.failed(now, &request, attempt, delivered, retryable, actions),
            SchedulerEvent::ForwardRefused {
                request,
                node,
                reason,
                retry_after,
            } => {
                let rejection = Rejection {
                    reason,
                    retry_after,
                };
                self.forward_refused(now, &request, &node, rejection, actions);
            }
            SchedulerEvent::ForwardFailed {
                request,
                node,
                delivered,
            } => self.forward_failed(now, &request, &node, delivered, actions),
            SchedulerEvent::ForwardFinished { request, node, .. } => {
                if self.end_forward(&request, Some(&node)).is_some() {
                    self.leave(&request);
                }
            }
            SchedulerEvent::Suspected { request } => self.suspects.insert(request),
            SchedulerEvent::GangRefused {
                request,
                attempt,
                engine,
            } => self.gang_refused(now, &request, attempt, &engine, actions),
            SchedulerEvent::Cancelled { request } => {
                self.suspects.remove(&request);
                self.cancelled(now, &request, actions);
            }
            SchedulerEvent::LimitsChanged {
                organisation,
                limits,
            } => self.limits.set(now, &organisation, limits),
            SchedulerEvent::Summary(summary) => self.take_summary(now, summary),
            SchedulerEvent::NodeGone { node } => {
                self.peers.remove(&node);
                self.shares.forget_node(&node);
                self.gangs.forget_node(&node);
            }
            SchedulerEvent::Tick => {}
        }
    }

    fn take_report(&mut self, now: Instant, report: EngineReport) {
        let engine = report.profile.engine.clone();
        match self.engines.get_mut(&engine) {
            Some(view) => {
                view.update(now, report);
            }
            None => {
                self.engines.insert(engine, EngineView::new(now, report));
            }
        }
    }

    /// Counts the end of requests that were let in and are refused now.
    fn leave_refused(&mut self, actions: &[SchedulerAction]) {
        for action in actions {
            if let SchedulerAction::Refuse { request, .. } = action {
                self.leave(request);
            }
        }
    }

    /// Counts the end of a request that was let in here.
    pub(crate) fn leave(&mut self, request: &RequestId) {
        if let Some(organisation) = self.entered.remove(request) {
            self.limits.finish_request(&organisation);
        }
    }

    /// Whether the request waits or runs here.
    pub(crate) fn knows(&self, request: &RequestId) -> bool {
        self.queue.contains(request)
            || self.running.contains_key(request)
            || self.forwarded.contains_key(request)
    }

    /// Ends what can't meet its deadline any more.
    fn expire(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        while let Some(queued) = self.queue.expire(now, &mut self.shares) {
            self.gangs.forget(&queued.job.request);
            let retry_after = self.retry_after(now, &queued);
            actions.push(refusal(
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
            self.abandon(now, &request, actions);
            let retry_after = DeadlineGate::retry_after(Duration::ZERO);
            actions.push(refusal(
                request,
                RefusalReason::DeadlineUnreachable,
                retry_after,
            ));
        }
    }

    /// Takes a running attempt off its engines.
    pub(crate) fn abandon(
        &mut self,
        now: Instant,
        request: &RequestId,
        actions: &mut Vec<SchedulerAction>,
    ) -> Option<RunningJob> {
        let running = self.end_attempt(now, request)?;
        actions.push(SchedulerAction::Abandon {
            request: request.clone(),
            attempt: running.queued.attempt,
            engines: running.engines.clone(),
        });
        Some(running)
    }

    /// Forgets an attempt that runs no more.
    pub(crate) fn end_attempt(&mut self, now: Instant, request: &RequestId) -> Option<RunningJob> {
        let running = self.running.remove(request)?;
        self.groups.remove(request);
        let deadline = running.queued.job.deadline;
        self.deadlines.remove(&(deadline, request.clone()));
        for engine in &running.engines {
            if let Some(view) = self.engines.get_mut(engine) {
                view.remove(now, request, running.queued.attempt);
            }
        }
        self.shares.record_end(running.queued.organisation);
        Some(running)
    }
}

pub(crate) fn refusal(
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
