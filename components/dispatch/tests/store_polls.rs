//! A fleet whose store turns away just the three nodes that poll it and serves the
//! others, with a change of the desired state at that moment.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use dispatch::{
    DESIRED_WAIT, PROBES_PER_SECOND, TableFreshness, VersionSource, probe_pause,
    store_poller_timeout,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Time after which every node must have a change (`configApplyMs` of the users).
const APPLY_TIME: Duration = Duration::from_secs(2);
/// Relays, all of which poll the store.
const STORE_POLLERS: usize = 3;
const TICK: Duration = Duration::from_millis(5);
const LOSS: f64 = 0.01;

#[derive(Clone, Copy, Debug)]
enum StoreCall {
    /// The node relies on the store pollers, or waits this long for its turn.
    Waiting(Duration),
    /// A long poll that ends at this time.
    Open(Duration),
}

#[derive(Clone, Copy, Debug)]
struct PollingNode {
    freshness: TableFreshness,
    next_question: Duration,
    call: StoreCall,
}

struct PollingFleet {
    start: Instant,
    now: Duration,
    rng: StdRng,
    nodes: Vec<PollingNode>,
    question_pause: Duration,
    /// Time at which the store begins to turn the store pollers away.
    refuses_from: Duration,
    version: u64,
    /// Versions and ages on their way: when and where they arrive.
    in_flight: BTreeMap<(Duration, u64), (usize, u64, Duration)>,
    next_id: u64,
    /// Calls of nodes that aren't store pollers.
    probes: u32,
}

impl PollingFleet {
    fn new(count: usize, question_pause: Duration, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let nodes = (0..count).map(|index| {
            let mut freshness = TableFreshness::default();
            freshness.confirm(start, 1, VersionSource::Peer);
            freshness.record_store_poller(start);
            let call = if index < STORE_POLLERS {
                StoreCall::Open(rng.random_range(Duration::ZERO..DESIRED_WAIT))
            } else {
                StoreCall::Waiting(probe_pause(count, rng.random_range(0.0..2.0)))
            };
            PollingNode {
                freshness,
                next_question: rng.random_range(Duration::ZERO..question_pause),
                call,
            }
        });
        Self {
            start,
            now: Duration::ZERO,
            nodes: nodes.collect(),
            rng,
            question_pause,
            refuses_from: Duration::MAX,
            version: 1,
            in_flight: BTreeMap::new(),
            next_id: 0,
            probes: 0,
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            while let Some(first) = self.in_flight.first_entry() {
                if first.key().0 > self.now {
                    break;
                }
                let (to, version, age) = first.remove();
                self.receive(to, version, age);
            }
            for index in 0..self.nodes.len() {
                self.call_store(index);
                if self.nodes[index].next_question <= self.now {
                    self.nodes[index].next_question = self.now + self.question_pause;
                    self.ask_relays(index);
                }
            }
        }
    }

    /// Relays ask each other, other nodes ask one relay.
    fn ask_relays(&mut self, index: usize) {
        for relay in 0..STORE_POLLERS {
            let asks = if index < STORE_POLLERS {
                index != relay
            } else {
                index % STORE_POLLERS == relay
            };
            if asks {
                self.tell(relay, index);
            }
        }
    }

    fn tell(&mut self, from: usize, to: usize) {
        if self.rng.random_bool(LOSS) {
            return;
        }
        let freshness = &self.nodes[from].freshness;
        let age = freshness.confirmed_age(self.start + self.now);
        let Some((version, age)) = freshness.version().zip(age) else {
            return;
        };
        let delay = Duration::from_millis(self.rng.random_range(2..25));
        let key = (self.now + delay, self.next_id);
        self.in_flight.insert(key, (to, version, age));
        self.next_id += 1;
    }

    fn receive(&mut self, to: usize, version: u64, age: Duration) {
        let now = self.start + self.now;
        let freshness = &mut self.nodes[to].freshness;
        freshness.confirm(now, version, VersionSource::Peer);
        if freshness.version() == Some(version)
            && let Some(at) = now.checked_sub(age)
        {
            freshness.record_store_poller(at);
        }
    }

    fn call_store(&mut self, index: usize) {
        let now = self.start + self.now;
        let is_poller = index < STORE_POLLERS;
        let node = &mut self.nodes[index];
        let is_behind = node.freshness.version() < Some(self.version);
        match node.call {
            StoreCall::Open(until) => {
                let is_refused = is_poller && self.now >= self.refuses_from;
                if is_refused {
                    if self.now >= until {
                        node.freshness.record_failure(now);
                        node.call = StoreCall::Open(self.now + DESIRED_WAIT);
                    }
                } else if is_behind || self.now >= until {
                    node.freshness
                        .confirm(now, self.version, VersionSource::Store);
                    if is_poller {
                        node.call = StoreCall::Open(self.now + DESIRED_WAIT);
                    } else {
                        node.call = StoreCall::Waiting(Duration::ZERO);
                        for relay in 0..STORE_POLLERS {
                            self.tell(index, relay);
                        }
                    }
                }
            }
            StoreCall::Waiting(left) => {
                let timeout = store_poller_timeout(DESIRED_WAIT, self.question_pause);
                if node.freshness.has_store_poller(now, timeout) {
                    let factor = if node.freshness.polls_store(now) {
                        0.0
                    } else {
                        self.rng.random_range(0.0..2.0)
                    };
                    let pause = probe_pause(self.nodes.len(), factor);
                    self.nodes[index].call = StoreCall::Waiting(pause);
                } else if left.is_zero() {
                    self.probes += 1;
                    node.call = StoreCall::Open(self.now + DESIRED_WAIT);
                } else {
                    node.call = StoreCall::Waiting(left.saturating_sub(TICK));
                }
            }
        }
    }

    fn outdated(&self) -> usize {
        let nodes = self.nodes.iter();
        let outdated = nodes.filter(|node| node.freshness.version() < Some(self.version));
        outdated.count()
    }
}

/// Plays changes of the desired state while the store turns the store pollers away, the
/// first one at that moment.
fn play(count: usize, question_pause: Duration, seed: u64) {
    let mut fleet = PollingFleet::new(count, question_pause, seed);
    fleet.run(Duration::from_secs(10));
    let calm_probes = fleet.probes;
    assert!(
        calm_probes <= 2,
        "{count} nodes, seed {seed}: {calm_probes} needless calls"
    );
    fleet.refuses_from = fleet.now;
    for change in 0..4 {
        fleet.version += 1;
        fleet.run(APPLY_TIME);
        assert_eq!(
            fleet.outdated(),
            0,
            "{count} nodes, seed {seed}, change {change}"
        );
        let pause = fleet.rng.random_range(0..1_500);
        fleet.run(Duration::from_millis(pause));
    }
    let played = fleet.now.saturating_sub(fleet.refuses_from);
    let most = played.as_secs_f64() * f64::from(PROBES_PER_SECOND);
    assert!(
        f64::from(fleet.probes - calm_probes) <= most,
        "{count} nodes, seed {seed}: {} calls in {played:?}",
        fleet.probes
    );
}

#[test]
fn a_change_reaches_all_nodes_although_the_store_turns_the_pollers_away() {
    for seed in 0..60 {
        play(8, Duration::from_millis(100), seed);
        play(67, Duration::from_millis(100), 100 + seed);
    }
}
