//! What a node may believe of upstreams, other nodes and the store, with news
//! that is lost, late, repeated or out of order.

use std::time::{Duration, Instant};

use dispatch::{
    FeedSource, NodeRoster, QuarantineList, RetryBudget, RosterEntry, TableFreshness,
    UpstreamEntry, UpstreamState, UpstreamTable,
};
use proptest::prelude::{prop, proptest};

fn entry(id: &str, version: u64, state: UpstreamState, started_ms: u64) -> UpstreamEntry {
    UpstreamEntry {
        id: id.to_owned(),
        service: "models".to_owned(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "duluth".to_owned(),
        slots: 16,
        state,
        started_ms: Some(started_ms),
        version,
    }
}

fn usable(table: &UpstreamTable, now: Instant) -> Vec<String> {
    let usable = table.selectable(now, "models", &[]);
    usable.iter().map(|view| view.entry.id.clone()).collect()
}

#[test]
fn an_entry_that_lapsed_with_the_store_counts_until_it_must_be_back() {
    let start = Instant::now();
    let mut table = UpstreamTable::default();
    let mut belief = TableFreshness::default();
    belief.confirm(start, 1, FeedSource::Store);
    table.upsert(entry("a", 1, UpstreamState::Ready, 1));
    belief.record_failure(start + Duration::from_secs(1));

    let back = start + Duration::from_secs(5);
    belief.confirm(back, 9, FeedSource::Store);
    // The removal is read 1.9 s after the store's return: what counts is the
    // return, not when the removal was read.
    let read = back + Duration::from_millis(1900);
    let lapse = belief.grace_until(read);
    table.remove("a", lapse);
    assert_eq!(usable(&table, read), ["a"]);

    let due = back + Duration::from_millis(2300);
    assert_eq!(table.remove_expired(due), ["a"]);
    assert!(usable(&table, due).is_empty());
    assert_eq!(belief.grace_until(due), None);
}

#[test]
fn an_entry_that_goes_while_the_store_is_sound_is_gone_at_once() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    let mut belief = TableFreshness::default();
    belief.confirm(now, 1, FeedSource::Store);
    table.upsert(entry("a", 1, UpstreamState::Ready, 1));
    table.remove("a", belief.grace_until(now));
    assert!(usable(&table, now).is_empty());
}

#[test]
fn news_of_another_node_stops_work_until_the_directory_says_newer() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    table.upsert(entry("a", 4, UpstreamState::Ready, 1));

    assert!(table.record_draining("a", 7));
    assert!(usable(&table, now).is_empty());
    assert!(!table.record_draining("a", 7), "repeated news is no news");

    // This node's own feed lags: an older entry says nothing new.
    table.upsert(entry("a", 6, UpstreamState::Ready, 1));
    assert!(usable(&table, now).is_empty());
    table.upsert(entry("a", 8, UpstreamState::Ready, 1));
    assert_eq!(usable(&table, now), ["a"]);
    assert!(
        !table.record_draining("a", 7),
        "late news is older than the entry"
    );
    assert_eq!(usable(&table, now), ["a"]);
}

#[test]
fn nodes_that_know_the_same_upstreams_have_the_same_digest() {
    let (mut follower, mut other) = (UpstreamTable::default(), UpstreamTable::default());
    for table in [&mut follower, &mut other] {
        table.upsert(entry("a", 1, UpstreamState::Ready, 1));
        table.upsert(entry("b", 2, UpstreamState::Ready, 1));
    }
    assert_eq!(follower.digest(), other.digest());

    // News of a joining, a new life or a leaving upstream was lost.
    for (missed, told) in [
        (entry("c", 3, UpstreamState::Ready, 1), true),
        (entry("a", 4, UpstreamState::Ready, 9), true),
        (entry("b", 5, UpstreamState::Draining, 1), false),
    ] {
        follower.upsert(missed.clone());
        assert_ne!(follower.digest(), other.digest(), "{missed:?}");
        if told {
            other.upsert(missed);
        } else {
            other.record_draining("b", 5);
        }
        assert_eq!(follower.digest(), other.digest());
    }
    // A leaving one that has gone is no news.
    follower.remove("b", None);
    assert_eq!(follower.digest(), other.digest());
}

#[test]
fn a_new_life_under_an_old_id_has_a_clean_record() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    table.upsert(entry("a", 1, UpstreamState::Ready, 1));
    table.upsert(entry("b", 1, UpstreamState::Ready, 1));
    table.record_failure(now, "a");
    assert_eq!(usable(&table, now), ["b"]);
    table.upsert(entry("a", 2, UpstreamState::Ready, 2));
    assert_eq!(usable(&table, now), ["a", "b"]);
}

#[test]
fn an_upstream_that_fails_part_of_its_calls_is_left_out_and_tried_again() {
    let mut now = Instant::now();
    let mut table = UpstreamTable::default();
    for id in ["a", "b", "c"] {
        table.upsert(entry(id, 1, UpstreamState::Ready, 1));
    }
    for _ in 0..10 {
        now += Duration::from_millis(50);
        table.record_failure(now, "a");
        table.record_success(now, "a");
        table.record_success(now, "b");
    }
    assert_eq!(usable(&table, now), ["b", "c"]);
    now += Duration::from_secs(20);
    assert_eq!(usable(&table, now), ["a", "b", "c"]);
}

#[test]
fn an_upstream_that_turns_slow_is_left_out_and_tried_again() {
    let mut now = Instant::now();
    let mut table = UpstreamTable::default();
    for id in ["a", "b", "c"] {
        table.upsert(entry(id, 1, UpstreamState::Ready, 1));
        table.record_slowdown(now, id, 1.2);
    }
    for _ in 0..3 {
        now += Duration::from_millis(300);
        table.record_slowdown(now, "a", 8.0);
    }
    assert_eq!(usable(&table, now), ["b", "c"]);
    now += Duration::from_secs(20);
    assert_eq!(usable(&table, now), ["a", "b", "c"]);
    for id in ["a", "b", "c"] {
        table.record_slowdown(now, id, 20.0);
    }
    assert_eq!(usable(&table, now), ["a", "b", "c"], "all are slow alike");
}

#[test]
fn all_upstreams_count_when_most_of_them_fail() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    for id in ["a", "b", "c"] {
        table.upsert(entry(id, 1, UpstreamState::Ready, 1));
        table.record_failure(now, id);
    }
    assert_eq!(usable(&table, now), ["a", "b", "c"]);
}

#[test]
fn a_request_is_refused_after_three_crashes_but_not_after_broken_connections() {
    let now = Instant::now();
    let mut list = QuarantineList::default();
    for upstream in ["a", "b"] {
        assert!(list.record_crash(now, 1, upstream));
    }
    assert!(
        !list.record_crash(now, 1, "b"),
        "the same crash, told again"
    );
    assert!(!list.is_quarantined(now, 1));
    // The upstream answers another request: only a connection had broken.
    list.clear_upstream(now + Duration::from_millis(300), "b");
    list.record_crash(now, 1, "c");
    assert!(!list.is_quarantined(now, 1));
    list.record_crash(now, 1, "d");
    assert!(list.is_quarantined(now, 1));
    assert!(!list.is_quarantined(now, 2));
    assert!(!list.is_quarantined(now + Duration::from_mins(2), 1));
}

#[test]
fn repeats_of_all_nodes_stay_within_the_bound_of_every_window() {
    const NODES: usize = 8;
    let start = Instant::now();
    let window = Duration::from_secs(10);
    let mut budgets: Vec<RetryBudget> = (0..NODES)
        .map(|_| RetryBudget::new(window, 0.2, 100.0))
        .collect();
    let mut repeats: Vec<u64> = Vec::new();
    let mut requests: Vec<u64> = Vec::new();
    for millis in 0..30_000_u64 {
        let now = start + Duration::from_millis(millis);
        let budget = &mut budgets[usize::try_from(millis).unwrap() % NODES];
        if millis % 25 == 0 {
            budget.record_request(now, "models");
            requests.push(millis);
        }
        if budget.take_retry(now, "models", NODES) {
            repeats.push(millis);
        }
    }
    for from in (0..20_000).step_by(100) {
        let within = |times: &[u64]| {
            times
                .iter()
                .filter(|time| (from..from + 10_000).contains(*time))
                .count()
        };
        let bound = 0.2 * f64::from(u32::try_from(within(&requests)).unwrap()) + 100.0;
        let taken = f64::from(u32::try_from(within(&repeats)).unwrap());
        assert!(
            taken <= bound,
            "{taken} repeats from {from} ms, {bound} allowed"
        );
    }
}

fn node(name: &str, life: u64, ready: bool) -> RosterEntry {
    RosterEntry {
        node: name.to_owned(),
        zone: "sault".to_owned(),
        caller_address: ([10, 0, 0, 2], 80).into(),
        peer_address: ([10, 0, 0, 2], 81).into(),
        incarnation: life,
        ready,
    }
}

#[test]
fn a_node_leaves_once_and_a_newer_life_stays() {
    let now = Instant::now();
    let mut roster = NodeRoster::default();
    roster.record_heartbeat(now, node("a", 2, true));
    assert!(
        !roster.remove_left("a", 1),
        "news of an older life came late"
    );
    assert!(roster.is_alive(now, "a"));
    assert!(roster.remove_left("a", 2));
    assert!(!roster.remove_left("a", 2), "repeated news is no news");
}

#[test]
fn address_answers_name_only_nodes_that_live_and_take_callers() {
    let now = Instant::now();
    let mut roster = NodeRoster::default();
    roster.record_listing(now, node("listed", 1, true));
    assert!(
        roster.addresses(now, None).is_empty(),
        "listed is not alive"
    );
    roster.record_heartbeat(now, node("heard", 1, true));
    assert_eq!(roster.addresses(now, None).len(), 1);
    roster.record_heartbeat(now, node("heard", 1, false));
    assert!(roster.addresses(now, None).is_empty(), "it leaves");
    roster.record_heartbeat(now, node("heard", 2, true));
    roster.record_heartbeat(now, node("heard", 1, false));
    assert_eq!(roster.addresses(now, None).len(), 1, "news of its old life");
    let later = now + Duration::from_secs(3);
    assert!(roster.addresses(later, None).is_empty(), "it fell silent");
}

#[test]
fn shares_of_the_budget_remember_nodes_that_fell_silent() {
    let now = Instant::now();
    let mut roster = NodeRoster::default();
    for name in ["a", "b", "c"] {
        roster.record_heartbeat(now, node(name, 1, true));
    }
    assert_eq!(roster.recent_fleet_size(now), 4);
    assert_eq!(roster.recent_fleet_size(now + Duration::from_secs(5)), 4);
    assert_eq!(roster.recent_fleet_size(now + Duration::from_mins(1)), 1);
}

proptest! {
    /// Whatever the store and other nodes say, late or repeated, the version
    /// in force never falls.
    #[test]
    fn a_belief_never_goes_back(
        news in prop::collection::vec((0_u64..20, prop::bool::ANY, prop::bool::ANY), 1..60),
    ) {
        let start = Instant::now();
        let mut belief = TableFreshness::default();
        let mut highest = None;
        for (step, (version, store, failure)) in news.into_iter().enumerate() {
            let now = start + Duration::from_millis(100) * u32::try_from(step).unwrap();
            if failure {
                belief.record_failure(now);
                continue;
            }
            let source = if store { FeedSource::Store } else { FeedSource::Peer };
            let newer = belief.confirm(now, version, source);
            assert_eq!(newer, highest.is_none_or(|known| known < version));
            highest = highest.max(Some(version));
            assert_eq!(belief.version(), highest);
        }
    }
}
