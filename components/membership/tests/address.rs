//! Address answers prefer the caller's zone, spread load and contain fallbacks; a drain
//! outlasts answers given before it.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use membership::{
    AddressCandidate, AddressPlanner, AddressRequest, AddressSettings, DrainAction, DrainPhase,
    DrainPlan, DrainSettings, RemainingWork,
};

fn candidate(index: usize, load: f64) -> AddressCandidate {
    AddressCandidate {
        node: format!("node-{index}"),
        zone: format!("zone-{}", index % 3),
        region: format!("region-{}", index % 6 / 3),
        address: SocketAddr::from(([10, 0, 0, 1], 8_000 + u16::try_from(index).unwrap())),
        load,
    }
}

fn request(zone: usize, organisation: usize) -> AddressRequest {
    AddressRequest {
        zone: format!("zone-{zone}"),
        region: "region-0".to_owned(),
        organisation: format!("organisation-{organisation}"),
        prompt_tokens: 0,
    }
}

fn planner(now: Instant, seed: u64) -> AddressPlanner {
    let settings = AddressSettings {
        seed,
        ..AddressSettings::default()
    };
    AddressPlanner::new(now, settings)
}

#[test]
fn an_answer_stays_in_the_zone_until_the_zone_is_full() {
    let now = Instant::now();
    let mut planner = planner(now, 1);
    let mut nodes: Vec<_> = (0..9).map(|index| candidate(index, 0.5)).collect();
    for organisation in 0..50 {
        let answer = planner.answer(now, &request(1, organisation), &nodes);
        let first = &answer.addresses[0].node;
        assert!(["node-1", "node-4", "node-7"].contains(&first.as_str()));
    }
    for index in [1, 4, 7] {
        nodes[index].load = 0.95;
    }
    for organisation in 0..50 {
        let answer = planner.answer(now, &request(1, organisation), &nodes);
        let first = &answer.addresses[0].node;
        assert!(!["node-1", "node-4", "node-7"].contains(&first.as_str()));
    }
}

#[test]
fn each_answer_has_fallbacks_one_of_them_in_another_zone() {
    let now = Instant::now();
    let mut planner = planner(now, 1);
    let nodes: Vec<_> = (0..9).map(|index| candidate(index, 0.2)).collect();
    for organisation in 0..50 {
        let answer = planner.answer(now, &request(2, organisation), &nodes);
        let node_ids: Vec<_> = answer.addresses.iter().map(|entry| &entry.node).collect();
        assert_eq!(node_ids.len(), 3);
        let zone = |name: &str| {
            let found = nodes.iter().find(|node| node.node == name).unwrap();
            found.zone.clone()
        };
        assert_ne!(zone(node_ids[0]), zone(node_ids[1]));
        assert!(node_ids[2] != node_ids[0] && node_ids[2] != node_ids[1]);
    }
    assert!(
        planner
            .answer(now, &request(0, 0), &[])
            .addresses
            .is_empty()
    );
}

/// Guards against a thundering herd: the reported loads lag, so all callers would be
/// sent to the node that last reported the lowest load.
#[test]
fn outdated_loads_do_not_send_most_callers_to_one_node() {
    // Eight nodes answer with the same outdated loads, in which node 2 looks idle.
    let now = Instant::now();
    let mut nodes: Vec<_> = (0..8).map(|index| candidate(index, 0.6)).collect();
    for node in &mut nodes {
        node.zone = "zone-0".to_owned();
    }
    nodes[2].load = 0.0;
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for seed in 0..8 {
        let mut planner = planner(now, seed);
        for caller in 0..1_000 {
            let answer = planner.answer(now, &request(0, caller % 40), &nodes);
            *counts.entry(answer.addresses[0].node.clone()).or_default() += 1;
        }
    }
    assert!(counts.values().all(|count| *count < 2_000), "{counts:?}");
    assert_eq!(counts.len(), 8);
}

#[test]
fn lifetimes_differ_and_are_bounded() {
    let now = Instant::now();
    let mut planner = planner(now, 1);
    let nodes = [candidate(0, 0.1)];
    let mut lifetimes: Vec<_> = (0..100)
        .map(|_| planner.answer(now, &request(0, 0), &nodes).valid_for)
        .collect();
    assert!(
        lifetimes
            .iter()
            .all(|lifetime| *lifetime <= Duration::from_secs(5))
    );
    assert!(
        lifetimes
            .iter()
            .all(|lifetime| *lifetime >= Duration::from_secs(3))
    );
    lifetimes.sort();
    lifetimes.dedup();
    assert!(lifetimes.len() > 90);
}

#[test]
fn an_organisation_uses_a_shard_of_a_large_zone() {
    let now = Instant::now();
    let mut planner = planner(now, 1);
    let mut nodes: Vec<_> = (0..20).map(|index| candidate(index, 0.3)).collect();
    for node in &mut nodes {
        node.zone = "zone-0".to_owned();
    }
    let mut node_ids: Vec<_> = (0..500)
        .map(|_| {
            planner.answer(now, &request(0, 7), &nodes).addresses[0]
                .node
                .clone()
        })
        .collect();
    node_ids.sort();
    node_ids.dedup();
    assert_eq!(node_ids.len(), 10);
}

#[test]
fn a_drain_outlasts_old_answers_then_finishes_its_work() {
    let begin = Instant::now();
    let mut plan = DrainPlan::new(DrainSettings::default());
    let busy = RemainingWork {
        requests: 2,
        ..RemainingWork::default()
    };
    assert!(plan.poll(begin, busy).is_empty());
    let first = plan.begin(begin);
    assert_eq!(
        first,
        [
            DrainAction::LeaveAnswers,
            DrainAction::AnnounceLeaving,
            DrainAction::HandOver
        ]
    );
    assert!(plan.begin(begin).is_empty());
    // Even when idle: 8.9 s after the start of the drain a caller may still connect
    // with an old answer.
    let late = begin + Duration::from_millis(8_900);
    assert!(plan.poll(late, RemainingWork::default()).is_empty());
    assert_eq!(plan.phase(), DrainPhase::ServingOldAnswers);
    let expired = begin + Duration::from_secs(9);
    assert_eq!(plan.poll(expired, busy), [DrainAction::StopAccepting]);
    assert!(plan.poll(expired + Duration::from_mins(5), busy).is_empty());
    let last = expired + Duration::from_mins(6);
    assert_eq!(
        plan.poll(last, RemainingWork::default()),
        [DrainAction::Exit]
    );
    assert!(plan.poll(last, busy).is_empty());
}

#[test]
fn the_drain_timeout_aborts_remaining_work() {
    let begin = Instant::now();
    let mut plan = DrainPlan::new(DrainSettings::default());
    plan.begin(begin);
    let stuck = RemainingWork {
        orders: 1,
        ..RemainingWork::default()
    };
    let limit = begin + Duration::from_mins(15);
    assert_eq!(
        plan.poll(limit, stuck),
        [
            DrainAction::StopAccepting,
            DrainAction::CutRemaining,
            DrainAction::Exit
        ]
    );
}
