//! Runs concurrent orders through several nodes with seeded faults, and checks
//! the answers of each run against the orders that ran at the service.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, atomic::Ordering},
    time::Duration,
};

use crate::support::{Arrival, FaultSimulation, SimulatedNode, drive_clock};
use kernel::{CancellationToken, ClockSource, PausedClock};
use node::orders::{OrderRequest, OrderService, OrderSettings, ServicePeer, ServiceTarget};
use notes::ServiceGuarantee;
use orders::{
    GuardSet, OrderGuard, OrderName, OrderOutcome, RefusalCause, RefusalScope, StatusReply,
};

const NODES: usize = 3;
const ORDERS: u64 = 4;
const CI_HISTORIES: u64 = 240;
const HISTORIES_AT_ONCE: u64 = 16;

/// One submission and the outcome that its caller received.
struct Submission {
    id: String,
    key: String,
    body: String,
    arrivals_before: usize,
    outcome: Option<OrderOutcome>,
}

struct History {
    simulation: Arc<FaultSimulation>,
    nodes: Vec<Arc<OrderService>>,
    stop: CancellationToken,
    log: Mutex<Vec<Submission>>,
}

fn start_node(
    simulation: &Arc<FaultSimulation>,
    index: usize,
    guards: GuardSet,
) -> Arc<OrderService> {
    let access = SimulatedNode::new(simulation, index == 0);
    let guarantee = if simulation.deduplicates {
        ServiceGuarantee::Deduplicated
    } else {
        ServiceGuarantee::None
    };
    let target = ServiceTarget {
        guarantee,
        timeout: Duration::from_secs(5),
        peers: vec![ServicePeer {
            id: "desk-1".to_owned(),
            client: Arc::clone(&access) as _,
        }],
    };
    let settings = OrderSettings {
        guards,
        ..OrderSettings::new(format!("node-{index}"))
    };
    OrderService::new(
        settings,
        Arc::clone(&access) as _,
        Arc::new(move |_| Some(target.clone())),
        simulation.clock.clone(),
        CancellationToken::new(),
    )
}

impl History {
    fn start(seed: u64, clock: ClockSource, guards: GuardSet) -> Arc<Self> {
        let simulation = FaultSimulation::new(clock, seed, seed % 3 == 2);
        let nodes = (0..NODES).map(|index| start_node(&simulation, index, guards));
        let nodes: Vec<Arc<OrderService>> = nodes.collect();
        let stop = CancellationToken::new();
        for node in &nodes {
            let service = Arc::clone(node);
            smol::spawn(service.run(stop.clone())).detach();
        }
        Arc::new(Self {
            simulation,
            nodes,
            stop,
            log: Mutex::default(),
        })
    }

    fn name(key: &str) -> OrderName {
        OrderName {
            organisation: format!("organisation-{}", &key[..1]),
            service: "notices".to_owned(),
            key: key.to_owned(),
        }
    }

    async fn submit(self: Arc<Self>, key: String, serial: u64) {
        let rng = &self.simulation.rng;
        let changed = rng.below(12) == 0;
        let body = if changed { "other" } else { "notice" }.to_owned();
        let id = format!("{key}-{serial}");
        let request = OrderRequest {
            name: Self::name(&key),
            path: "notices".to_owned(),
            content_type: "text/plain".to_owned(),
            body: body.clone(),
            deadline_in: Duration::from_secs(20),
            traceparent: id.clone(),
        };
        let node_index = usize::try_from(rng.below(NODES as u64)).unwrap();
        let arrivals_before = self.simulation.arrivals.lock().unwrap().len();
        let service = Arc::clone(&self.nodes[node_index]);
        let caller_timeout = Duration::from_secs(5 + rng.below(60));
        let answer = service.submit(request);
        let outcome = self.simulation.clock.timeout(caller_timeout, answer).await;
        self.log.lock().unwrap().push(Submission {
            id,
            key,
            body,
            arrivals_before,
            outcome,
        });
    }

    /// Submits an order repeatedly, sometimes without waiting for the answer.
    async fn call(self: Arc<Self>, key: String) {
        let mut open = Vec::new();
        for serial in 0..2 + self.simulation.rng.below(4) {
            let submission = smol::spawn(Arc::clone(&self).submit(key.clone(), serial));
            if self.simulation.rng.below(2) == 0 {
                submission.await;
            } else {
                open.push(submission);
            }
            let longest = [20, 8_000, 40_000]
                [usize::from(serial % 3 == 1) + 2 * usize::from(serial % 3 == 2)];
            let pause = self.simulation.rng.millis(longest);
            self.simulation.clock.sleep(pause).await;
        }
        for submission in open {
            submission.await;
        }
    }

    /// Makes the store unavailable for up to 20 s.
    async fn inject_outage(self: Arc<Self>) {
        let simulation = &self.simulation;
        simulation.clock.sleep(simulation.rng.millis(40_000)).await;
        simulation.store_down.store(true, Ordering::Relaxed);
        simulation.clock.sleep(simulation.rng.millis(20_000)).await;
        simulation.store_down.store(false, Ordering::Relaxed);
    }

    async fn run(self: &Arc<Self>) {
        let outage = smol::spawn(Arc::clone(self).inject_outage());
        let calls: Vec<_> = (0..ORDERS)
            .map(|number| smol::spawn(Arc::clone(self).call(format!("{number}-key"))))
            .collect();
        for call in calls {
            call.await;
        }
        outage.await;
        self.simulation
            .faults_enabled
            .store(false, Ordering::Relaxed);
        // Long enough for late writes, the sweep and every backoff to end.
        let settling = Duration::from_mins(20);
        self.simulation.clock.sleep(settling).await;
    }

    /// The first contradiction between answers, effects and final states.
    async fn violation(&self) -> Option<String> {
        let arrivals = self.simulation.arrivals.lock().unwrap().clone();
        let log = std::mem::take(&mut *self.log.lock().unwrap());
        let answers = log
            .iter()
            .find_map(|submission| answer_violation(submission, &log, &arrivals));
        if answers.is_some() {
            return answers;
        }
        for (key, count) in effects(&arrivals) {
            if count > 1 {
                return Some(format!("{key} ran {count} times"));
            }
        }
        for number in 0..ORDERS {
            let violation = self
                .state_violation(&format!("{number}-key"), &arrivals)
                .await;
            if violation.is_some() {
                return violation;
            }
        }
        let unsettled = self.nodes[1..].iter().any(|node| node.open_count() > 0);
        unsettled.then(|| "a running node still has open orders or settlements".to_owned())
    }

    /// Contradiction between the final state of an order and whether it ran.
    async fn state_violation(&self, key: &str, arrivals: &[Arrival]) -> Option<String> {
        let name = Self::name(key);
        let ran = arrivals
            .iter()
            .any(|arrival| arrival.key == name.dedup_key());
        let state = self.nodes[1].state(&name).await;
        let is_true = match &state {
            StatusReply::Known { outcome } => match outcome {
                OrderOutcome::Done { .. } => ran,
                OrderOutcome::Refused { .. } => !ran,
                OrderOutcome::InDoubt { .. } => true,
                OrderOutcome::InProgress => false,
            },
            StatusReply::Unrecorded => !ran,
            StatusReply::StoreUnavailable => false,
        };
        (!is_true).then(|| format!("{key}: final state {state:?}, ran: {ran}"))
    }
}

/// Number of runs of each order, by deduplication key.
fn effects(arrivals: &[Arrival]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for arrival in arrivals {
        *counts.entry(arrival.key.clone()).or_insert(0) += 1;
    }
    counts
}

/// Contradiction between the answer of one submission and what ran.
fn answer_violation(
    submission: &Submission,
    log: &[Submission],
    arrivals: &[Arrival],
) -> Option<String> {
    let key = History::name(&submission.key).dedup_key();
    let own = |arrival: &&Arrival| arrival.key == key;
    let id = &submission.id;
    match submission.outcome.as_ref()? {
        OrderOutcome::Refused { cause, scope } => {
            if arrivals.iter().any(|arrival| arrival.submission == *id) {
                return Some(format!("{id} was answered as not run, but it ran"));
            }
            let before = arrivals[..submission.arrivals_before]
                .iter()
                .any(|a| own(&a));
            if *scope == RefusalScope::Order && before {
                return Some(format!(
                    "{id} was answered that the order never ran, but it had run"
                ));
            }
            let other = log
                .iter()
                .any(|other| other.key == submission.key && other.body != submission.body);
            (*cause == RefusalCause::KeyConflict && !other).then(|| {
                format!("{id} was answered with a key conflict, but no other body was sent")
            })
        }
        OrderOutcome::Done { answer, .. } => {
            let Some(index) = arrivals.iter().position(|arrival| own(&arrival)) else {
                return Some(format!("{id} was answered as done, but nothing ran"));
            };
            let same = arrivals[index].body == submission.body;
            (!same || answer.body != format!("effect {index}"))
                .then(|| format!("{id} received the answer of another order"))
        }
        OrderOutcome::InDoubt { .. } | OrderOutcome::InProgress => None,
    }
}

/// Runs one history; returns the first violation and the count of each
/// answer code.
async fn check(seed: u64, guards: GuardSet) -> (Option<String>, BTreeMap<&'static str, u64>) {
    let clock = PausedClock::new();
    let clock_task = drive_clock(Arc::clone(&clock));
    let history = History::start(seed, ClockSource::Paused(clock), guards);
    history.run().await;
    let mut codes = BTreeMap::new();
    for submission in history.log.lock().unwrap().iter() {
        let code = submission.outcome.as_ref().map_or("unheard", |o| o.code());
        *codes.entry(code).or_insert(0) += 1;
    }
    let violation = history.violation().await;
    history.stop.cancel();
    clock_task.cancel().await;
    (
        violation.map(|violation| format!("seed {seed}: {violation}")),
        codes,
    )
}

fn check_all(seeds: u64, guards: GuardSet) -> (Vec<String>, BTreeMap<&'static str, u64>) {
    let mut violations = Vec::new();
    let mut codes = BTreeMap::new();
    let mut next = 0;
    smol::block_on(async {
        while next < seeds {
            let end = seeds.min(next + HISTORIES_AT_ONCE);
            let tasks: Vec<_> = (next..end)
                .map(|seed| smol::spawn(check(seed, guards)))
                .collect();
            for task in tasks {
                let (violation, counts) = task.await;
                violations.extend(violation);
                for (code, count) in counts {
                    *codes.entry(code).or_insert(0) += count;
                }
            }
            next = end;
        }
    });
    (violations, codes)
}

/// Number of histories; the variable `ORDER_HISTORIES` overrides the default.
fn history_count() -> u64 {
    let override_count = std::env::var("ORDER_HISTORIES").ok();
    override_count
        .and_then(|count| count.parse().ok())
        .unwrap_or(CI_HISTORIES)
}

/// Guards against an order that runs twice, and against an answer that
/// contradicts what ran, under lost answers, late writes and crashed nodes.
#[test]
fn answers_match_effects_and_each_order_runs_at_most_once() {
    let (violations, codes) = check_all(history_count(), GuardSet::default());
    println!("{} histories: {codes:?}", history_count());
    assert_eq!(violations, Vec::<String>::new());
    for code in ["order_done", "order_in_doubt", "order_in_progress"] {
        assert!(
            codes.contains_key(code),
            "no answer had the code {code}: {codes:?}"
        );
    }
}

/// Guards against a checker that finds nothing: without any one guard of the
/// state machine, some of 64 histories must show a violation.
#[test]
fn histories_without_a_guard_show_violations() {
    for guard in [
        OrderGuard::SendOnce,
        OrderGuard::UnknownIsInDoubt,
        OrderGuard::NoTakeoverWhileSending,
        OrderGuard::ReadBack,
        OrderGuard::MarkBeforeSend,
    ] {
        let (violations, _) = check_all(64, GuardSet::without(guard));
        println!(
            "{guard:?}: {} of 64, {:?}",
            violations.len(),
            violations.first()
        );
        assert!(
            !violations.is_empty(),
            "no history failed without guard {guard:?}"
        );
    }
}
