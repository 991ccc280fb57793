//! Upstreams that name a rate of requests: what all nodes together send them while news of
//! the limit is late, repeated or out of order, the fleet changes and nodes start anew.

use std::time::{Duration, Instant};

use dispatch::{
    FleetShare, FleetStanding, RateNotice, UpstreamEntry, UpstreamState, UpstreamTable,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use types::{NodeId, UpstreamId};

const STEP: Duration = Duration::from_millis(20);
const STEPS_PER_SECOND: usize = 50;
/// Time that the nodes have after the upstream first named its limit.
const STABLE_WINDOW: usize = 3 * STEPS_PER_SECOND;
/// Span in which requests are counted.
const COUNTED_SPAN: usize = 4 * STEPS_PER_SECOND;
/// Longest time until another node hears of a notice.
const LAG_STEPS: usize = STEPS_PER_SECOND / 2;
/// Chance that news doesn't reach a node at all.
const LOSS: f64 = 0.02;

fn entry(started_ms: u64, version: u64) -> UpstreamEntry {
    UpstreamEntry {
        id: "engine".to_owned(),
        service: "models".to_owned(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "sault".to_owned(),
        slots: 16,
        state: UpstreamState::Ready,
        started_ms: Some(started_ms),
        version,
    }
}

/// Nodes that all want to send one upstream more than it takes.
struct LimitSimulation {
    rng: StdRng,
    now: Instant,
    step: usize,
    names: Vec<NodeId>,
    tables: Vec<UpstreamTable>,
    /// Node that each node takes for lost, with the step until which it does.
    unseen: Vec<(usize, usize)>,
    limit: Option<u32>,
    /// Step, receiving node, what it is told.
    messages: Vec<(usize, usize, RateNotice)>,
    /// Step of each request that reaches the upstream.
    arrivals: Vec<usize>,
}

impl LimitSimulation {
    fn new(seed: u64, nodes: usize) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: Instant::now(),
            step: 0,
            names: (0..nodes).map(|node| format!("node-{node}")).collect(),
            tables: (0..nodes).map(|_| table_with_upstream()).collect(),
            unseen: vec![(0, 0); nodes],
            limit: None,
            messages: Vec::new(),
            arrivals: Vec::new(),
        }
    }

    /// Lets each node try to send `per_node` requests a second on average.
    fn run(&mut self, seconds: usize, per_node: f64) {
        for _ in 0..seconds * STEPS_PER_SECOND {
            self.step += 1;
            self.now += STEP;
            let step = self.step;
            let (due, later) = std::mem::take(&mut self.messages)
                .into_iter()
                .partition(|(at, ..)| *at <= step);
            self.messages = later;
            for (_, node, notice) in due {
                let id = UpstreamId::from("engine");
                self.tables[node].apply_rate(self.now, &id, notice);
            }
            if self.step.is_multiple_of(5) {
                self.share_rates();
            }
            let chance = per_node * STEP.as_secs_f64();
            for node in 0..self.names.len() {
                if self.rng.random_bool(chance) {
                    self.send(node);
                }
            }
        }
    }

    fn share_rates(&mut self) {
        for node in 0..self.names.len() {
            if self.rng.random_bool(0.002) {
                let lost = self.rng.random_range(0..self.names.len());
                self.unseen[node] = (lost, self.step + 2 * STEPS_PER_SECOND);
            }
            let (lost, until) = self.unseen[node];
            let is_seen = |other: &usize| *other == node || *other != lost || self.step >= until;
            let seen = (0..self.names.len()).filter(is_seen);
            let seen: Vec<&NodeId> = seen.map(|other| &self.names[other]).collect();
            let share = FleetShare {
                own: &self.names[node],
                nodes: &seen,
                standing: FleetStanding::Settled,
            };
            self.tables[node].share_rates(self.now, &share);
        }
    }

    fn send(&mut self, node: usize) {
        let table = &mut self.tables[node];
        if table.selectable(self.now, "models", &[]).is_empty()
            || !table.take_send(self.now, "engine")
        {
            return;
        }
        self.arrivals.push(self.step);
        let asked_at = self.now;
        let answered_at = self.now + Duration::from_millis(1);
        let notice = table.observe_rate(answered_at, "engine", Some(1), asked_at, self.limit);
        let Some(notice) = notice else { return };
        for other in (0..self.names.len()).filter(|other| *other != node) {
            if self.rng.random_bool(LOSS) {
                continue;
            }
            for _ in 0..self.rng.random_range(1..3) {
                let due = self.step + self.rng.random_range(1..=LAG_STEPS);
                self.messages.push((due, other, notice));
            }
        }
    }

    /// Asserts the bound on the requests in every counted span from `since` on.
    fn assert_bound(&self, since: usize, limit: u32, seed: u64) {
        let allowed = 1.5 * f64::from(limit) / 1e3 * 4.0 + 5.0;
        let counted: Vec<usize> = self
            .arrivals
            .iter()
            .copied()
            .filter(|step| *step >= since)
            .collect();
        for (index, from) in counted.iter().enumerate() {
            let rest = counted[index..].iter();
            let within = rest.take_while(|step| **step < from + COUNTED_SPAN).count();
            let within = f64::from(u32::try_from(within).unwrap());
            assert!(
                within <= allowed,
                "seed {seed}: {within} requests in 4 s, {allowed} allowed"
            );
        }
    }
}

fn table_with_upstream() -> UpstreamTable {
    let mut table = UpstreamTable::default();
    table.upsert(entry(1, 1));
    table
}

/// Guards against nodes that each keep to a limit by themselves, whose sum exceeds it.
#[test]
fn all_nodes_together_keep_to_a_limit() {
    for nodes in [1, 2, 6, 40] {
        for limit in [0, 250, 1_000, 1_700, 5_000, 40_000] {
            for seed in 0..4 {
                check_limit(nodes, limit, seed, 15);
            }
        }
    }
}

/// Guards against the same in a fleet of hundreds of nodes, which would exceed the limit
/// with one request each.
#[test]
fn hundreds_of_nodes_together_keep_to_a_limit() {
    for limit in [1_000, 5_000] {
        check_limit(382, limit, 5, 9);
    }
}

fn check_limit(nodes: usize, limit: u32, seed: u64, seconds: usize) {
    const OFFERED_PER_NODE: f64 = 20.0;
    let mut simulation = LimitSimulation::new(seed, nodes);
    simulation.run(1, 3.0);
    simulation.limit = Some(limit);
    let since = simulation.step + STABLE_WINDOW;
    simulation.run(3 + seconds, OFFERED_PER_NODE);
    simulation.assert_bound(since, limit, seed);
    let sent = simulation.arrivals.iter().filter(|step| **step >= since);
    let sent = f64::from(u32::try_from(sent.count()).unwrap());
    let seconds = f64::from(u32::try_from(seconds).unwrap());
    let taken = f64::from(limit) / 1e3 * seconds;
    let offered = OFFERED_PER_NODE * seconds * f64::from(u32::try_from(nodes).unwrap());
    assert!(
        sent >= 0.5 * taken.min(offered),
        "{nodes} nodes, limit {limit}: {sent} sent, the upstream takes {taken}"
    );
}

/// Guards against limits that outlast what the upstream says, and against an old notice
/// that takes a newer one back.
#[test]
fn a_limit_changes_and_ends_at_all_nodes() {
    for seed in 0..20 {
        let mut simulation = LimitSimulation::new(seed, 6);
        simulation.run(1, 3.0);
        simulation.limit = Some(8_000);
        simulation.run(10, 20.0);
        simulation.limit = Some(1_500);
        let changed = simulation.step;
        simulation.run(15, 20.0);
        simulation.assert_bound(changed + STABLE_WINDOW, 1_500, seed);
        simulation.limit = None;
        simulation.run(10, 20.0);
        let since = simulation.step;
        simulation.run(2, 20.0);
        let sent = simulation.arrivals.iter().filter(|step| **step > since);
        assert!(sent.count() > 180, "seed {seed}: the limit has not ended");
    }
}

/// Guards against nodes that start anew, know of no limit and send as they like for long.
#[test]
fn nodes_that_start_anew_soon_keep_to_the_limit() {
    for seed in 0..20 {
        let mut simulation = LimitSimulation::new(seed, 6);
        simulation.limit = Some(1_000);
        simulation.run(8, 20.0);
        for table in &mut simulation.tables {
            *table = table_with_upstream();
        }
        let restarted = simulation.step;
        simulation.run(20, 20.0);
        simulation.assert_bound(restarted + STABLE_WINDOW, 1_000, seed);
    }
}

#[test]
fn notices_are_ordered_and_belong_to_one_process() {
    let now = Instant::now();
    let id = UpstreamId::from("engine");
    let mut table = table_with_upstream();
    let notice = |stamp, limit| RateNotice {
        started_ms: Some(1),
        stamp,
        limit,
    };
    assert!(table.apply_rate(now, &id, notice(2, Some(1_000))));
    assert!(!table.apply_rate(now, &id, notice(1, None)), "older");
    assert!(!table.apply_rate(now, &id, notice(2, Some(1_000))), "known");
    assert!(
        !table.apply_rate(now, &id, notice(2, None)),
        "as old, and says more"
    );
    assert!(table.apply_rate(now, &id, notice(2, Some(500))));
    assert!(table.apply_rate(now, &id, notice(3, None)));
    assert!(table.take_send(now, "engine"));

    // A late answer to a request that was sent before the limit was named ends nothing.
    let later = now + Duration::from_secs(1);
    let named = table.observe_rate(later, "engine", Some(1), now, Some(700));
    assert_eq!(named.unwrap().stamp, 4);
    let asked_before = now + Duration::from_millis(500);
    assert_eq!(
        table.observe_rate(later, "engine", Some(1), asked_before, None),
        None
    );
    assert!(table.get("engine").unwrap().is_rate_limited());

    // The next process under this id has no limit; what is said of it may come early.
    let next = RateNotice {
        started_ms: Some(2),
        stamp: 1,
        limit: Some(2_000),
    };
    assert!(!table.apply_rate(later, &id, next));
    table.upsert(entry(2, 2));
    assert_eq!(table.rate_notices().next(), Some((&id, next)));
    assert!(!table.apply_rate(later, &id, notice(9, None)));
    table.upsert(entry(3, 3));
    assert!(!table.get("engine").unwrap().is_rate_limited());
}

/// Guards against refusals that don't say when the upstream takes a request again.
#[test]
fn a_request_beyond_the_rate_is_told_when_to_come_back() {
    let now = Instant::now();
    let mut table = table_with_upstream();
    let own = NodeId::from("node-0");
    table.observe_rate(now, "engine", Some(1), now, Some(500));
    let share = FleetShare {
        own: &own,
        nodes: &[&own],
        standing: FleetStanding::Settled,
    };
    table.share_rates(now, &share);
    assert!(table.take_send(now, "engine"));
    assert!(table.selectable(now, "models", &[]).is_empty());
    let left = table.pause_left(now, "models").unwrap();
    assert!(
        left > Duration::ZERO && left <= Duration::from_secs(2),
        "{left:?}"
    );
    assert!(!table.take_send(now, "engine"));
    assert_eq!(table.selectable(now + left, "models", &[]).len(), 1);
    assert!(table.take_send(now + left, "engine"));
}
