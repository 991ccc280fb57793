//! Upstreams that warm up: what all nodes together send them while the nodes' knowledge of
//! each other is old, nodes start, freeze and lose touch, and claims are late or absurd.

use std::time::{Duration, Instant};

use dispatch::{
    ColdChange, ColdClaim, ColdSource, ColdSpec, ColdTolerance, FleetContact, FleetShare,
    FleetStanding, LoadTracker, RateNotice, UpstreamEntry, UpstreamState, UpstreamTable,
    place_plain_request,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use types::NodeId;

const STEP: Duration = Duration::from_millis(20);
const STEPS_PER_SECOND: usize = 50;
/// Age of what a node knows of the others, at most.
const LAG_STEPS: usize = STEPS_PER_SECOND / 2;
/// Longest time from the decision to send a request until it arrives.
const TRANSIT_STEPS: usize = 12;
/// Steps between two updates of a node's shares.
const TICK_STEPS: usize = 10;
/// Time for which nodes that are no longer seen keep their shares, as in the roster.
const RECENT_STEPS: usize = 10 * STEPS_PER_SECOND;
/// Time of day at the start of a simulation.
const UNIX_MS: u64 = 1_700_000_000_000;
const TOLERANCE: ColdTolerance = ColdTolerance {
    overshoot: 1.5,
    slack: 5.0,
};

fn entry(id: &str, started_ms: u64, version: u64) -> UpstreamEntry {
    let port = id.bytes().fold(0, |port: u16, byte| {
        port.wrapping_mul(31).wrapping_add(byte.into())
    });
    UpstreamEntry {
        id: id.to_owned(),
        service: "models".to_owned(),
        address: ([10, 0, 0, 1], port).into(),
        zone: "sault".to_owned(),
        slots: 1000,
        state: UpstreamState::Ready,
        started_ms: Some(started_ms),
        version,
    }
}

fn spec(requests_per_second: f64) -> ColdSpec {
    ColdSpec {
        start_time: Duration::from_secs(3),
        requests_per_second,
    }
}

fn claim(source: ColdSource, made_at: Instant, remaining_ms: u64) -> ColdClaim {
    ColdClaim {
        source,
        made_at,
        remaining: Duration::from_millis(remaining_ms),
    }
}

/// What keeps a node from knowing the fleet as it is.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    None,
    /// Starts in this step.
    Starts(usize),
    /// Executes nothing between these steps.
    Frozen(usize, usize),
    /// Hears nobody, and is heard by nobody, between these steps.
    OutOfTouch(usize, usize),
}

struct SimulatedNode {
    name: NodeId,
    table: UpstreamTable,
    contact: FleetContact,
    trouble: Trouble,
    /// Age of its knowledge of each other node, in steps.
    lags: Vec<usize>,
    /// Step in which it last knew each other node to run.
    seen_at: Vec<Option<usize>>,
    loads: LoadTracker,
}

impl SimulatedNode {
    fn runs(&self, step: usize) -> bool {
        match self.trouble {
            Trouble::Starts(at) => step >= at,
            Trouble::Frozen(from, to) => !(from..to).contains(&step),
            Trouble::None | Trouble::OutOfTouch(..) => true,
        }
    }

    fn is_in_touch(&self, step: usize) -> bool {
        let is_cut =
            matches!(self.trouble, Trouble::OutOfTouch(from, to) if (from..to).contains(&step));
        self.runs(step) && !is_cut
    }
}

/// A fleet that sends requests to upstreams of one service.
struct ColdSimulation {
    rng: StdRng,
    start: Instant,
    step: usize,
    spec: ColdSpec,
    nodes: Vec<SimulatedNode>,
    /// Step, receiving node, upstream's entry, what is claimed of it.
    messages: Vec<(usize, usize, UpstreamEntry, Option<ColdClaim>)>,
    /// Step and upstream of each request that arrives.
    arrivals: Vec<(usize, String)>,
    refused: usize,
    offered: usize,
}

impl ColdSimulation {
    fn new(seed: u64, count: usize, requests_per_second: f64, warm: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let start = Instant::now();
        let nodes = (0..count).map(|index| {
            let mut table = UpstreamTable::default();
            for warm in 0..warm {
                table.upsert(entry(&format!("warm-{warm}"), UNIX_MS - 60_000, 1));
            }
            SimulatedNode {
                name: format!("node-{index}"),
                table,
                contact: FleetContact::new(start),
                trouble: Trouble::None,
                lags: (0..count)
                    .map(|_| rng.random_range(1..=LAG_STEPS))
                    .collect(),
                seen_at: vec![None; count],
                loads: LoadTracker::default(),
            }
        });
        let nodes = nodes.collect();
        Self {
            rng,
            start,
            step: 0,
            spec: spec(requests_per_second),
            nodes,
            messages: Vec::new(),
            arrivals: Vec::new(),
            refused: 0,
            offered: 0,
        }
    }

    fn now(&self) -> Instant {
        self.at(self.step)
    }

    fn at(&self, step: usize) -> Instant {
        self.start + STEP * u32::try_from(step).unwrap()
    }

    fn unix_ms(&self) -> u64 {
        UNIX_MS + u64::try_from(self.step).unwrap() * 20
    }

    /// Tells all nodes of an upstream after up to [`LAG_STEPS`].
    fn tell(&mut self, entry: &UpstreamEntry, claim: Option<ColdClaim>) {
        for node in 0..self.nodes.len() {
            let at = self.step + self.rng.random_range(1..=LAG_STEPS);
            self.messages.push((at, node, entry.clone(), claim));
        }
    }

    /// Lets each node try to send `per_node` requests a second on average.
    fn run(&mut self, seconds: f64, per_node: f64) {
        let steps = (Duration::from_secs_f64(seconds).as_millis() / STEP.as_millis()) as usize;
        for _ in 0..steps {
            self.step += 1;
            self.deliver();
            for index in 0..self.nodes.len() {
                if (self.step + index).is_multiple_of(TICK_STEPS) {
                    self.tick(index);
                }
            }
            for index in 0..self.nodes.len() {
                if self.nodes[index].runs(self.step) && self.rng.random_bool(per_node * 0.02) {
                    self.send(index);
                }
            }
        }
    }

    fn deliver(&mut self) {
        let step = self.step;
        let now = self.now();
        for node in &mut self.nodes {
            if node.trouble == Trouble::Starts(step) {
                node.contact = FleetContact::new(now);
            }
        }
        let nodes = &self.nodes;
        let (due, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(at, node, ..)| *at <= step && nodes[*node].is_in_touch(step));
        self.messages = later;
        for (_, index, entry, claim) in due {
            let node = &mut self.nodes[index];
            node.table.upsert(entry.clone());
            if let Some(claim) = claim {
                node.table.record_cold(&entry.id, entry.started_ms, claim);
            }
            self.share(index, now);
        }
    }

    fn tick(&mut self, index: usize) {
        let now = self.now();
        if !self.nodes[index].runs(self.step) {
            return;
        }
        let hears = (0..self.nodes.len()).any(|other| other != index && self.sees(index, other));
        if hears && self.nodes[index].is_in_touch(self.step) {
            self.nodes[index].contact.record_heard(now);
        }
        self.share(index, now);
    }

    /// Whether a node's knowledge of another one, of some time ago, says that it runs.
    fn sees(&self, index: usize, other: usize) -> bool {
        let at = self.step.saturating_sub(self.nodes[index].lags[other]);
        self.nodes[index].is_in_touch(self.step) && self.nodes[other].is_in_touch(at)
    }

    fn share(&mut self, index: usize, now: Instant) {
        for other in 0..self.nodes.len() {
            if other == index || self.sees(index, other) {
                self.nodes[index].seen_at[other] = Some(self.step);
            }
        }
        let seen_at = &self.nodes[index].seen_at;
        let is_recent = |at: Option<usize>| at.is_some_and(|at| self.step - at <= RECENT_STEPS);
        let known = (0..self.nodes.len()).filter(|other| is_recent(seen_at[*other]));
        let known: Vec<NodeId> = known.map(|other| self.nodes[other].name.clone()).collect();
        let unix_ms = self.unix_ms();
        let spec = self.spec;
        let node = &mut self.nodes[index];
        let (nodes, standing) = node.contact.tick(now, known);
        node.table
            .update_cold(now, unix_ms, &TOLERANCE, |_| Some(&spec));
        let nodes: Vec<&NodeId> = nodes.iter().collect();
        let share = FleetShare {
            own: &node.name,
            nodes: &nodes,
            standing,
        };
        node.table.share_rates(now, &share);
    }

    fn send(&mut self, index: usize) {
        let now = self.now();
        self.offered += 1;
        let node = &mut self.nodes[index];
        let usable = node.table.selectable(now, "models", &[]);
        let chosen = place_plain_request(now, &usable, &node.loads, &mut self.rng);
        let Ok(chosen) = chosen else {
            let left = node.table.pause_left(now, "models");
            assert!(
                left.is_none_or(|left| left <= Duration::from_secs(2)),
                "{left:?}"
            );
            self.refused += 1;
            return;
        };
        assert!(node.table.take_send(now, &chosen));
        let transit = self.rng.random_range(0..=TRANSIT_STEPS);
        self.arrivals.push((self.step + transit, chosen));
    }

    /// Most requests that arrived at `upstream` within a second between two steps.
    fn most_in_a_second(&self, upstream: &str, from: usize, to: usize) -> u32 {
        let mut steps: Vec<usize> = self
            .arrivals
            .iter()
            .filter(|(step, id)| id == upstream && (from..to).contains(step))
            .map(|(step, _)| *step)
            .collect();
        steps.sort_unstable();
        let counts = steps.iter().enumerate().map(|(index, first)| {
            let rest = steps[index..].iter();
            rest.take_while(|step| **step < first + STEPS_PER_SECOND)
                .count()
        });
        u32::try_from(counts.max().unwrap_or_default()).unwrap()
    }

    fn arrivals_at(&self, upstream: &str, from: usize, to: usize) -> u32 {
        let arrivals = self.arrivals.iter();
        let counted = arrivals.filter(|(step, id)| id == upstream && (from..to).contains(step));
        u32::try_from(counted.count()).unwrap()
    }

    fn assert_bound(&self, upstream: &str, from: usize, to: usize, label: &str) {
        let bound = self.spec.bound(&TOLERANCE).unwrap();
        let most = self.most_in_a_second(upstream, from, to);
        assert!(
            f64::from(most) <= bound,
            "{label}: {upstream} got {most} requests in a second, {bound} allowed"
        );
    }
}

/// Guards against nodes that each send a cold upstream little, whose sum exceeds what it
/// takes, and against shares that leave most of it unused.
#[test]
fn all_nodes_together_keep_to_what_a_new_upstream_takes() {
    for count in [1, 2, 6, 40, 64] {
        for requests_per_second in [1.0, 5.0, 14.0, 60.0] {
            for seed in 0..4 {
                let mut simulation = ColdSimulation::new(seed, count, requests_per_second, 0);
                simulation.run(6.0, 1.0);
                let from = simulation.step;
                let returned = entry("cold", simulation.unix_ms(), 2);
                simulation.tell(&returned, None);
                simulation.run(3.0, 25.0);
                let to = simulation.step;
                let label = format!("{count} nodes, {requests_per_second}/s, seed {seed}");
                simulation.assert_bound("cold", from, to, &label);
                let sent = f64::from(simulation.arrivals_at("cold", from, to));
                let offered = 25.0 * f64::from(u32::try_from(count).unwrap());
                let taken = 3.0 * requests_per_second.min(offered);
                assert!(
                    sent >= 0.5 * taken,
                    "{label}: {sent} sent, it takes {taken}"
                );
            }
        }
    }
}

/// Guards against nodes that see another fleet than the rest: those that have just started,
/// woke up, or lost touch, while an upstream is cold for long.
#[test]
fn a_restless_fleet_keeps_to_what_a_cold_upstream_takes() {
    for seed in 0..40 {
        let mut simulation = ColdSimulation::new(seed, 48, 14.0, 0);
        for index in 0..24 {
            let from = simulation.rng.random_range(250..650);
            let to = from + simulation.rng.random_range(40..200);
            simulation.nodes[index].trouble = match index % 3 {
                0 => Trouble::Starts(from),
                1 => Trouble::Frozen(from, to),
                _ => Trouble::OutOfTouch(from, to),
            };
        }
        simulation.run(4.0, 1.0);
        let from = simulation.step;
        let returned = entry("cold", simulation.unix_ms(), 2);
        simulation.tell(&returned, None);
        for version in 3..13 {
            let left_ms = 14_000 - version * 1_000;
            let renewed = claim(ColdSource::Row(version), simulation.now(), left_ms);
            simulation.tell(&returned, Some(renewed));
            simulation.run(1.0, 25.0);
        }
        simulation.assert_bound("cold", from, simulation.step, &format!("seed {seed}"));
    }
}

/// Guards against nodes that are out of touch for so long that the others divide their
/// shares anew, or that take the rest of the fleet for dead.
#[test]
fn half_a_fleet_out_of_touch_adds_little() {
    for seed in 0..20 {
        let mut simulation = ColdSimulation::new(seed, 48, 14.0, 0);
        for node in simulation.nodes.iter_mut().step_by(2) {
            node.trouble = Trouble::OutOfTouch(400, 1_200);
        }
        simulation.run(6.0, 1.0);
        let from = simulation.step;
        let returned = entry("cold", simulation.unix_ms(), 2);
        let told = claim(ColdSource::Row(3), simulation.now(), 20_000);
        simulation.tell(&returned, Some(told));
        simulation.run(20.0, 25.0);
        simulation.assert_bound("cold", from, simulation.step, &format!("seed {seed}"));
    }
}

/// Guards against the burst of a whole fleet that starts anew while upstreams are cold.
#[test]
fn a_fleet_that_starts_anew_keeps_to_what_a_cold_upstream_takes() {
    for seed in 0..20 {
        let mut simulation = ColdSimulation::new(seed, 40, 14.0, 0);
        for index in 0..40 {
            let at = simulation.rng.random_range(0..100);
            simulation.nodes[index].trouble = Trouble::Starts(at);
        }
        let returned = entry("cold", simulation.unix_ms(), 2);
        simulation.tell(&returned, None);
        let renewed = claim(ColdSource::Row(3), simulation.now(), 8_000);
        simulation.tell(&returned, Some(renewed));
        simulation.run(8.0, 25.0);
        simulation.assert_bound("cold", 0, simulation.step, &format!("seed {seed}"));
        let sent = simulation.arrivals_at("cold", 0, simulation.step);
        assert!(sent > 30, "seed {seed}: only {sent} sent in 8 s");
    }
}

/// The load: a zone's servers come back together while the rest is in use, and all servers
/// come back together under two requests a second and node.
#[test]
fn a_zone_that_comes_back_under_load_costs_few_refusals() {
    for (warm, per_node) in [(46, 8.0), (0, 2.0)] {
        for seed in 0..4 {
            let mut simulation = ColdSimulation::new(seed, 40, 14.0, warm);
            simulation.run(6.0, 0.0);
            let from = simulation.step;
            for returned in 0..23 {
                let returned = entry(&format!("cold-{returned}"), simulation.unix_ms(), 2);
                simulation.tell(&returned, None);
            }
            simulation.run(0.5, 0.0);
            simulation.run(2.5, per_node);
            let to = simulation.step;
            for returned in 0..23 {
                let returned = format!("cold-{returned}");
                simulation.assert_bound(&returned, from, to, &format!("seed {seed}"));
            }
            let (refused, offered) = (simulation.refused, simulation.offered);
            assert!(
                refused * 50 < offered,
                "{warm} warm, seed {seed}: {refused} of {offered} refused"
            );
        }
    }
}

/// Guards against load that comes back all at once.
#[test]
fn load_comes_back_in_steps() {
    for seed in 0..10 {
        let mut simulation = ColdSimulation::new(seed, 40, 10.0, 0);
        simulation.run(6.0, 0.0);
        let returned = entry("cold", simulation.unix_ms(), 2);
        simulation.tell(&returned, None);
        // Every node counts the warm-up from its first word of it.
        simulation.run(3.0, 25.0);
        let warm_at = simulation.step;
        simulation.run(4.0, 25.0);
        let bound = simulation.spec.bound(&TOLERANCE).unwrap();
        for (second, factor) in [(0, 2.0), (1, 4.0)] {
            let from = warm_at + second * STEPS_PER_SECOND;
            let most = simulation.most_in_a_second("cold", from, from + STEPS_PER_SECOND);
            assert!(f64::from(most) <= bound * factor, "second {second}: {most}");
        }
        let last = simulation.step - STEPS_PER_SECOND;
        let sent = simulation.arrivals_at("cold", last, simulation.step);
        assert!(sent > 600, "load has not come back: {sent}");
    }
}

/// Guards against an upstream that turns cold while it holds requests, and gets the usual
/// load until the next share is computed.
#[test]
fn an_upstream_that_turns_cold_again_is_held_at_once() {
    for seed in 0..20 {
        let mut simulation = ColdSimulation::new(seed, 40, 14.0, 1);
        simulation.run(4.0, 10.0);
        assert!(simulation.refused == 0);
        let again = claim(ColdSource::Answer, simulation.now(), 3_000);
        simulation.tell(&entry("warm-0", UNIX_MS - 60_000, 1), Some(again));
        simulation.run(0.5, 10.0);
        // What was on its way when the last node heard of it has arrived.
        let from = simulation.step + TRANSIT_STEPS + 1;
        simulation.run(2.4, 10.0);
        simulation.assert_bound("warm-0", from, simulation.step, &format!("seed {seed}"));
    }
}

/// Guards against requests to the entries of processes that have ended, which others at
/// their addresses turn away: each costs a retry, while entries lapse only after seconds.
#[test]
fn a_process_whose_address_a_later_one_has_gets_nothing() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    let at = |id: &str, port: u16, started_ms: Option<u64>| UpstreamEntry {
        address: ([10, 0, 0, 1], port).into(),
        started_ms,
        ..entry(id, 0, 1)
    };
    let selectable = |table: &UpstreamTable| {
        let usable = table.selectable(now, "models", &[]);
        let ids = usable.into_iter().map(|health| health.entry.id.clone());
        ids.collect::<Vec<_>>()
    };
    table.upsert(at("ended", 80, Some(1_000)));
    table.upsert(at("other", 81, Some(1_000)));
    table.upsert(at("started", 80, Some(2_000)));
    assert_eq!(selectable(&table), ["other", "started"]);
    // Late news of an older process takes nothing from the later one.
    table.upsert(at("older", 80, Some(500)));
    assert_eq!(selectable(&table), ["other", "started"]);
    // Without start times, nothing tells which one has ended.
    table.upsert(at("silent", 81, None));
    assert_eq!(selectable(&table), ["other", "silent", "started"]);
    table.remove("started", None);
    assert_eq!(selectable(&table), ["ended", "older", "other", "silent"]);
}

struct SingleNode {
    now: Instant,
    table: UpstreamTable,
}

impl SingleNode {
    fn new() -> Self {
        let mut table = UpstreamTable::default();
        table.upsert(entry("engine", UNIX_MS - 60_000, 1));
        Self {
            now: Instant::now(),
            table,
        }
    }

    fn record(&mut self, claim: ColdClaim) {
        self.table
            .record_cold("engine", Some(UNIX_MS - 60_000), claim);
    }

    fn update(&mut self, after_ms: u64) -> Vec<ColdChange> {
        self.now += Duration::from_millis(after_ms);
        let spec = spec(14.0);
        let changes = self
            .table
            .update_cold(self.now, UNIX_MS, &TOLERANCE, |_| Some(&spec));
        let own = NodeId::from("node-0");
        let share = FleetShare {
            own: &own,
            nodes: &[&own],
            standing: FleetStanding::Settled,
        };
        self.table.share_rates(self.now, &share);
        changes.into_iter().map(|(_, change)| change).collect()
    }

    fn is_cold(&self) -> bool {
        self.table.get("engine").unwrap().is_cold(self.now)
    }
}

#[test]
fn the_newest_claim_counts_whatever_its_source() {
    let mut node = SingleNode::new();
    assert!(node.update(0).is_empty(), "an old process is warm");
    let start = node.now;
    let at = |ms| start + Duration::from_millis(ms);
    node.record(claim(ColdSource::Row(5), at(0), 3_000));
    let left = Duration::from_secs(3);
    assert_eq!(node.update(0), [ColdChange::Cold(ColdSource::Row(5), left)]);
    // A copy of the directory that is older, read later.
    node.record(claim(ColdSource::Row(4), at(100), 0));
    node.now = at(150);
    assert!(node.is_cold());
    node.record(claim(ColdSource::Answer, at(200), 0));
    node.now = at(200);
    assert!(!node.is_cold());
    // The row was read after the answer, but may have been written before it.
    node.record(claim(ColdSource::Row(6), at(300), 2_000));
    assert!(node.is_cold());
    node.record(claim(ColdSource::Answer, at(400), 1_900));
    node.record(claim(ColdSource::Row(7), at(500), 0));
    node.now = at(600);
    assert!(node.is_cold(), "the row may be older than the answer");
    node.record(claim(ColdSource::Row(8), at(3_000), 0));
    node.now = at(3_000);
    assert!(!node.is_cold());
    let warm = node.update(3_000);
    assert_eq!(warm, [ColdChange::Warm(ColdSource::Row(8))]);
}

#[test]
fn claims_are_bounded_and_belong_to_one_process() {
    let mut node = SingleNode::new();
    node.update(0);
    let day_ms = 24 * 60 * 60 * 1_000;
    node.record(claim(ColdSource::Answer, node.now, day_ms));
    assert!(node.is_cold());
    node.update(61_000);
    assert!(!node.is_cold(), "no claim counts for a day");

    let other = claim(ColdSource::Answer, node.now, 3_000);
    assert!(!node.table.record_cold("engine", Some(1), other));
    assert!(!node.is_cold(), "said of another process");

    // The next process under this id is cold from its start, until its row says otherwise.
    node.table.upsert(entry("engine", UNIX_MS - 1_000, 2));
    node.update(0);
    assert!(node.is_cold());
    let row = claim(ColdSource::Row(3), node.now, 0);
    assert!(node.table.record_cold("engine", Some(UNIX_MS - 1_000), row));
    assert!(!node.is_cold());
}

/// Guards against a claim that is never forgotten, as it goes round between nodes.
#[test]
fn claims_that_come_back_are_not_new() {
    let mut one = SingleNode::new();
    let mut other = SingleNode::new();
    one.update(0);
    other.update(0);
    one.record(claim(ColdSource::Answer, one.now, 3_000));
    for _ in 0..155 {
        one.now += Duration::from_millis(20);
        other.now = one.now;
        for (key, told) in one.table.cold_claims(one.now).collect::<Vec<_>>() {
            let made_at = told.made_at + Duration::from_millis(2);
            other
                .table
                .apply_cold(other.now, key, ColdClaim { made_at, ..told });
        }
        for (key, told) in other.table.cold_claims(other.now).collect::<Vec<_>>() {
            let made_at = told.made_at + Duration::from_millis(2);
            one.table
                .apply_cold(one.now, key, ColdClaim { made_at, ..told });
        }
    }
    assert!(!one.is_cold() && !other.is_cold());
}

/// Guards against an answer without a named rate that ends the warm-up, and against the
/// laxer of the two rates.
#[test]
fn the_stricter_of_two_rates_binds() {
    let mut node = SingleNode::new();
    node.update(0);
    node.record(claim(ColdSource::Answer, node.now, 30_000));
    node.update(0);
    let started_ms = Some(UNIX_MS - 60_000);
    let sent = |node: &mut SingleNode| {
        let mut sent = 0;
        for _ in 0..100 {
            node.update(20);
            while node.table.take_send(node.now, "engine") {
                sent += 1;
                assert!(sent <= 200, "no rate binds");
            }
        }
        sent
    };
    let cold = sent(&mut node);
    assert!(cold > 14 && cold <= 2 * 26, "{cold} in two seconds");
    let limit = |stamp, limit| RateNotice {
        started_ms,
        stamp,
        limit,
    };
    let id = "engine".to_owned();
    node.table.apply_rate(node.now, &id, limit(1, Some(2_000)));
    node.update(0);
    let named = sent(&mut node);
    assert!(named > 0 && named <= 6, "{named} in two seconds");
    node.table
        .apply_rate(node.now, &id, limit(2, Some(500_000)));
    node.update(0);
    let cold = sent(&mut node);
    assert!(cold <= 2 * 26, "{cold} in two seconds");
    let asked_at = node.now;
    node.now += Duration::from_millis(20);
    node.table
        .observe_rate(node.now, "engine", started_ms, asked_at, None);
    node.update(0);
    let cold = sent(&mut node);
    assert!(cold <= 2 * 26, "{cold} in two seconds");
}

/// Guards against requests that the upstream does not count and that use up its rate.
#[test]
fn a_request_that_is_not_counted_is_given_back() {
    let mut node = SingleNode::new();
    node.update(0);
    node.record(claim(ColdSource::Answer, node.now, 3_000));
    node.update(0);
    node.update(500);
    for _ in 0..100 {
        assert!(node.table.take_send(node.now, "engine"));
        node.table.return_send("engine");
    }
}

/// Guards against a process that wakes up and sends by a share of long ago.
#[test]
fn a_share_lapses_while_a_process_is_frozen() {
    let mut node = SingleNode::new();
    node.update(0);
    node.record(claim(ColdSource::Answer, node.now, 30_000));
    node.update(0);
    node.update(500);
    assert!(node.table.take_send(node.now, "engine"));
    let woken = node.now + Duration::from_secs(4);
    assert!(!node.table.take_send(woken, "engine"));
    assert!(node.table.pause_left(woken, "models").is_some());
}
