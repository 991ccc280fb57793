//! Load reports that relays gather: which nodes are relays, what the aggregates
//! contain, and which loads count when datagrams are lost or nodes stop reporting.

use std::time::{Duration, Instant};

use dispatch::{
    InFlightRequest, LoadTracker, MemoryShare, PrefillNotice, RelaySelector, ReportedLoad,
    RosterEntry, engine_key, select_relays,
};

const ENGINE: &str = "engine-00";

fn node(name: &str, zone: &str, ready: bool) -> RosterEntry {
    RosterEntry {
        node: name.to_owned(),
        zone: zone.to_owned(),
        caller_address: ([10, 0, 0, 1], 80).into(),
        peer_address: ([10, 0, 0, 1], 81).into(),
        incarnation: 1,
        ready,
    }
}

fn strict_load(engine: &str, strict: u32) -> ReportedLoad {
    ReportedLoad {
        engine: engine_key(engine),
        strict,
        memory: 5_000 * u64::from(strict),
        ..ReportedLoad::default()
    }
}

fn start_strict_request(tracker: &mut LoadTracker) {
    let share = MemoryShare {
        engine: ENGINE.to_owned(),
        memory: 5_000,
    };
    tracker.record_start(InFlightRequest {
        memory_shares: vec![share],
        strict: true,
        event_gap: Duration::from_millis(200),
    });
}

fn strict_at(tracker: &LoadTracker, now: Instant) -> u32 {
    tracker.engine_load(now, ENGINE).strict
}

#[test]
fn each_zone_has_one_relay_and_the_own_zone_comes_first() {
    let all = [
        node("a1", "a", false),
        node("a2", "a", true),
        node("b1", "b", true),
        node("b2", "b", true),
    ];
    let relay_names = |own: usize| -> Vec<&str> {
        let others = all.iter().filter(|entry| entry.node != all[own].node);
        let relays = select_relays(&all[own], others);
        relays.iter().map(|entry| entry.node.as_str()).collect()
    };
    assert_eq!(relay_names(0), ["a2", "b1"]);
    assert_eq!(relay_names(3), ["b1", "a2"]);
    // A relay also asks another relay for the loads of the other nodes, and never
    // itself.
    assert_eq!(relay_names(1), ["b1"]);
}

#[test]
fn a_relay_that_does_not_answer_is_skipped() {
    let mut selector = RelaySelector::default();
    let start = Instant::now();
    assert_eq!(selector.relay_to_ask(start, 0), None);
    assert_eq!(selector.relay_to_ask(start, 3), Some(0));
    selector.record_answer();
    let later = start + Duration::from_millis(400);
    assert_eq!(selector.relay_to_ask(later, 3), Some(0), "it answered");
    assert_eq!(
        selector.relay_to_ask(later + Duration::from_millis(300), 3),
        Some(0)
    );
    assert_eq!(
        selector.relay_to_ask(later + Duration::from_millis(400), 3),
        Some(1)
    );
    selector.record_answer();
    assert_eq!(
        selector.relay_to_ask(later + Duration::from_millis(500), 3),
        Some(1)
    );
}

#[test]
fn aggregates_contain_all_nodes_except_the_requester() {
    let now = Instant::now();
    let mut relay = LoadTracker::default();
    start_strict_request(&mut relay);
    relay.record_peer_report(now, "b", vec![strict_load(ENGINE, 2)]);
    relay.record_peer_report(now, "c", vec![strict_load(ENGINE, 4)]);
    assert_eq!(
        relay.aggregate_excluding(now, "b"),
        [strict_load(ENGINE, 5)]
    );
    assert_eq!(
        relay.aggregate_excluding(now, "c"),
        [strict_load(ENGINE, 3)]
    );

    relay.remove_peer("c");
    assert_eq!(
        relay.aggregate_excluding(now, "b"),
        [strict_load(ENGINE, 1)]
    );
    let late = now + Duration::from_secs(2);
    assert_eq!(
        relay.aggregate_excluding(late, "d"),
        [strict_load(ENGINE, 1)]
    );
}

#[test]
fn aggregates_in_chunks_count_once_they_are_complete() {
    let now = Instant::now();
    let mut tracker = LoadTracker::default();
    start_strict_request(&mut tracker);
    tracker.record_aggregate(now, false, false, vec![strict_load(ENGINE, 7)]);
    assert_eq!(strict_at(&tracker, now), 8);

    tracker.record_aggregate(now, false, true, vec![strict_load("engine-01", 3)]);
    assert_eq!(
        strict_at(&tracker, now),
        8,
        "the first chunk does not list this engine"
    );
    tracker.record_aggregate(now, true, false, vec![strict_load(ENGINE, 9)]);
    assert_eq!(strict_at(&tracker, now), 10);
    assert_eq!(tracker.engine_load(now, "engine-01").strict, 3);

    // The last chunk of an aggregate whose first chunk was lost.
    tracker.record_aggregate(now, true, false, vec![strict_load(ENGINE, 1)]);
    assert_eq!(strict_at(&tracker, now), 10);
}

#[test]
fn reports_of_nodes_replace_an_expired_aggregate() {
    let now = Instant::now();
    let mut tracker = LoadTracker::default();
    tracker.record_aggregate(now, false, false, vec![strict_load(ENGINE, 7)]);
    let later = now + Duration::from_secs(2);
    tracker.record_peer_report(later, "b", vec![strict_load(ENGINE, 2)]);
    assert_eq!(strict_at(&tracker, later), 2);
}

#[test]
fn an_announced_prompt_counts_until_the_next_aggregate() {
    let now = Instant::now();
    let mut tracker = LoadTracker::default();
    tracker.record_aggregate(now, false, false, Vec::new());
    let notice = PrefillNotice {
        engines: vec![ENGINE.to_owned()],
        shard_time: Duration::from_millis(100),
        decode_delay: Duration::ZERO,
        memory: 200_000,
        event_gap: Duration::from_millis(800),
    };
    tracker.record_peer_prefill(now, "b", &notice);
    let load = tracker.engine_load(now, ENGINE);
    assert_eq!(
        (load.relaxed, load.unanswered, load.memory),
        (1, 1, 200_000)
    );
    tracker.record_aggregate(now, false, false, Vec::new());
    assert_eq!(tracker.engine_load(now, ENGINE).running(), 0);
}
