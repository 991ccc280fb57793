//! Loads of all nodes, gathered by relays: who they are, what they hand out,
//! and what a node believes while datagrams are lost or nodes fall silent.

use std::time::{Duration, Instant};

use dispatch::{
    InFlightRequest, LoadTracker, MemoryShare, PeerLoad, PrefillNotice, RelaySelector, RosterEntry,
    engine_key, select_relays,
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

fn writers(engine: &str, tight: u32) -> PeerLoad {
    PeerLoad {
        engine: engine_key(engine),
        strict: tight,
        memory: 5_000 * u64::from(tight),
        ..PeerLoad::default()
    }
}

fn start_writer(book: &mut LoadTracker) {
    let part = MemoryShare {
        engine: ENGINE.to_owned(),
        memory: 5_000,
    };
    book.record_start(InFlightRequest {
        memory_shares: vec![part],
        strict: true,
        event_gap: Duration::from_millis(200),
    });
}

fn tight_at(book: &LoadTracker, now: Instant) -> u32 {
    book.engine_load(now, ENGINE).strict
}

#[test]
fn each_zone_has_one_relay_and_the_own_zone_is_asked_first() {
    let all = [
        node("a1", "a", false),
        node("a2", "a", true),
        node("b1", "b", true),
        node("b2", "b", true),
    ];
    let named = |own: usize| -> Vec<&str> {
        let others = all.iter().filter(|entry| entry.node != all[own].node);
        let relays = select_relays(&all[own], others);
        relays.iter().map(|entry| entry.node.as_str()).collect()
    };
    assert_eq!(named(0), ["a2", "b1"]);
    assert_eq!(named(3), ["b1", "a2"]);
    // A relay asks the others, since it has no sums without itself.
    assert_eq!(named(1), ["b1"]);
}

#[test]
fn a_silent_relay_is_passed_over() {
    let mut choice = RelaySelector::default();
    let start = Instant::now();
    assert_eq!(choice.next_relay(start, 0), None);
    assert_eq!(choice.next_relay(start, 3), Some(0));
    choice.record_answer();
    let later = start + Duration::from_millis(400);
    assert_eq!(choice.next_relay(later, 3), Some(0), "it answered");
    assert_eq!(
        choice.next_relay(later + Duration::from_millis(300), 3),
        Some(0)
    );
    assert_eq!(
        choice.next_relay(later + Duration::from_millis(400), 3),
        Some(1)
    );
    choice.record_answer();
    assert_eq!(
        choice.next_relay(later + Duration::from_millis(500), 3),
        Some(1)
    );
}

#[test]
fn sums_hold_all_nodes_but_the_one_that_asks() {
    let now = Instant::now();
    let mut relay = LoadTracker::default();
    start_writer(&mut relay);
    relay.record_peer_report(now, "b", vec![writers(ENGINE, 2)]);
    relay.record_peer_report(now, "c", vec![writers(ENGINE, 4)]);
    assert_eq!(relay.aggregate_excluding(now, "b"), [writers(ENGINE, 5)]);
    assert_eq!(relay.aggregate_excluding(now, "c"), [writers(ENGINE, 3)]);

    relay.remove_peer("c");
    assert_eq!(relay.aggregate_excluding(now, "b"), [writers(ENGINE, 1)]);
    let late = now + Duration::from_secs(2);
    assert_eq!(relay.aggregate_excluding(late, "d"), [writers(ENGINE, 1)]);
}

#[test]
fn sums_in_parts_count_once_they_are_whole() {
    let now = Instant::now();
    let mut book = LoadTracker::default();
    start_writer(&mut book);
    book.record_aggregate(now, false, false, vec![writers(ENGINE, 7)]);
    assert_eq!(tight_at(&book, now), 8);

    book.record_aggregate(now, false, true, vec![writers("engine-01", 3)]);
    assert_eq!(tight_at(&book, now), 8, "the first part says nothing of it");
    book.record_aggregate(now, true, false, vec![writers(ENGINE, 9)]);
    assert_eq!(tight_at(&book, now), 10);
    assert_eq!(book.engine_load(now, "engine-01").strict, 3);

    // The end of a table whose start was lost.
    book.record_aggregate(now, true, false, vec![writers(ENGINE, 1)]);
    assert_eq!(tight_at(&book, now), 10);
}

#[test]
fn old_sums_give_way_to_what_nodes_report() {
    let now = Instant::now();
    let mut book = LoadTracker::default();
    book.record_aggregate(now, false, false, vec![writers(ENGINE, 7)]);
    let later = now + Duration::from_secs(2);
    book.record_peer_report(later, "b", vec![writers(ENGINE, 2)]);
    assert_eq!(tight_at(&book, later), 2);
}

#[test]
fn a_prompt_counts_until_the_next_sums() {
    let now = Instant::now();
    let mut book = LoadTracker::default();
    book.record_aggregate(now, false, false, Vec::new());
    let notice = PrefillNotice {
        engines: vec![ENGINE.to_owned()],
        shard_time: Duration::from_millis(100),
        decode_delay: Duration::ZERO,
        memory: 200_000,
        event_gap: Duration::from_millis(800),
    };
    book.record_peer_prefill(now, "b", &notice);
    let load = book.engine_load(now, ENGINE);
    assert_eq!(
        (load.relaxed, load.unanswered, load.memory),
        (1, 1, 200_000)
    );
    book.record_aggregate(now, false, false, Vec::new());
    assert_eq!(book.engine_load(now, ENGINE).running(), 0);
}
