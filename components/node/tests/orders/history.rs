//! Concurrent orders through several drivers with faults; the history of each
//! run is checked against what the service saw.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, atomic::Ordering},
    time::Duration,
};

use crate::support::{Arrival, FaultWorld, NodeEdge, pump};
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

/// One submission as its caller saw it.
struct Submission {
    id: String,
    key: String,
    body: String,
    arrivals_before: usize,
    outcome: Option<OrderOutcome>,
}

struct History {
    world: Arc<FaultWorld>,
    nodes: Vec<Arc<OrderService>>,
    stop: CancellationToken,
    log: Mutex<Vec<Submission>>,
}

fn start_node(world: &Arc<FaultWorld>, index: usize, guards: GuardSet) -> Arc<OrderService> {
    let edge = NodeEdge::new(world, index == 0);
    let guarantee = if world.deduplicates {
        ServiceGuarantee::Deduplicated
    } else {
        ServiceGuarantee::None
    };
    let target = ServiceTarget {
        guarantee,
        timeout: Duration::from_secs(5),
        peers: vec![ServicePeer {
            id: "desk-1".to_owned(),
            client: Arc::clone(&edge) as _,
        }],
    };
    let settings = OrderSettings {
        guards,
        ..OrderSettings::new(format!("node-{index}"))
    };
    OrderService::new(
        settings,
        Arc::clone(&edge) as _,
        Arc::new(move |_| Some(target.clone())),
        world.clock.clone(),
        CancellationToken::new(),
    )
}

impl History {
    fn start(seed: u64, clock: ClockSource, guards: GuardSet) -> Arc<Self> {
        let world = FaultWorld::new(clock, seed, seed % 3 == 2);
        let nodes = (0..NODES).map(|index| start_node(&world, index, guards));
        let nodes: Vec<Arc<OrderService>> = nodes.collect();
        let stop = CancellationToken::new();
        for node in &nodes {
            let service = Arc::clone(node);
            smol::spawn(service.run(stop.clone())).detach();
        }
        Arc::new(Self {
            world,
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
        let dice = &self.world.dice;
        let changed = dice.below(12) == 0;
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
        let place = usize::try_from(dice.below(NODES as u64)).unwrap();
        let arrivals_before = self.world.arrivals.lock().unwrap().len();
        let service = Arc::clone(&self.nodes[place]);
        let patience = Duration::from_secs(5 + dice.below(60));
        let answer = service.submit(request);
        let outcome = self.world.clock.timeout(patience, answer).await;
        self.log.lock().unwrap().push(Submission {
            id,
            key,
            body,
            arrivals_before,
            outcome,
        });
    }

    /// A caller that resends, at times without waiting for the answer.
    async fn call(self: Arc<Self>, key: String) {
        let mut open = Vec::new();
        for serial in 0..2 + self.world.dice.below(4) {
            let submission = smol::spawn(Arc::clone(&self).submit(key.clone(), serial));
            if self.world.dice.below(2) == 0 {
                submission.await;
            } else {
                open.push(submission);
            }
            let longest = [20, 8_000, 40_000]
                [usize::from(serial % 3 == 1) + 2 * usize::from(serial % 3 == 2)];
            let pause = self.world.dice.millis(longest);
            self.world.clock.sleep(pause).await;
        }
        for submission in open {
            submission.await;
        }
    }

    /// Takes the store down for a while.
    async fn disturb(self: Arc<Self>) {
        let world = &self.world;
        world.clock.sleep(world.dice.millis(40_000)).await;
        world.store_down.store(true, Ordering::Relaxed);
        world.clock.sleep(world.dice.millis(20_000)).await;
        world.store_down.store(false, Ordering::Relaxed);
    }

    async fn run(self: &Arc<Self>) {
        let disturbance = smol::spawn(Arc::clone(self).disturb());
        let calls: Vec<_> = (0..ORDERS)
            .map(|number| smol::spawn(Arc::clone(self).call(format!("{number}-key"))))
            .collect();
        for call in calls {
            call.await;
        }
        disturbance.await;
        self.world.faulty.store(false, Ordering::Relaxed);
        // Long enough for late writes, the sweep and all backoffs.
        let settling = Duration::from_mins(20);
        self.world.clock.sleep(settling).await;
    }

    async fn fault(&self) -> Option<String> {
        let arrivals = self.world.arrivals.lock().unwrap().clone();
        let log = std::mem::take(&mut *self.log.lock().unwrap());
        let answers = log
            .iter()
            .find_map(|submission| false_answer(submission, &log, &arrivals));
        if answers.is_some() {
            return answers;
        }
        for (key, count) in effects(&arrivals) {
            if count > 1 {
                return Some(format!("{key} ran {count} times"));
            }
        }
        for number in 0..ORDERS {
            let fault = self.false_end(&format!("{number}-key"), &arrivals).await;
            if fault.is_some() {
                return fault;
            }
        }
        let owing = self.nodes[1..].iter().any(|node| node.open_count() > 0);
        owing.then(|| "a live node still owes settlements".to_owned())
    }

    async fn false_end(&self, key: &str, arrivals: &[Arrival]) -> Option<String> {
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
        (!is_true).then(|| format!("{key} ends as {state:?}, ran: {ran}"))
    }
}

fn effects(arrivals: &[Arrival]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for arrival in arrivals {
        *counts.entry(arrival.key.clone()).or_insert(0) += 1;
    }
    counts
}

fn false_answer(
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
                return Some(format!("{id} was told not run, and it ran"));
            }
            let before = arrivals[..submission.arrivals_before]
                .iter()
                .any(|a| own(&a));
            if *scope == RefusalScope::Order && before {
                return Some(format!("{id} was told that nothing ran, and it had"));
            }
            let other = log
                .iter()
                .any(|other| other.key == submission.key && other.body != submission.body);
            (*cause == RefusalCause::KeyConflict && !other)
                .then(|| format!("{id} was told of a conflict with nothing"))
        }
        OrderOutcome::Done { answer, .. } => {
            let Some(place) = arrivals.iter().position(|arrival| own(&arrival)) else {
                return Some(format!("{id} was told done, and nothing ran"));
            };
            let same = arrivals[place].body == submission.body;
            (!same || answer.body != format!("effect {place}"))
                .then(|| format!("{id} got another order's answer"))
        }
        OrderOutcome::InDoubt { .. } | OrderOutcome::InProgress => None,
    }
}

/// Runs one history; what is wrong with it and how its answers fell.
async fn check(seed: u64, guards: GuardSet) -> (Option<String>, BTreeMap<&'static str, u64>) {
    let clock = PausedClock::new();
    let pump = pump(Arc::clone(&clock));
    let history = History::start(seed, ClockSource::Paused(clock), guards);
    history.run().await;
    let mut codes = BTreeMap::new();
    for submission in history.log.lock().unwrap().iter() {
        let code = submission.outcome.as_ref().map_or("unheard", |o| o.code());
        *codes.entry(code).or_insert(0) += 1;
    }
    let fault = history.fault().await;
    history.stop.cancel();
    pump.cancel().await;
    (fault.map(|fault| format!("seed {seed}: {fault}")), codes)
}

fn check_all(seeds: u64, guards: GuardSet) -> (Vec<String>, BTreeMap<&'static str, u64>) {
    let mut faults = Vec::new();
    let mut codes = BTreeMap::new();
    let mut next = 0;
    smol::block_on(async {
        while next < seeds {
            let end = seeds.min(next + HISTORIES_AT_ONCE);
            let tasks: Vec<_> = (next..end)
                .map(|seed| smol::spawn(check(seed, guards)))
                .collect();
            for task in tasks {
                let (fault, counts) = task.await;
                faults.extend(fault);
                for (code, count) in counts {
                    *codes.entry(code).or_insert(0) += count;
                }
            }
            next = end;
        }
    });
    (faults, codes)
}

/// `ORDER_HISTORIES` asks for more than CI runs.
fn history_count() -> u64 {
    let asked = std::env::var("ORDER_HISTORIES").ok();
    asked
        .and_then(|count| count.parse().ok())
        .unwrap_or(CI_HISTORIES)
}

#[test]
fn every_history_is_true_and_runs_each_order_at_most_once() {
    let (faults, codes) = check_all(history_count(), GuardSet::default());
    println!("{} histories: {codes:?}", history_count());
    assert_eq!(faults, Vec::<String>::new());
    for code in ["order_done", "order_in_doubt", "order_in_progress"] {
        assert!(codes.contains_key(code), "{code} never came: {codes:?}");
    }
}

#[test]
fn a_missing_guard_shows_in_the_histories() {
    for guard in [
        OrderGuard::SendOnce,
        OrderGuard::UnknownIsInDoubt,
        OrderGuard::NoTakeoverWhileSending,
        OrderGuard::ReadBack,
        OrderGuard::MarkBeforeSend,
    ] {
        let (faults, _) = check_all(64, GuardSet::without(guard));
        println!("{guard:?}: {} of 64, {:?}", faults.len(), faults.first());
        assert!(!faults.is_empty(), "{guard:?} was not missed");
    }
}
