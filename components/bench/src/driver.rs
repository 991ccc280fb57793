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
    brain::{NodeBrain, PolicyKind},
    caller::{CallerState, request_place},
    fleet::{EngineHost, HOP},
    flight::{FlightState, RENEW_PERIOD},
    ledger::{Ledger, LedgerPlan},
    schedule::{DriverEvent, EventSchedule},
    workload::mix,
};

/// Time until nodes detect an engine crash.
const DEATH_NOTICE: Duration = Duration::from_millis(500);

/// State of one simulated run.
pub(crate) struct FleetDriver {
    pub(crate) shape: FleetShape,
    pub(crate) policy: PolicyKind,
    pub(crate) schedule: EventSchedule,
    pub(crate) nodes: Vec<NodeBrain>,
    pub(crate) engines: Vec<EngineHost>,
    pub(crate) callers: Vec<CallerState>,
    pub(crate) flights: Vec<FlightState>,
    /// Gangs that hold memory, as indices of their attempts.
    pub(crate) gangs: Vec<usize>,
    pub(crate) ledger: Ledger,
    pub(crate) open: usize,
    pub(crate) draws: u64,
}

impl FleetDriver {
    pub(crate) fn new(plan: &ScenarioPlan, seed: u64, policy: PolicyKind) -> Self {
        let start = Instant::now();
        let shape = plan.shape.clone();
        let nodes = (0..shape.nodes)
            .map(|place| {
                let node = FleetShape::node_id(place);
                NodeBrain::new(policy, seed, place, node, shape.zone_of(place))
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
            engines: EngineHost::deal(&shape),
            open: callers.len(),
            callers,
            flights: Vec::new(),
            gangs: Vec::new(),
            ledger: Ledger::new(LedgerPlan {
                requests: plan.requests.clone(),
                start,
                duration: plan.duration,
            }),
            draws: mix(seed, 3_000),
            shape,
        };
        driver.schedule_start(plan, start);
        driver
    }

    /// Runs until every request has ended; each ends by its deadline.
    pub(crate) fn run(mut self) -> Ledger {
        while self.open > 0 {
            let Some(event) = self.schedule.pop() else {
                break;
            };
            self.handle(event);
        }
        self.ledger
    }

    fn schedule_start(&mut self, plan: &ScenarioPlan, start: Instant) {
        for engine in 0..self.engines.len() {
            self.share_report(engine, Duration::ZERO);
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
            let sent = self.callers[request].sent;
            let deadline = self.callers[request].deadline;
            self.schedule
                .at(sent + HOP, DriverEvent::Arrive { request });
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
            DriverEvent::Arrive { request } => self.arrive(request),
            DriverEvent::Forwarded { request, node, via } => self.forwarded(request, node, via),
            DriverEvent::Learn { node, event } => self.learn(node, *event),
            DriverEvent::Reported { engine, report } => self.reported(engine, &report),
            DriverEvent::Submit { flight } => self.submit(flight),
            DriverEvent::Start { flight } => self.start(flight),
            DriverEvent::Cancel { flight } => self.cancel(flight),
            DriverEvent::Wake { engine } => self.wake(engine),
            DriverEvent::Report { engine } => self.report(engine),
            DriverEvent::ReadCache { engine } => self.read_cache(engine),
            DriverEvent::Summarise { node } => self.summarise(node),
            DriverEvent::Tick { node } => self.tick(node),
            DriverEvent::Renew => self.renew(),
            DriverEvent::Deadline { request } => self.give_up(request),
            DriverEvent::Crash { engine } => self.crash(engine),
        }
    }

    /// Passes an event to a node's policy and applies the resulting actions.
    pub(crate) fn learn(&mut self, node: usize, event: SchedulerEvent) {
        let now = self.schedule.now();
        for action in self.nodes[node].handle(now, event) {
            self.act(node, action);
        }
    }

    /// Delivers an event to a node after one hop.
    pub(crate) fn tell(&mut self, node: usize, event: SchedulerEvent) {
        self.schedule.learn_after(HOP, node, event);
    }

    fn act(&mut self, node: usize, action: SchedulerAction) {
        match action {
            SchedulerAction::Dispatch {
                request,
                attempt,
                engines,
                priority,
                resume_at,
            } => {
                let Some(place) = self.open_request(&request) else {
                    return;
                };
                let engines = engines.iter().filter_map(engine_place).collect();
                let flight = FlightState {
                    resume_at: resume_at.max(self.ledger.delivered(place)),
                    ..FlightState::new(place, request, attempt, node, engines, priority)
                };
                self.send_flight(flight);
            }
            SchedulerAction::Forward { request, node: to } => self.forward(node, &request, &to),
            SchedulerAction::CancelAttempt {
                request, attempt, ..
            } => {
                if let Some(place) = request_place(&request) {
                    self.abandon(node, place, attempt);
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
        let Some(place) = engine_place(engine) else {
            return;
        };
        if self.engines[place].alive {
            self.engines[place].set_role(role);
        }
    }

    fn tick(&mut self, node: usize) {
        self.learn(node, SchedulerEvent::Tick);
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
                    .learn_after(self.shape.summary_lag, other, event);
            }
        }
        self.schedule.after(period, DriverEvent::Summarise { node });
    }

    fn crash(&mut self, engine: usize) {
        let now = self.schedule.now();
        self.wake(engine);
        self.engines[engine].alive = false;
        self.engines[engine].model.crash(now);
        self.fail_flights_on(engine);
        let id = self.engines[engine].id.clone();
        for node in self.watchers(engine) {
            let event = SchedulerEvent::EngineGone { engine: id.clone() };
            self.schedule.learn_after(DEATH_NOTICE, node, event);
        }
    }

    /// Nodes that receive an engine's reports and crash notices.
    pub(crate) fn watchers(&self, engine: usize) -> Vec<usize> {
        if self.policy.sees_all() {
            return (0..self.nodes.len()).collect();
        }
        vec![self.engines[engine].owner]
    }
}

/// Index of the engine that an id was made for.
fn engine_place(id: &EngineId) -> Option<usize> {
    let number: usize = id.strip_prefix("engine-")?.parse().ok()?;
    number.checked_sub(1)
}

fn ratio(part: usize, whole: usize) -> f64 {
    let float = |value: usize| f64::from(u32::try_from(value).unwrap_or(u32::MAX));
    float(part) / float(whole)
}
