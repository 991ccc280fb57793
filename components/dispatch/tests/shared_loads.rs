//! Load reports that relays gather: which nodes are relays, what the aggregates
//! contain, and which loads count when datagrams are lost or nodes stop reporting.

use std::time::{Duration, Instant};

use dispatch::{
    AggregateChunk, InFlightRequest, LoadTracker, MemoryShare, PrefillNotice, RelayWatch,
    ReportedLoad, RosterEntry, engine_key, find_lost_relays, select_relays,
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
        capacity: 250,
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

fn relay_names<'a>(nodes: impl Iterator<Item = &'a RosterEntry>) -> Vec<&'a str> {
    let relays = select_relays(nodes);
    relays.iter().map(|entry| entry.node.as_str()).collect()
}

#[test]
fn each_zone_has_one_relay_its_best_ready_node() {
    let mut all = [
        node("a1", "a", false),
        node("a2", "a", true),
        node("b1", "b", true),
        node("b2", "b", true),
    ];
    assert_eq!(relay_names(all.iter()), ["a2", "b1"]);
    // Every node chooses the same relays, whichever it is itself.
    assert_eq!(relay_names(all.iter().rev()), ["a2", "b1"]);

    all[3].capacity = 500;
    assert_eq!(
        relay_names(all.iter()),
        ["b2", "a2"],
        "the largest is the best"
    );
    assert_eq!(
        relay_names(all[..1].iter()),
        ["a1"],
        "a node that is not ready serves a zone that has no other"
    );
}

#[test]
fn reports_also_go_to_nodes_that_would_be_relays_if_they_were_alive() {
    let all = [
        node("a1", "a", true),
        node("a2", "a", true),
        node("b1", "b", true),
    ];
    let relays = select_relays(all[1..].iter());
    let lost = find_lost_relays(all.iter(), &relays);
    assert_eq!(lost.len(), 1);
    assert_eq!(lost[0].node, "a1");
}

#[test]
fn a_relay_that_does_not_answer_is_passed_over() {
    let mut watch = RelayWatch::default();
    let pause = Duration::from_millis(100);
    let start = Instant::now();
    assert_eq!(watch.take_silent(start, pause), None);
    watch.record_question(start, &"a".to_owned());
    watch.record_answer();
    let later = start + Duration::from_millis(400);
    watch.record_question(later, &"a".to_owned());
    assert_eq!(watch.take_silent(later, pause), None, "it answered");
    let waiting = later + Duration::from_millis(300);
    watch.record_question(waiting, &"a".to_owned());
    assert_eq!(
        watch.take_silent(waiting, pause),
        None,
        "one answer may be lost"
    );
    let silent = later + Duration::from_millis(400);
    assert_eq!(watch.take_silent(silent, pause), Some("a".to_owned()));
    assert_eq!(watch.take_silent(silent, pause), None);

    // A relay is overdue by the questions that were sent to it, and not by those planned.
    watch.record_question(silent, &"a".to_owned());
    assert!(!watch.is_overdue(silent + Duration::from_secs(1)));
    watch.record_sent(silent + Duration::from_secs(1));
    assert!(!watch.is_overdue(silent + Duration::from_millis(1_100)));
    assert!(watch.is_overdue(silent + Duration::from_millis(1_200)));
    watch.record_answer();
    assert!(!watch.is_overdue(silent + Duration::from_secs(2)));

    // The timeout of another relay begins with its own first question.
    watch.record_question(silent, &"a".to_owned());
    let next = silent + Duration::from_millis(300);
    watch.record_question(next, &"b".to_owned());
    assert_eq!(
        watch.take_silent(next + Duration::from_millis(100), pause),
        None
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

fn chunk(aggregate: u64, index: u16, count: u16, loads: Vec<ReportedLoad>) -> AggregateChunk {
    AggregateChunk {
        aggregate,
        index,
        count,
        loads,
    }
}

#[test]
fn aggregates_in_chunks_count_once_they_are_complete() {
    let now = Instant::now();
    let mut tracker = LoadTracker::default();
    start_strict_request(&mut tracker);
    tracker.record_aggregate(now, chunk(1, 0, 1, vec![strict_load(ENGINE, 7)]));
    assert_eq!(strict_at(&tracker, now), 8);

    tracker.record_aggregate(now, chunk(2, 0, 2, vec![strict_load("engine-01", 3)]));
    assert_eq!(
        strict_at(&tracker, now),
        8,
        "the first chunk does not list this engine"
    );
    tracker.record_aggregate(now, chunk(2, 1, 2, vec![strict_load(ENGINE, 9)]));
    assert_eq!(strict_at(&tracker, now), 10);
    assert_eq!(tracker.engine_load(now, "engine-01").strict, 3);

    // The last chunk of an aggregate whose first chunk was lost.
    tracker.record_aggregate(now, chunk(3, 1, 2, vec![strict_load(ENGINE, 1)]));
    assert_eq!(strict_at(&tracker, now), 10);
    // Chunks of two aggregates don't make a whole one.
    tracker.record_aggregate(now, chunk(4, 0, 2, vec![strict_load(ENGINE, 1)]));
    assert_eq!(strict_at(&tracker, now), 10);
}

/// Datagrams overtake each other.
#[test]
fn chunks_of_an_aggregate_may_arrive_in_any_order() {
    let now = Instant::now();
    let mut tracker = LoadTracker::default();
    for aggregate in 1..20 {
        let strict = u32::try_from(aggregate).unwrap();
        tracker.record_aggregate(
            now,
            chunk(aggregate, 1, 2, vec![strict_load(ENGINE, strict)]),
        );
        let other = vec![strict_load("engine-01", strict)];
        tracker.record_aggregate(now, chunk(aggregate, 0, 2, other));
        assert_eq!(strict_at(&tracker, now), strict);
        assert_eq!(tracker.engine_load(now, "engine-01").strict, strict);
    }
}

#[test]
fn reports_of_nodes_replace_an_expired_aggregate() {
    let now = Instant::now();
    let mut tracker = LoadTracker::default();
    tracker.record_aggregate(now, chunk(1, 0, 1, vec![strict_load(ENGINE, 7)]));
    let later = now + Duration::from_secs(2);
    tracker.record_peer_report(later, "b", vec![strict_load(ENGINE, 2)]);
    assert_eq!(strict_at(&tracker, later), 2);
}

#[test]
fn an_announced_prompt_counts_until_the_next_aggregate() {
    let now = Instant::now();
    let mut tracker = LoadTracker::default();
    tracker.record_aggregate(now, chunk(1, 0, 1, Vec::new()));
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
    tracker.record_aggregate(now, chunk(2, 0, 1, Vec::new()));
    assert_eq!(tracker.engine_load(now, ENGINE).running(), 0);
}
