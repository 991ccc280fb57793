//! Guards the judgement whether a node is cut off from upstreams, the choice of the nodes
//! that help it, and the end of a cut.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use dispatch::{
    HelperNode, NodeRoster, ProbeOutcome, ReachCheck, ReachTable, ReachVerdict, RosterEntry,
    UpstreamEntry, UpstreamState, UpstreamTable, select_sample,
};
use rand::{SeedableRng, rngs::StdRng, seq::SliceRandom};

const SERVICE: &str = "models";
const ZONES: [&str; 3] = ["duluth", "thunder-bay", "sault"];

fn address(number: usize) -> SocketAddr {
    let [_, _, high, low] = u32::try_from(number).unwrap().to_be_bytes();
    ([10, 0, high, low], 81).into()
}

fn upstream(number: usize, service: &str, state: UpstreamState) -> UpstreamEntry {
    UpstreamEntry {
        id: format!("{service}-{number}"),
        service: service.to_owned(),
        address: address(number),
        zone: ZONES[number % ZONES.len()].to_owned(),
        slots: 16,
        state,
        started_ms: None,
        version: 1,
    }
}

fn helper(number: usize, zone: &str) -> HelperNode {
    HelperNode {
        node: format!("node-{number}"),
        zone: zone.to_owned(),
        address: address(number),
        tunnels: 0,
    }
}

fn node(number: usize, ready: bool) -> RosterEntry {
    RosterEntry {
        node: format!("node-{number}"),
        zone: ZONES[number % ZONES.len()].to_owned(),
        caller_address: address(number),
        peer_address: address(number),
        incarnation: 1,
        ready,
        capacity: 250,
    }
}

/// Check in which this node fails at two upstreams.
fn failed_check() -> ReachCheck {
    let sample = ["models-1".to_owned(), "models-2".to_owned()];
    let mut check = ReachCheck::new(&sample);
    check.record_own(&sample[0], ProbeOutcome::Unknown);
    check.record_own(&sample[1], ProbeOutcome::Refused);
    check
}

/// Table of a node that is cut off, with `helpers`.
fn cut_table(now: Instant, helpers: &[HelperNode]) -> ReachTable {
    let mut table = ReachTable::default();
    begin_cut(&mut table, now, helpers);
    table
}

fn begin_cut(table: &mut ReachTable, now: Instant, helpers: &[HelperNode]) {
    let mut check = failed_check();
    for helper in helpers {
        check.record_peer(
            helper.clone(),
            &[ProbeOutcome::Unknown, ProbeOutcome::Reached],
        );
    }
    assert!(table.begin_check(now, SERVICE));
    assert_eq!(table.end_check(now, SERVICE, check), ReachVerdict::CutOff);
}

/// Number of successful probes in a row after which the cut ends.
fn probes_until_end(table: &mut ReachTable) -> usize {
    let ends = |_: &usize| table.record_probe(SERVICE, ProbeOutcome::Reached);
    (1..100).find(ends).unwrap()
}

#[test]
fn a_node_is_cut_off_only_from_what_others_reach() {
    let mut check = failed_check();
    assert_eq!(check.verdict(), ReachVerdict::Open);
    check.record_peer(
        helper(1, "sault"),
        &[ProbeOutcome::Refused, ProbeOutcome::Unknown],
    );
    assert_eq!(
        check.verdict(),
        ReachVerdict::Open,
        "a real outage is no cut"
    );
    check.record_peer(
        helper(2, "sault"),
        &[ProbeOutcome::Unknown, ProbeOutcome::Reached],
    );
    assert_eq!(check.verdict(), ReachVerdict::CutOff);

    let sample = ["models-1".to_owned(), "models-2".to_owned()];
    let mut check = ReachCheck::new(&sample);
    check.record_own(&sample[0], ProbeOutcome::Refused);
    check.record_peer(helper(1, "sault"), &[ProbeOutcome::Reached; 2]);
    assert_eq!(check.verdict(), ReachVerdict::Open, "a probe is still open");
    check.record_own(&sample[1], ProbeOutcome::Reached);
    assert_eq!(check.verdict(), ReachVerdict::InTouch, "one server is down");
}

#[test]
fn a_check_tries_upstreams_of_all_zones_that_take_work() {
    let mut entries: Vec<UpstreamEntry> = (0..12)
        .map(|number| upstream(number, SERVICE, UpstreamState::Ready))
        .collect();
    entries.push(upstream(12, SERVICE, UpstreamState::Draining));
    entries.push(upstream(13, "desk", UpstreamState::Ready));
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let failed = entries[4].id.clone();
        let sample = select_sample(entries.iter(), SERVICE, Some(&failed), &mut rng);
        assert_eq!(sample.len(), 4);
        assert_eq!(sample[0], failed);
        let of_sample = |entry: &&UpstreamEntry| sample.contains(&entry.id);
        let mut zones: Vec<&String> = entries
            .iter()
            .filter(of_sample)
            .map(|entry| &entry.zone)
            .collect();
        zones.sort();
        zones.dedup();
        assert_eq!(zones.len(), ZONES.len());
        assert!(
            entries[12..]
                .iter()
                .all(|entry| !sample.contains(&entry.id))
        );
    }
}

#[test]
fn checks_of_upstreams_that_nobody_reaches_become_rare() {
    let mut now = Instant::now();
    let mut table = ReachTable::default();
    let mut checks = 0;
    for _ in 0..6_000 {
        if table.begin_check(now, SERVICE) {
            checks += 1;
            assert!(!table.begin_check(now, SERVICE), "one runs already");
            let verdict = table.end_check(now, SERVICE, failed_check());
            assert_eq!(verdict, ReachVerdict::Unreached);
        }
        now += Duration::from_millis(10);
    }
    assert!((8..=12).contains(&checks), "{checks} checks in a minute");
    assert!(!table.is_cut_off(now, SERVICE));
}

#[test]
fn helpers_are_forgotten_unless_they_answer() {
    let start = Instant::now();
    let helpers = [helper(1, "sault"), helper(2, "sault")];
    let mut table = cut_table(start, &helpers);
    let later = start + Duration::from_secs(2);
    table.record_answer(later, SERVICE, helpers[1].clone(), &[ProbeOutcome::Reached]);
    let later = start + Duration::from_secs(4);
    let names: Vec<&str> = table
        .helpers(later, SERVICE)
        .map(|helper| &helper.node[..])
        .collect();
    assert_eq!(names, ["node-2"]);
    table.record_answer(later, SERVICE, helpers[1].clone(), &[ProbeOutcome::Unknown]);
    assert!(
        !table.is_cut_off(later, SERVICE),
        "the helper reaches nothing either"
    );
    assert!(
        !table.begin_check(later, SERVICE),
        "the end of the cut is not judged yet"
    );
    table.end_cut(SERVICE);
    assert!(table.begin_check(later, SERVICE));
}

#[test]
fn a_link_that_comes_and_goes_takes_longer_to_be_trusted() {
    let mut now = Instant::now();
    let helpers = [helper(1, "sault")];
    let mut table = cut_table(now, &helpers);
    assert!(!table.record_probe(SERVICE, ProbeOutcome::Reached));
    assert!(!table.record_probe(SERVICE, ProbeOutcome::Unknown));
    let mut needed = vec![probes_until_end(&mut table)];
    for pause in [2, 2, 2, 90] {
        now += Duration::from_secs(pause);
        begin_cut(&mut table, now, &helpers);
        needed.push(probes_until_end(&mut table));
    }
    assert_eq!(needed, [2, 4, 8, 8, 2]);
    assert!(!table.is_cut_off(now, SERVICE));
}

#[test]
fn helpers_of_other_zones_are_preferred_and_a_failed_one_is_passed_over() {
    let now = Instant::now();
    let helpers = [helper(1, "duluth"), helper(2, "sault"), helper(3, "sault")];
    let mut table = cut_table(now, &helpers);
    let mut rng = StdRng::seed_from_u64(1);
    let mut pick = |table: &mut ReachTable, excluded: &[String]| {
        let picked = table.pick_helper(now, SERVICE, "duluth", excluded, &mut rng);
        picked.map(|helper| helper.node)
    };
    for _ in 0..20 {
        assert_ne!(pick(&mut table, &[]).unwrap(), "node-1");
    }
    table.remove_helper(SERVICE, "node-2");
    assert_eq!(pick(&mut table, &[]).unwrap(), "node-3");
    let excluded = ["node-3".to_owned()];
    assert_eq!(pick(&mut table, &excluded).unwrap(), "node-1");
    table.remove_helper(SERVICE, "node-1");
    assert_eq!(pick(&mut table, &excluded), None);
}

#[test]
fn nodes_to_ask_are_ready_and_of_other_zones_first() {
    let now = Instant::now();
    let mut roster = NodeRoster::default();
    for number in 0..12 {
        roster.record_heartbeat(now, node(number, number != 4));
    }
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let asked = roster.nodes_to_ask(now, ZONES[0], &[], 8, &mut rng);
        let zones: Vec<&str> = asked.iter().map(|entry| &entry.zone[..]).collect();
        assert_eq!(asked.len(), 8);
        assert!(zones[..7].iter().all(|zone| *zone != ZONES[0]));
        assert_ne!(zones[0], zones[1]);
        assert_eq!(zones[7], ZONES[0], "neighbours come last");
        assert!(asked.iter().all(|entry| entry.ready));
        let asked: Vec<String> = asked.into_iter().map(|entry| entry.node).collect();
        let rest = roster.nodes_to_ask(now, ZONES[0], &asked, 8, &mut rng);
        assert_eq!(rest.len(), 3);
        assert!(rest.iter().all(|entry| !asked.contains(&entry.node)));
    }
}

/// Half of a large fleet is cut off, whole zones among it, and comes to the other half.
#[test]
fn half_of_a_fleet_does_not_overrun_single_helpers() {
    const NODES: usize = 382;
    const CUT_NODES: usize = NODES / 2;
    const OPEN_REQUESTS: usize = 10;
    const TUNNELS_MAX: usize = 128;
    let now = Instant::now();
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut roster = NodeRoster::default();
        (0..NODES).for_each(|number| roster.record_heartbeat(now, node(number, true)));
        // All of the first zone, and a part of the others.
        let mut order: Vec<usize> = (0..NODES).collect();
        order.shuffle(&mut rng);
        order.sort_by_key(|number| number % ZONES.len() != 0);
        let (cut, in_touch) = order.split_at(CUT_NODES);
        let mut held: BTreeMap<String, usize> = BTreeMap::new();
        for number in cut {
            let zone = ZONES[number % ZONES.len()];
            let mut helpers = Vec::new();
            let mut asked = Vec::new();
            while helpers.is_empty() {
                for entry in roster.nodes_to_ask(now, zone, &asked, 4, &mut rng) {
                    if in_touch
                        .iter()
                        .any(|other| node(*other, true).node == entry.node)
                    {
                        helpers.push(HelperNode {
                            node: entry.node.clone(),
                            zone: entry.zone,
                            address: entry.peer_address,
                            tunnels: u32::try_from(held.get(&entry.node).copied().unwrap_or(0))
                                .unwrap(),
                        });
                    }
                    asked.push(entry.node);
                }
            }
            let mut table = cut_table(now, &helpers);
            for _ in 0..OPEN_REQUESTS {
                let picked = table
                    .pick_helper(now, SERVICE, zone, &[], &mut rng)
                    .unwrap();
                *held.entry(picked.node).or_default() += 1;
            }
        }
        let busiest = held.values().max().unwrap();
        assert_eq!(held.values().sum::<usize>(), CUT_NODES * OPEN_REQUESTS);
        assert!(*busiest < TUNNELS_MAX / 2, "{busiest}");
    }
}

/// Upstreams that were passed over for the failures of a node that was cut off take its
/// requests again.
#[test]
fn failures_behind_a_cut_are_taken_back() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    for number in 0..4 {
        table.upsert(upstream(number, SERVICE, UpstreamState::Ready));
        table.upsert(upstream(number, "desk", UpstreamState::Ready));
    }
    let ids: Vec<String> = table.ids().cloned().collect();
    for id in ids.iter().filter(|id| !id.ends_with('3')) {
        (0..6).for_each(|_| table.record_failure(now, id));
    }
    assert_eq!(table.selectable(now, SERVICE, &[]).len(), 1);
    table.clear_failures(SERVICE);
    assert_eq!(table.selectable(now, SERVICE, &[]).len(), 4);
    assert_eq!(
        table.selectable(now, "desk", &[]).len(),
        1,
        "another service"
    );
}
