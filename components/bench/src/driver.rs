//! Discrete-event simulation of one fleet under one policy.

mod attempts;
mod reports;
mod requests;
mod signals;

use std::time::{Duration, Instant};

use routing::{SchedulerAction, SchedulerEvent, SchedulerSettings};
use types::{EngineId, EngineRole};

use crate::{
    FleetShape, ScenarioPlan,
    brain::{NodePolicy, PolicyKind},
    caller::{CallerState, request_index},
    fleet::{EngineHost, HOP_DELAY},
    flight::{InFlightAttempt, RENEW_PERIOD},
    ledger::{LedgerScope, RequestLedger},
    schedule::{DriverEvent, EventSchedule},
    workload::mix,
};

/// Time until nodes detect an engine crash.
const CRASH_DETECTION_DELAY: Duration = Duration::from_millis(500);

/// State of one simulated run.
pub(crate) struct FleetDriver {
    pub(crate) shape: FleetShape,
    pub(crate) policy: PolicyKind,
    pub(crate) schedule: EventSchedule,
    pub(crate) nodes: Vec<NodePolicy>,
    pub(crate) engines: Vec<EngineHost>,
    pub(crate) callers: Vec<CallerState>,
    /// All attempts sent to engines, also those that ended.
    pub(crate) attempts: Vec<InFlightAttempt>,
    /// Gangs that hold memory, as indices of their attempts.
    pub(crate) gangs: Vec<usize>,
    pub(crate) ledger: RequestLedger,
    /// Requests without an outcome.
    pub(crate) open_requests: usize,
    /// State of the random generator for lost cache events.
    pub(crate) random_state: u64,
}

impl FleetDriver {
    pub(crate) fn new(plan: &ScenarioPlan, seed: u64, policy: PolicyKind) -> Self {
        let start = Instant::now();
        let shape = plan.shape.clone();
        let nodes = (0..shape.nodes)
            .map(|index| {
                let node = FleetShape::node_id(index);
                NodePolicy::new(policy, seed, index, node, shape.zone_of(index))
            })
            .collect();
        let callers: Vec<CallerState> = plan
            .requests
            .iter()
            .map(|spec| CallerState::new(&shape, start, spec))
            .collect();
        let mut driver = Self {
            policy,
            schedule: EventSchedule::new(start),
            nodes,
            engines: EngineHost::create_all(&shape),
            open_requests: callers.len(),
            callers,
            attempts: Vec::new(),
            gangs: Vec::new(),
            ledger: RequestLedger::new(LedgerScope {
                requests: plan.requests.clone(),
                start,
                duration: plan.duration,
            }),
            random_state: mix(seed, 3_000),
            shape,
        };
        driver.schedule_start(plan, start);
        driver
    }

    /// Runs until every request has ended; each ends by its deadline.
    pub(crate) fn run(mut self) -> RequestLedger {
        while self.open_requests > 0 {
            let Some(event) = self.schedule.pop() else {
                break;
            };
            self.handle(event);
        }
        self.ledger
    }

    fn schedule_start(&mut self, plan: &ScenarioPlan, start: Instant) {
        for engine in 0..self.engines.len() {
            self.schedule_report(engine, Duration::ZERO);
            let period = self.shape.report_period;
            let phase = period.mul_f64(ratio(engine, self.engines.len()));
            self.schedule.after(phase, DriverEvent::Report { engine });
            let phase = self
                .shape
                .cache_period
                .mul_f64(ratio(engine, self.engines.len()));
            self.schedule
                .after(phase, DriverEvent::ReadCache { engine });
        }
        let tick = SchedulerSettings::default().tick;
        for node in 0..self.nodes.len() {
            let part = ratio(node, self.nodes.len());
            self.schedule
                .after(tick.mul_f64(part), DriverEvent::Tick { node });
            let phase = self.shape.summary_period.mul_f64(part);
            self.schedule.after(phase, DriverEvent::Summarise { node });
        }
        self.schedule.after(RENEW_PERIOD, DriverEvent::Renew);
        for request in 0..self.callers.len() {
            let sent = self.callers[request].first_sent;
            let deadline = self.callers[request].deadline;
            self.schedule
                .at(sent + HOP_DELAY, DriverEvent::Arrive { request });
            self.schedule
                .at(deadline, DriverEvent::Deadline { request });
        }
        for fault in &plan.faults {
            let engine = fault.engine;
            self.schedule
                .at(start + fault.at, DriverEvent::Crash { engine });
        }
    }

    fn handle(&mut self, event: DriverEvent) {
        match event {
            DriverEvent::Arrive { request } => self.handle_arrival(request),
            DriverEvent::Forwarded { request, node, via } => self.on_forward(request, node, via),
            DriverEvent::Deliver { node, event } => self.deliver(node, *event),
            DriverEvent::Reported { engine, report } => self.deliver_report(engine, &report),
            DriverEvent::Submit { attempt } => self.submit_attempt(attempt),
            DriverEvent::Start { attempt } => self.start_sequence(attempt),
            DriverEvent::Cancel { attempt } => self.cancel_on_engines(attempt),
            DriverEvent::Wake { engine } => self.handle_wake(engine),
            DriverEvent::Report { engine } => self.send_report(engine),
            DriverEvent::ReadCache { engine } => self.read_cache(engine),
            DriverEvent::Summarise { node } => self.summarise(node),
            DriverEvent::Tick { node } => self.tick(node),
            DriverEvent::Renew => self.renew_gangs(),
            DriverEvent::Deadline { request } => self.expire_request(request),
            DriverEvent::Crash { engine } => self.crash(engine),
        }
    }

    /// Passes an event to a node's policy and applies the resulting actions.
    pub(crate) fn deliver(&mut self, node: usize, event: SchedulerEvent) {
        let now = self.schedule.now();
        for action in self.nodes[node].handle(now, event) {
            self.apply_action(node, action);
        }
    }

    /// Delivers an event to a node after one hop.
    pub(crate) fn notify_node(&mut self, node: usize, event: SchedulerEvent) {
        self.schedule.deliver_after(HOP_DELAY, node, event);
    }

    fn apply_action(&mut self, node: usize, action: SchedulerAction) {
        match action {
            SchedulerAction::Dispatch {
                request,
                attempt,
                engines,
                priority,
                resume_at,
            } => {
                let Some(index) = self.open_request_index(&request) else {
                    return;
                };
                let engines = engines.iter().filter_map(engine_index).collect();
                let attempt = InFlightAttempt {
                    resume_at: resume_at.max(self.ledger.delivered(index)),
                    ..InFlightAttempt::new(index, request, attempt, node, engines, priority)
                };
                self.send_attempt(attempt);
            }
            SchedulerAction::Forward { request, node: to } => self.forward(node, &request, &to),
            SchedulerAction::CancelAttempt {
                request, attempt, ..
            } => {
                if let Some(index) = request_index(&request) {
                    self.cancel_attempt(node, index, attempt);
                }
            }
            SchedulerAction::Refuse {
                request,
                reason,
                retry_after,
            } => self.refuse(node, &request, reason, retry_after),
            SchedulerAction::ChangeRole { engine, role } => self.change_role(&engine, role),
        }
    }

    fn change_role(&mut self, engine: &EngineId, role: EngineRole) {
        let Some(index) = engine_index(engine) else {
            return;
        };
        if self.engines[index].alive {
            self.engines[index].set_role(role);
        }
    }

    fn tick(&mut self, node: usize) {
        self.deliver(node, SchedulerEvent::Tick);
        let tick = SchedulerSettings::default().tick;
        self.schedule.after(tick, DriverEvent::Tick { node });
    }

    fn summarise(&mut self, node: usize) {
        let now = self.schedule.now();
        let period = self.shape.summary_period;
        if let Some(summary) = self.nodes[node].summary(now) {
            for other in (0..self.nodes.len()).filter(|other| *other != node) {
                let event = SchedulerEvent::SummaryReceived(summary.clone());
                self.schedule
                    .deliver_after(self.shape.summary_lag, other, event);
            }
        }
        self.schedule.after(period, DriverEvent::Summarise { node });
    }

    fn crash(&mut self, engine: usize) {
        let now = self.schedule.now();
        self.handle_wake(engine);
        self.engines[engine].alive = false;
        self.engines[engine].model.crash(now);
        self.fail_attempts_on(engine);
        let id = self.engines[engine].id.clone();
        for node in self.report_receivers(engine) {
            let event = SchedulerEvent::EngineGone { engine: id.clone() };
            self.schedule
                .deliver_after(CRASH_DETECTION_DELAY, node, event);
        }
    }

    /// Nodes that receive an engine's reports and crash notices.
    pub(crate) fn report_receivers(&self, engine: usize) -> Vec<usize> {
        if self.policy.sees_all() {
            return (0..self.nodes.len()).collect();
        }
        vec![self.engines[engine].owner]
    }
}

/// Index of the engine that an id was made for.
fn engine_index(id: &EngineId) -> Option<usize> {
    let number: usize = id.strip_prefix("engine-")?.parse().ok()?;
    number.checked_sub(1)
}

fn ratio(part: usize, whole: usize) -> f64 {
    let as_f64 = |value: usize| f64::from(u32::try_from(value).unwrap_or(u32::MAX));
    as_f64(part) / as_f64(whole)
}
