//! A fleet of nodes on a simulated clock that report to relays and ask them, while
//! datagrams are lost, late and out of order, zones are cut off and nodes restart.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use dispatch::{
    ContactLevel, FleetView, NewsCursor, NewsItem, NewsLog, NewsPage, NewsSubject, RosterEntry,
    RowSchedule, UpstreamEntry, UpstreamState, UpstreamTable, select_relays,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Upstream that leaves in some tests.
const LEAVING: &str = "leaving";
const PAGE_BYTES: usize = 1_250;
const PAGES_MAX: usize = 10;
const ZONES: usize = 5;
const TICK: Duration = Duration::from_millis(20);
/// Time that a node gives others before it reads and writes rows.
const ROW_WAIT: Duration = Duration::from_millis(400);
/// Within this time nodes that start at the same moment have to find each other: two seconds
/// after the last one has started.
const START_BOUND: Duration = Duration::from_millis(300 + 2_000);

#[derive(Clone, Debug)]
enum Datagram {
    Report(RosterEntry, Option<NewsCursor>),
    News(RosterEntry, NewsPage),
}

#[derive(Debug)]
struct SimulatedNode {
    entry: RosterEntry,
    view: FleetView,
    rows: RowSchedule,
    started: Duration,
    next_report: Duration,
    /// What the node knew of others at its last report.
    reported: ContactLevel,
    up: bool,
    /// Whether it knows that the upstream [`LEAVING`] is gone.
    knows_gone: bool,
    sent: usize,
    received: usize,
}

struct Fleet {
    start: Instant,
    now: Duration,
    rng: StdRng,
    nodes: Vec<SimulatedNode>,
    seeds: Vec<SocketAddr>,
    upstreams: UpstreamTable,
    in_flight: BinaryHeap<Reverse<(Duration, u64)>>,
    datagrams: BTreeMap<u64, (usize, Datagram)>,
    next_id: u64,
    loss: f64,
    /// Zone that exchanges no datagrams with the others.
    cut_zone: Option<usize>,
    /// Rows that relays write to the store; `None` while the store is down.
    store_rows: Option<BTreeMap<usize, RosterEntry>>,
    store_calls: usize,
}

fn address(index: usize) -> SocketAddr {
    let [_, _, high, low] = u32::to_be_bytes(u32::try_from(index).unwrap());
    ([10, 0, high, low], 81).into()
}

fn index_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        unreachable!()
    };
    let [_, _, high, low] = address.ip().octets();
    usize::from(u16::from_be_bytes([high, low]))
}

fn entry(index: usize, incarnation: u64) -> RosterEntry {
    RosterEntry {
        node: format!("node-{index:04}"),
        zone: format!("zone-{}", index % ZONES),
        caller_address: address(index),
        peer_address: address(index),
        incarnation,
        ready: true,
        // A few nodes are larger, but not the first ones by name.
        capacity: if index % 50 == 17 { 500 } else { 120 },
    }
}

fn upstream(id: &str, version: u64) -> UpstreamEntry {
    UpstreamEntry {
        id: id.to_owned(),
        service: "models".to_owned(),
        address: address(9),
        zone: "zone-0".to_owned(),
        slots: 10,
        state: UpstreamState::Ready,
        started_ms: Some(1),
        version,
    }
}

/// All nodes start within 0.3 s.
fn start_time(index: usize) -> Duration {
    Duration::from_millis(u64::try_from(index).unwrap() % 300)
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Self {
        let seeds = [3, 5, 11].into_iter().filter(|index| *index < count);
        let seeds: Vec<SocketAddr> = seeds.map(address).collect();
        let start = Instant::now();
        let nodes = (0..count).map(|index| SimulatedNode {
            entry: entry(index, 1),
            view: FleetView::new(u64::try_from(index).unwrap() + 1, seeds.clone()),
            reported: FleetView::new(1, Vec::new()).contact_level(start),
            rows: RowSchedule::default(),
            started: start_time(index),
            next_report: start_time(index),
            up: true,
            knows_gone: false,
            sent: 0,
            received: 0,
        });
        Self {
            start,
            now: Duration::ZERO,
            rng: StdRng::seed_from_u64(seed),
            nodes: nodes.collect(),
            seeds,
            upstreams: UpstreamTable::default(),
            in_flight: BinaryHeap::new(),
            datagrams: BTreeMap::new(),
            next_id: 0,
            loss: 0.01,
            cut_zone: None,
            store_rows: None,
            store_calls: 0,
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, datagram: Datagram) {
        let to = index_of(to);
        self.nodes[from].sent += 1;
        if to >= self.nodes.len() {
            return;
        }
        let zones = [from % ZONES, to % ZONES];
        let is_cut = zones[0] != zones[1] && zones.iter().any(|zone| Some(*zone) == self.cut_zone);
        if is_cut || self.rng.random_bool(self.loss) {
            return;
        }
        let delay = Duration::from_millis(self.rng.random_range(1..40));
        self.in_flight
            .push(Reverse((self.now + delay, self.next_id)));
        self.datagrams.insert(self.next_id, (to, datagram));
        self.next_id += 1;
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            while let Some(Reverse((at, id))) = self.in_flight.peek().copied() {
                if at > self.now {
                    break;
                }
                self.in_flight.pop();
                let (to, datagram) = self.datagrams.remove(&id).unwrap();
                if self.nodes[to].up {
                    self.receive(to, datagram);
                }
            }
            for index in 0..self.nodes.len() {
                let node = &self.nodes[index];
                let is_urgent = self.now >= node.started
                    && node
                        .view
                        .report_is_urgent(self.start + self.now, node.reported);
                if node.up && (node.next_report <= self.now || is_urgent) {
                    self.report(index);
                }
                if self.nodes[index].up && self.now >= self.nodes[index].started + ROW_WAIT {
                    self.keep_row(index);
                }
            }
        }
    }

    /// Relays write their rows to the store and list those of others.
    fn keep_row(&mut self, index: usize) {
        let now = self.start + self.now;
        let node = &mut self.nodes[index];
        let Some(store_rows) = &mut self.store_rows else {
            return;
        };
        if !node.view.is_relay(now, &node.entry) {
            return;
        }
        let knows_others = node.view.roster().live(now).next().is_some();
        if node.rows.is_listing_due(now, knows_others) {
            self.store_calls += 1;
            for (_, entry) in store_rows.iter().filter(|(row, _)| **row != index) {
                node.view.roster_mut().record_listing(now, entry.clone());
            }
            node.rows.record_listing(now, knows_others);
        } else if !node.rows.is_written() {
            self.store_calls += 1;
            store_rows.insert(index, node.entry.clone());
            node.rows.record_written(now);
        }
    }

    /// Time until each node that runs knows all others that do.
    fn time_until_whole(&mut self) -> Duration {
        let began = self.now;
        let running = self.nodes.iter().filter(|node| node.up).count();
        while self.live_range(|_| true) != (running - 1, running - 1) {
            self.run(TICK);
            assert!(self.now < began + Duration::from_mins(1), "never whole");
        }
        self.now.checked_sub(began).unwrap()
    }

    fn report(&mut self, index: usize) {
        let now = self.start + self.now;
        let node = &mut self.nodes[index];
        let pause = node.view.report_pause(now);
        let plan = node
            .view
            .plan_report(now, &node.entry, pause, false, &mut self.rng);
        node.view.record_sent(now);
        node.next_report = self.now + pause;
        node.reported = node.view.contact_level(now);
        let entry = node.entry.clone();
        for target in plan.targets {
            let report = Datagram::Report(entry.clone(), target.question);
            self.send(index, target.address, report);
        }
    }

    fn receive(&mut self, index: usize, datagram: Datagram) {
        let now = self.start + self.now;
        self.nodes[index].received += 1;
        match datagram {
            Datagram::Report(sender, question) => {
                let to = sender.peer_address;
                let node = &mut self.nodes[index];
                node.view.roster_mut().record_heartbeat(now, sender);
                let Some(mut cursor) = question else {
                    return;
                };
                node.view.publish_state(now, &node.entry, &self.upstreams);
                for _ in 0..PAGES_MAX {
                    let node = &self.nodes[index];
                    let page = node.view.news_after(cursor, PAGE_BYTES);
                    let complete = page.complete;
                    cursor = page.next_cursor(cursor);
                    let news = Datagram::News(node.entry.clone(), page);
                    self.send(index, to, news);
                    if complete {
                        return;
                    }
                }
            }
            Datagram::News(sender, page) => {
                let node = &mut self.nodes[index];
                let accepted = node.view.accept_news(now, &node.entry, sender, page);
                let Some(accepted) = accepted else {
                    return;
                };
                let subject = NewsSubject::Upstream(LEAVING.to_owned());
                let mut items = accepted.items.iter();
                node.knows_gone |= items.any(|item| matches!(item, NewsItem::UpstreamGone(..)))
                    || accepted.listing.is_some_and(|all| !all.contains(&subject));
            }
        }
    }

    /// Gives the nodes other seeds before they start.
    fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        for node in &mut self.nodes {
            let log = self.rng.random_range(1..u64::MAX);
            node.view = FleetView::new(log, seeds.clone());
        }
        self.seeds = seeds;
    }

    fn restart(&mut self, index: usize) {
        let log = self.rng.random_range(10_000..u64::MAX);
        let node = &mut self.nodes[index];
        node.view = FleetView::new(log, self.seeds.clone());
        node.entry.incarnation += 1;
        node.next_report = self.now + Duration::from_millis(u64::try_from(index).unwrap() % 200);
        node.up = true;
    }

    fn live_count(&self, index: usize) -> usize {
        let now = self.start + self.now;
        self.nodes[index].view.roster().live(now).count()
    }

    /// Fewest and most other nodes that a running node of `zones` counts as alive.
    fn live_range(&self, zones: impl Fn(usize) -> bool) -> (usize, usize) {
        let running =
            (0..self.nodes.len()).filter(|index| self.nodes[*index].up && zones(index % ZONES));
        let counts: Vec<usize> = running.map(|index| self.live_count(index)).collect();
        (*counts.iter().min().unwrap(), *counts.iter().max().unwrap())
    }

    fn relays(&self) -> Vec<usize> {
        let now = self.start + self.now;
        let running = (0..self.nodes.len()).filter(|index| self.nodes[*index].up);
        running
            .filter(|index| {
                let node = &self.nodes[*index];
                node.view.is_relay(now, &node.entry)
            })
            .collect()
    }
}

/// All nodes start at once and know only three seeds.
#[test]
fn nodes_that_start_together_find_each_other_within_seconds() {
    for (count, seed) in [(6, 1), (22, 2), (100, 3), (300, 4)] {
        let mut fleet = Fleet::new(count, seed);
        fleet.run(Duration::from_secs(6));
        assert_eq!(
            fleet.live_range(|_| true),
            (count - 1, count - 1),
            "{count} nodes"
        );
        assert_eq!(fleet.relays().len(), ZONES.min(count), "{count} nodes");
    }
}

/// Nodes that all start at once, as after a loss of power: with their seeds, with one seed
/// left, and with a twentieth of the datagrams lost.
#[test]
fn nodes_that_start_at_the_same_moment_find_each_other_within_two_seconds() {
    for (count, lost_seeds, loss) in [
        (3, 0, 0.01),
        (40, 0, 0.01),
        (300, 0, 0.01),
        (40, 2, 0.01),
        (300, 2, 0.01),
        (40, 0, 0.05),
        (300, 1, 0.05),
    ] {
        for seed in 0..3 {
            let mut fleet = Fleet::new(count, 60 + seed);
            fleet.loss = loss;
            if count <= 3 {
                fleet.set_seeds(vec![address(0), address(1)]);
            }
            for lost in &[3, 5][..lost_seeds] {
                fleet.nodes[*lost].up = false;
            }
            let time = fleet.time_until_whole();
            assert!(
                time <= START_BOUND,
                "{count} nodes, {lost_seeds} seeds lost, {loss} of datagrams, seed {seed}: {time:?}"
            );
        }
    }
}

/// The same with no seed at all, or only stale ones: nodes find each other by the rows that
/// they write to the store, without a flood of calls.
#[test]
fn nodes_that_start_at_the_same_moment_without_seeds_find_each_other_by_their_rows() {
    for (count, seeds) in [
        (2, vec![]),
        (3, vec![]),
        (40, vec![]),
        (300, vec![]),
        (40, vec![400, 401, 402]),
        (300, vec![400, 401, 402]),
    ] {
        for seed in 0..3 {
            let mut fleet = Fleet::new(count, 70 + seed);
            fleet.store_rows = Some(BTreeMap::new());
            fleet.set_seeds(seeds.iter().copied().map(address).collect());
            let time = fleet.time_until_whole();
            assert!(
                time <= START_BOUND,
                "{count} nodes, seeds {seeds:?}, seed {seed}: {time:?}"
            );
            // Each node writes its row and lists the rows before and after that.
            assert!(fleet.store_calls <= 4 * count, "{}", fleet.store_calls);
        }
    }
}

/// Cost of a node in a quiet fleet: the messages of most nodes don't grow with the
/// fleet, and those of a relay stay within the rate for which it is made.
#[test]
fn a_nodes_messages_do_not_grow_with_the_fleet() {
    for count in [30, 100, 300, 1_000] {
        let mut fleet = Fleet::new(count, 5);
        fleet.run(Duration::from_secs(7));
        for node in &mut fleet.nodes {
            (node.sent, node.received) = (0, 0);
        }
        fleet.run(Duration::from_secs(2));
        let relays = fleet.relays();
        let others = (0..count).filter(|index| !relays.contains(index));
        let mut messages: Vec<usize> = others
            .map(|index| fleet.nodes[index].sent + fleet.nodes[index].received)
            .collect();
        messages.sort_unstable();
        let middle = messages[messages.len() / 2];
        // Five relays and one answer, ten times a second, for two seconds.
        assert!(middle <= 140, "{count} nodes: {middle} messages");
        let busiest = relays.iter().map(|index| fleet.nodes[*index].received);
        let busiest = busiest.max().unwrap();
        // 1,000 reports a second up to 400 nodes, then 2.5 a second from each node.
        let limit = 2 * (1_000 + 3 * count);
        assert!(busiest <= limit, "{count} nodes: {busiest} at a relay");
    }
}

/// The relays and most other nodes are lost at once; the rest goes on.
#[test]
fn the_rest_of_a_fleet_agrees_on_new_relays_when_most_nodes_are_lost() {
    for seed in 0..9 {
        let mut fleet = Fleet::new(200, 10 + seed);
        fleet.run(Duration::from_secs(8));
        for relay in fleet.relays() {
            fleet.nodes[relay].up = false;
        }
        for index in 0..200 {
            if fleet.rng.random_bool(0.6) {
                fleet.nodes[index].up = false;
            }
        }
        let rest = fleet.nodes.iter().filter(|node| node.up).count();
        fleet.run(Duration::from_secs(15));
        assert_eq!(
            fleet.live_range(|_| true),
            (rest - 1, rest - 1),
            "seed {seed}"
        );
    }
}

/// All processes restart within a second, some seeds are gone.
#[test]
fn nodes_that_restart_together_find_each_other_through_one_seed() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(120, 20 + seed);
        fleet.run(Duration::from_secs(5));
        for index in 0..120 {
            fleet.restart(index);
        }
        for lost in [3, 5] {
            fleet.nodes[lost].up = false;
        }
        fleet.run(Duration::from_secs(8));
        assert_eq!(fleet.live_range(|_| true), (117, 117), "seed {seed}");
    }
}

/// A zone that is cut off keeps together, and the fleet is whole again after the cut.
#[test]
fn a_zone_that_was_cut_off_comes_back() {
    let mut fleet = Fleet::new(100, 30);
    fleet.loss = 0.03;
    fleet.run(Duration::from_secs(8));
    fleet.cut_zone = Some(2);
    fleet.run(Duration::from_secs(12));
    assert_eq!(fleet.live_range(|zone| zone == 2), (19, 19));
    assert_eq!(fleet.live_range(|zone| zone != 2), (79, 79));
    fleet.cut_zone = None;
    fleet.run(Duration::from_secs(8));
    let (fewest, _) = fleet.live_range(|_| true);
    assert_eq!(fewest, 99);
}

/// A dead node is forgotten although the relays tell each other of their nodes.
#[test]
fn a_dead_node_does_not_live_on_in_what_relays_tell_each_other() {
    let mut fleet = Fleet::new(60, 40);
    fleet.run(Duration::from_secs(8));
    fleet.nodes[29].up = false;
    fleet.run(Duration::from_secs(4));
    let now = fleet.start + fleet.now;
    for node in fleet.nodes.iter().filter(|node| node.up) {
        assert!(
            !node.view.roster().is_alive(now, "node-0029"),
            "{}",
            node.entry.node
        );
    }
}

/// A relay that has just started learns its upstreams from the store between two
/// answers. The second answer must hold them, or its reader would take them for gone.
#[test]
fn an_answer_holds_upstreams_that_were_learnt_just_before() {
    let now = Instant::now();
    let mut view = FleetView::new(1, Vec::new());
    let own = entry(0, 1);
    let mut upstreams = UpstreamTable::default();
    view.publish_state(now, &own, &upstreams);
    upstreams.upsert(upstream("engine", 7));
    view.publish_state(now + Duration::from_millis(1), &own, &upstreams);
    let page = view.news_after(NewsCursor::default(), PAGE_BYTES);
    assert_eq!(page.items.len(), 2, "{page:?}");
}

/// An upstream that leaves is known to be gone by the readers of every relay that knows
/// it.
#[test]
fn the_departure_of_an_upstream_is_in_the_log() {
    let now = Instant::now();
    let mut view = FleetView::new(1, Vec::new());
    let own = entry(0, 1);
    let mut upstreams = UpstreamTable::default();
    upstreams.upsert(upstream("engine", 7));
    view.publish_state(now, &own, &upstreams);
    assert!(upstreams.remove_at(now, "engine", 9));
    let later = now + Duration::from_secs(1);
    view.publish_state(later, &own, &upstreams);
    let page = view.news_after(NewsCursor::default(), PAGE_BYTES);
    let gone = dispatch::NewsItem::UpstreamGone("engine".to_owned(), 9);
    assert!(page.items.contains(&gone), "{page:?}");
}

/// A node that hears of others for the first time reports at once, so that it is told their
/// loads; one that knows some waits for its turn.
#[test]
fn a_first_contact_makes_a_report_urgent() {
    let now = Instant::now();
    let mut view = FleetView::new(1, Vec::new());
    let alone = view.contact_level(now);
    assert!(!view.report_is_urgent(now, alone));
    view.roster_mut().record_listing(now, entry(1, 1));
    assert!(view.report_is_urgent(now, alone), "a row of another node");
    let listed = view.contact_level(now);
    assert!(!view.report_is_urgent(now, listed));
    view.roster_mut().record_heartbeat(now, entry(1, 1));
    assert!(view.report_is_urgent(now, listed), "its first report");
    let heard = view.contact_level(now);
    view.roster_mut().record_heartbeat(now, entry(2, 1));
    assert!(!view.report_is_urgent(now, heard));
}

/// Of two nodes that start at the same moment, both may list the rows before either has
/// written its own.
#[test]
fn rows_are_listed_again_after_the_own_one_was_written() {
    let now = Instant::now();
    let tick = Duration::from_millis(20);
    let mut rows = RowSchedule::default();
    assert!(rows.is_listing_due(now, false));
    rows.record_listing(now, false);
    assert!(!rows.is_listing_due(now + tick, false));
    rows.record_written(now + tick);
    assert!(rows.is_listing_due(now + 2 * tick, false));
    assert!(rows.is_listing_due(now + 2 * tick, true));
    rows.record_listing(now + 2 * tick, true);
    assert!(!rows.is_listing_due(now + Duration::from_secs(15), true));
    // A node that stays alone lists them ever more rarely.
    let mut listings = 0;
    for second in 1..=100 {
        let at = now + Duration::from_secs(second);
        if rows.is_listing_due(at, false) {
            rows.record_listing(at, false);
            listings += 1;
        }
    }
    assert!((6..=12).contains(&listings), "{listings}");
}

/// Half of the machines freeze in the moment in which an upstream leaves, those first that
/// the others ask. The others have to know of it in half of the two seconds after which
/// nothing more may be sent to it.
#[test]
fn a_leaving_is_learnt_in_time_although_the_first_relays_are_frozen() {
    const NODES: usize = 20;
    for frozen in 0..=NODES / 2 {
        let mut fleet = Fleet::new(NODES, u64::try_from(frozen).unwrap());
        for index in 0..300 {
            fleet
                .upstreams
                .upsert(upstream(&format!("engine-{index}"), 1));
        }
        fleet.upstreams.upsert(upstream(LEAVING, 1));
        fleet.run(Duration::from_secs(5));
        for _ in 0..frozen {
            let running = fleet.nodes.iter().filter(|node| node.up);
            let relays = select_relays(running.map(|node| &node.entry));
            let first = index_of(relays[0].peer_address);
            fleet.nodes[first].up = false;
        }
        assert!(
            fleet
                .upstreams
                .remove_at(fleet.start + fleet.now, LEAVING, 2)
        );
        for node in &mut fleet.nodes {
            node.knows_gone = false;
        }
        fleet.run(Duration::from_secs(1));
        let unaware: Vec<usize> = (0..NODES)
            .filter(|index| fleet.nodes[*index].up && !fleet.nodes[*index].knows_gone)
            .collect();
        assert!(unaware.is_empty(), "{frozen} frozen, unaware: {unaware:?}");
    }
}

/// A node that is asked while the relay is late has not heard yet that another one died. The
/// relay has told so before, and does not say it again.
#[test]
fn a_stand_in_does_not_bring_back_a_dead_node() {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let [own, relay, other_relay, dead] = [ZONES, 0, 1, 2].map(|index| entry(index, 1));
    let news = |id, dead_alive| {
        let mut log = NewsLog::new(id);
        for (entry, alive) in [(&relay, true), (&other_relay, true), (&dead, dead_alive)] {
            log.publish(start, NewsItem::Node(entry.clone(), alive));
        }
        log.page_after(NewsCursor::default(), PAGE_BYTES)
    };
    let pause = Duration::from_millis(100);
    let mut view = FleetView::new(7, Vec::new());
    view.roster_mut().record_heartbeat(start, relay.clone());
    view.plan_report(start, &own, pause, false, &mut rng);
    view.record_sent(start);
    view.accept_news(start, &own, relay.clone(), news(1, false));
    assert!(view.roster().is_alive(start, &other_relay.node));

    view.plan_report(start, &own, pause, false, &mut rng);
    view.record_sent(start);
    let late = start + Duration::from_millis(200);
    let plan = view.plan_report(late, &own, pause, false, &mut rng);
    let asked: Vec<SocketAddr> = plan
        .targets
        .iter()
        .filter(|target| target.question.is_some())
        .map(|target| target.address)
        .collect();
    assert!(asked.contains(&other_relay.peer_address), "{asked:?}");
    let accepted = view.accept_news(late, &own, other_relay.clone(), news(2, true));
    assert!(accepted.is_some());
    assert!(!view.roster().is_alive(late, &dead.node));

    // Nor does what it sends count as an answer of the relay.
    view.record_answer(other_relay.peer_address);
    let later = start + Duration::from_millis(500);
    let plan = view.plan_report(later, &own, pause, false, &mut rng);
    assert_eq!(plan.silent, Some(relay.node.clone()));
}
