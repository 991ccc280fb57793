//! State about upstreams, other nodes and the store when updates are lost, late,
//! repeated or out of order; limits on retries and crash-causing requests.

use std::{
    collections::BTreeSet,
    net::{IpAddr, SocketAddr},
    time::{Duration, Instant},
};

use dispatch::{
    CrashReport, NodeRoster, QuarantineList, RetryBudget, RetryLimit, RosterEntry, TableFreshness,
    UpstreamEntry, UpstreamState, UpstreamTable, VersionSource,
};
use proptest::prelude::{prop, proptest};
use rand::{SeedableRng, rngs::StdRng};

fn entry(id: &str, version: u64, state: UpstreamState, started_ms: u64) -> UpstreamEntry {
    UpstreamEntry {
        id: id.to_owned(),
        service: "models".to_owned(),
        address: ([10, 0, 0, id.as_bytes()[0]], 80).into(),
        zone: "duluth".to_owned(),
        slots: 16,
        state,
        started_ms: Some(started_ms),
        version,
    }
}

fn selectable_ids(table: &UpstreamTable, now: Instant) -> Vec<String> {
    let upstreams = table.selectable(now, "models", &[]);
    upstreams
        .iter()
        .map(|health| health.entry.id.clone())
        .collect()
}

#[test]
fn an_entry_that_expired_in_a_store_outage_is_selectable_for_a_grace_time() {
    let start = Instant::now();
    let mut table = UpstreamTable::default();
    let mut freshness = TableFreshness::default();
    freshness.confirm(start, 1, VersionSource::Store);
    table.upsert(entry("a", 1, UpstreamState::Ready, 1));
    freshness.record_failure(start + Duration::from_secs(1));

    let recovered = start + Duration::from_secs(5);
    freshness.confirm(recovered, 9, VersionSource::Store);
    // The removal is read 1.9 s after the store has recovered. The grace time
    // starts at the recovery, not when the removal is read.
    let removal_read = recovered + Duration::from_millis(1900);
    let grace_until = freshness.grace_until(removal_read);
    table.remove("a", grace_until);
    assert_eq!(selectable_ids(&table, removal_read), ["a"]);

    let due = recovered + Duration::from_millis(2300);
    assert_eq!(table.remove_expired(due), ["a"]);
    assert!(selectable_ids(&table, due).is_empty());
    assert_eq!(freshness.grace_until(due), None);
}

#[test]
fn an_entry_removed_without_a_store_outage_is_dropped_at_once() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    let mut freshness = TableFreshness::default();
    freshness.confirm(now, 1, VersionSource::Store);
    table.upsert(entry("a", 1, UpstreamState::Ready, 1));
    table.remove("a", freshness.grace_until(now));
    assert!(selectable_ids(&table, now).is_empty());
}

#[test]
fn a_drain_notice_of_another_node_holds_until_a_newer_directory_entry() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    table.upsert(entry("a", 4, UpstreamState::Ready, 1));

    assert!(table.record_draining("a", 7));
    assert!(selectable_ids(&table, now).is_empty());
    assert!(
        !table.record_draining("a", 7),
        "the notice is already known"
    );

    // This node's own feed lags: an entry older than the notice changes nothing.
    table.upsert(entry("a", 6, UpstreamState::Ready, 1));
    assert!(selectable_ids(&table, now).is_empty());
    table.upsert(entry("a", 8, UpstreamState::Ready, 1));
    assert_eq!(selectable_ids(&table, now), ["a"]);
    assert!(
        !table.record_draining("a", 7),
        "a late notice is older than the entry"
    );
    assert_eq!(selectable_ids(&table, now), ["a"]);
}

#[test]
fn nodes_that_know_the_same_upstreams_have_the_same_digest() {
    let (mut store_poller, mut other) = (UpstreamTable::default(), UpstreamTable::default());
    for table in [&mut store_poller, &mut other] {
        table.upsert(entry("a", 1, UpstreamState::Ready, 1));
        table.upsert(entry("b", 2, UpstreamState::Ready, 1));
    }
    assert_eq!(store_poller.digest(), other.digest());

    // The digest shows that a node missed a new, a restarted or a draining
    // upstream.
    for (missed_entry, is_entry_sent) in [
        (entry("c", 3, UpstreamState::Ready, 1), true),
        (entry("a", 4, UpstreamState::Ready, 9), true),
        (entry("b", 5, UpstreamState::Draining, 1), false),
    ] {
        store_poller.upsert(missed_entry.clone());
        assert_ne!(store_poller.digest(), other.digest(), "{missed_entry:?}");
        if is_entry_sent {
            other.upsert(missed_entry);
        } else {
            other.record_draining("b", 5);
        }
        assert_eq!(store_poller.digest(), other.digest());
    }
    // Removing an upstream that was already draining leaves the digest as it is.
    store_poller.remove("b", None);
    assert_eq!(store_poller.digest(), other.digest());
}

#[test]
fn a_restarted_upstream_with_the_same_id_has_a_clean_record() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    table.upsert(entry("a", 1, UpstreamState::Ready, 1));
    table.upsert(entry("b", 1, UpstreamState::Ready, 1));
    table.record_failure(now, "a");
    assert_eq!(selectable_ids(&table, now), ["b"]);
    table.upsert(entry("a", 2, UpstreamState::Ready, 2));
    assert_eq!(selectable_ids(&table, now), ["a", "b"]);
}

#[test]
fn an_upstream_that_fails_some_calls_is_left_out_and_tried_again() {
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
    assert_eq!(selectable_ids(&table, now), ["b", "c"]);
    now += Duration::from_secs(20);
    assert_eq!(selectable_ids(&table, now), ["a", "b", "c"]);
}

#[test]
fn an_upstream_that_becomes_slow_is_left_out_and_tried_again() {
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
    assert_eq!(selectable_ids(&table, now), ["b", "c"]);
    now += Duration::from_secs(20);
    assert_eq!(selectable_ids(&table, now), ["a", "b", "c"]);
    for id in ["a", "b", "c"] {
        table.record_slowdown(now, id, 20.0);
    }
    assert_eq!(
        selectable_ids(&table, now),
        ["a", "b", "c"],
        "all are equally slow"
    );
}

#[test]
fn all_upstreams_are_selectable_when_every_one_fails() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    for id in ["a", "b", "c"] {
        table.upsert(entry(id, 1, UpstreamState::Ready, 1));
        table.record_failure(now, id);
    }
    assert_eq!(selectable_ids(&table, now), ["a", "b", "c"]);
}

#[test]
fn a_request_is_refused_after_three_crashes() {
    let now = Instant::now();
    let mut list = QuarantineList::default();
    for upstream in ["a", "b"] {
        assert!(list.record_crash(now, &crash(1, upstream)));
    }
    assert!(
        !list.record_crash(now, &crash(1, "b")),
        "the crash is already recorded"
    );
    assert_eq!(list.time_left(now, 1, &[]), None);
    list.record_crash(now, &crash(1, "c"));
    assert!(list.time_left(now, 1, &[]).is_some());
    assert_eq!(list.time_left(now, 2, &[]), None);
    let later = now + Duration::from_mins(2);
    assert_eq!(list.time_left(later, 1, &[]), None);
}

fn crash(fingerprint: u64, upstream: &str) -> CrashReport {
    CrashReport {
        upstream: upstream.to_owned(),
        started_ms: None,
        together_with: None,
        fingerprint,
        parts: Vec::new(),
    }
}

fn retry_limit(window: Duration) -> RetryLimit {
    RetryLimit {
        window,
        ratio: 0.2,
        extra_retries: 100.0,
    }
}

#[test]
fn retries_of_all_nodes_stay_within_the_budget_of_every_window() {
    const NODES: usize = 8;
    let window = Duration::from_secs(10);
    let started = Instant::now();
    let start = started + window;
    let mut budgets: Vec<RetryBudget> = (0..NODES)
        .map(|_| RetryBudget::new(started, retry_limit(window), 0.99))
        .collect();
    let mut retries: Vec<u64> = Vec::new();
    let mut requests: Vec<u64> = Vec::new();
    for millis in 0..30_000_u64 {
        let now = start + Duration::from_millis(millis);
        let budget = &mut budgets[usize::try_from(millis).unwrap() % NODES];
        if millis % 25 == 0 {
            budget.record_request(now, "models");
            requests.push(millis);
        }
        if budget.take_retry(now, "models", Some(NODES)).is_allowed {
            retries.push(millis);
        }
    }
    for from in (0..20_000).step_by(100) {
        let count_in_window = |times: &[u64]| {
            times
                .iter()
                .filter(|time| (from..from + 10_000).contains(*time))
                .count()
        };
        let limit = 0.2 * f64::from(u32::try_from(count_in_window(&requests)).unwrap()) + 100.0;
        let used = f64::from(u32::try_from(count_in_window(&retries)).unwrap());
        assert!(
            used <= limit,
            "{used} retries from {from} ms, {limit} allowed"
        );
    }
}

/// Sixty nodes start together, and each has heard of another number of them when they have
/// run for as long as retries are counted. Those that have read the rows of the store know
/// of all.
#[test]
fn nodes_that_have_heard_of_few_others_stay_within_the_budget_together() {
    const NODES: usize = 60;
    let window = Duration::from_secs(10);
    let started = Instant::now();
    let now = started + window;
    let names: Vec<String> = (0..NODES).map(|index| format!("node-{index}")).collect();
    for read_rows in 0..=NODES {
        let mut taken = 0.0;
        for heard in 0..NODES {
            let mut roster = NodeRoster::default();
            for name in names.iter().take(heard) {
                roster.record_heartbeat(now, node(name, 1, true));
            }
            if heard < read_rows {
                for name in names.iter().take(NODES - 1) {
                    roster.record_listing(now, node(name, 1, true));
                }
                roster.record_whole_listing();
            }
            let mut budget = RetryBudget::new(started, retry_limit(window), 0.99);
            let nodes = roster.recent_fleet_size(now);
            while budget.take_retry(now, "models", nodes).is_allowed {
                taken += 1.0;
            }
        }
        assert!(
            taken <= retry_limit(window).extra_retries,
            "{taken} with {read_rows} nodes that know all"
        );
    }
}

fn node(name: &str, incarnation: u64, ready: bool) -> RosterEntry {
    RosterEntry {
        node: name.to_owned(),
        zone: "sault".to_owned(),
        caller_address: ([10, 0, 0, 2], 80).into(),
        peer_address: ([10, 0, 0, 2], 81).into(),
        incarnation,
        ready,
        capacity: 250,
    }
}

#[test]
fn a_node_leaves_once_and_a_newer_incarnation_stays() {
    let now = Instant::now();
    let mut roster = NodeRoster::default();
    roster.record_heartbeat(now, node("a", 2, true));
    assert!(
        !roster.remove_left("a", 1),
        "a late message from an older incarnation"
    );
    assert!(roster.is_alive(now, "a"));
    assert!(roster.remove_left("a", 2));
    assert!(!roster.remove_left("a", 2), "the node is already removed");
}

#[test]
fn address_answers_contain_only_live_nodes_that_take_callers() {
    let now = Instant::now();
    let mut roster = NodeRoster::default();
    let addresses = |roster: &NodeRoster, now| {
        roster.addresses(now, None, "sault", |_| true, &mut StdRng::seed_from_u64(1))
    };
    roster.record_listing(now, node("listed", 1, true));
    assert!(
        addresses(&roster, now).is_empty(),
        "a listed node does not count as alive"
    );
    roster.record_heartbeat(now, node("heard", 1, true));
    assert_eq!(addresses(&roster, now).len(), 1);
    roster.record_heartbeat(now, node("heard", 1, false));
    assert!(addresses(&roster, now).is_empty(), "it is leaving");
    roster.record_heartbeat(now, node("heard", 2, true));
    roster.record_heartbeat(now, node("heard", 1, false));
    assert_eq!(
        addresses(&roster, now).len(),
        1,
        "a heartbeat of its old incarnation"
    );
    let later = now + Duration::from_secs(3);
    assert!(addresses(&roster, later).is_empty(), "it fell silent");
}

/// In a fleet of more nodes than an answer holds, callers are sent to the nodes of
/// their zone, and no node is left out because of its name.
#[test]
fn address_answers_of_a_large_fleet_name_the_zone_first_and_others_at_random() {
    let now = Instant::now();
    let mut roster = NodeRoster::default();
    for index in 0..300 {
        let mut entry = node(&format!("node-{index:03}"), 1, true);
        entry.zone = format!("zone-{}", index % 5);
        let [high, low] = u16::to_be_bytes(index);
        entry.caller_address = ([10, 0, high, low], 80).into();
        roster.record_heartbeat(now, entry);
    }
    let mut rng = StdRng::seed_from_u64(27);
    let mut named = BTreeSet::new();
    for _ in 0..200 {
        let answer = roster.addresses(now, None, "zone-4", |_| true, &mut rng);
        assert_eq!(answer.len(), 64);
        let index = |address: &SocketAddr| match address.ip() {
            IpAddr::V4(ip) => u16::from_be_bytes([ip.octets()[2], ip.octets()[3]]),
            IpAddr::V6(_) => unreachable!(),
        };
        let in_zone = answer.iter().filter(|address| index(address) % 5 == 4);
        assert_eq!(in_zone.count(), 60, "all nodes of the zone");
        named.extend(answer);
    }
    assert!(named.len() > 280, "{} of 300 nodes named", named.len());
}

/// What relays tell keeps a node alive until they take it back, or until it does not
/// answer. A node that hears all others itself believes only what it hears, or two
/// relays would keep a dead node alive by telling each other.
#[test]
fn a_node_counts_as_alive_as_long_as_a_relay_says_so() {
    let now = Instant::now();
    let mut roster = NodeRoster::default();
    roster.record_told(now, node("a", 2, true), true);
    assert!(roster.is_alive(now, "a"));
    roster.record_told(now, node("a", 1, true), false);
    assert!(roster.is_alive(now, "a"), "news of its old incarnation");

    roster.record_silence(now, "a");
    assert!(!roster.is_alive(now, "a"), "it did not answer");
    // A new relay needs 4 s to hear all nodes, after half a second for each silent one.
    assert!(
        !roster.is_alive(now + Duration::from_secs(9), "a"),
        "until a new relay is settled"
    );
    assert!(
        roster.is_alive(now + Duration::from_secs(11), "a"),
        "tried again"
    );

    let later = now + Duration::from_secs(11);
    roster.record_silence(later, "a");
    assert!(
        !roster.is_alive(later + Duration::from_secs(11), "a"),
        "longer each time"
    );
    roster.set_hears_all(true);
    assert!(!roster.is_alive(later, "a"));
    roster.record_heartbeat(later, node("a", 2, true));
    assert!(roster.is_alive(later, "a"));
    roster.set_hears_all(false);
    roster.retain_told(|_| false);
    assert!(!roster.is_alive(later + Duration::from_secs(2), "a"));
}

/// The entry of an upstream that says it leaves may still be ready, lapse and come
/// back; only a new process under the same id gets work again.
#[test]
fn an_upstream_that_says_it_leaves_gets_no_work_until_it_starts_again() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    table.upsert(entry("a", 1, UpstreamState::Ready, 7));
    assert!(table.record_leaving(now, "a", Some(7)));
    assert!(!table.record_leaving(now, "a", Some(7)), "known");
    table.upsert(entry("a", 2, UpstreamState::Ready, 7));
    assert!(selectable_ids(&table, now).is_empty());
    table.remove("a", None);
    table.upsert(entry("a", 3, UpstreamState::Ready, 7));
    assert!(selectable_ids(&table, now).is_empty());
    assert!(table.is_barred(now, "a"));
    assert_eq!(table.pause_left(now, "models"), None);

    table.upsert(entry("a", 4, UpstreamState::Ready, 8));
    assert_eq!(selectable_ids(&table, now), ["a"]);
    // Late news of the process that left.
    table.record_leaving(now, "a", Some(7));
    assert_eq!(selectable_ids(&table, now), ["a"]);
}

/// A request that was placed before is checked again right before it is sent.
#[test]
fn an_upstream_whose_leaving_the_store_has_told_is_barred() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    table.upsert(entry("a", 1, UpstreamState::Ready, 7));
    table.upsert(entry("b", 2, UpstreamState::Ready, 7));
    assert!(!table.is_barred(now, "a") && !table.is_barred(now, "b"));
    table.upsert(entry("a", 3, UpstreamState::Draining, 7));
    assert!(table.is_barred(now, "a"));
    assert!(table.remove_at(now, "b", 4));
    assert!(table.is_barred(now, "b"));
}

#[test]
fn an_upstream_gets_no_requests_while_it_asks_for_a_pause() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    table.upsert(entry("a", 1, UpstreamState::Ready, 1));
    table.upsert(entry("b", 2, UpstreamState::Ready, 1));
    table.record_pause(now, "a", now + Duration::from_secs(3));
    table.record_pause(now, "a", now + Duration::from_secs(1));
    assert_eq!(selectable_ids(&table, now), ["b"]);
    assert_eq!(table.pause_left(now, "models"), None);
    table.record_pause(now, "b", now + Duration::from_secs(5));
    let left = table.pause_left(now, "models");
    assert_eq!(left, Some(Duration::from_secs(3)), "the longer one holds");
    assert_eq!(selectable_ids(&table, now + Duration::from_secs(3)), ["a"]);
    assert_eq!(
        selectable_ids(&table, now + Duration::from_secs(5)),
        ["a", "b"]
    );
}

/// A directory that comes back from a copy lists upstreams as they were when the copy
/// was made.
#[test]
fn a_listing_from_a_copy_brings_back_no_upstream_that_left_since() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    table.upsert(entry("draining", 4, UpstreamState::Draining, 1));
    table.upsert(entry("gone", 5, UpstreamState::Ready, 1));
    assert!(table.remove_at(now, "gone", 6));
    assert_eq!(table.newest_version(), Some(6));
    for id in ["draining", "gone"] {
        let listed = entry(id, 100, UpstreamState::Ready, 1);
        assert!(table.is_outdated(&listed), "{id}");
    }
    let restarted = entry("draining", 100, UpstreamState::Ready, 2);
    assert!(!table.is_outdated(&restarted));
    assert!(!table.is_outdated(&entry("new", 100, UpstreamState::Ready, 1)));
}

/// News of an upstream that was removed doesn't bring it back, unless it registered
/// anew since.
#[test]
fn late_news_does_not_bring_back_a_removed_upstream() {
    let now = Instant::now();
    let mut table = UpstreamTable::default();
    table.upsert(entry("a", 5, UpstreamState::Ready, 1));
    assert!(!table.remove_at(now, "a", 4), "the entry is newer");
    assert!(table.remove_at(now, "a", 8));
    table.upsert(entry("a", 7, UpstreamState::Ready, 1));
    assert!(selectable_ids(&table, now).is_empty());
    table.upsert(entry("a", 9, UpstreamState::Ready, 2));
    assert_eq!(selectable_ids(&table, now), ["a"]);
}

#[test]
fn the_fleet_size_includes_nodes_that_fell_silent_recently() {
    let now = Instant::now();
    let mut roster = NodeRoster::default();
    for name in ["a", "b", "c"] {
        roster.record_heartbeat(now, node(name, 1, true));
    }
    assert_eq!(roster.recent_fleet_size(now), None, "there may be others");
    roster.record_whole_listing();
    assert_eq!(roster.recent_fleet_size(now), Some(4));
    assert_eq!(
        roster.recent_fleet_size(now + Duration::from_secs(5)),
        Some(4)
    );
    // They may be cut off from this node only, and retry by themselves.
    let later = now + Duration::from_mins(1);
    assert_eq!(roster.remove_expired(later).len(), 3);
    assert_eq!(roster.recent_fleet_size(later), Some(4));
    let much_later = later + Duration::from_mins(10);
    assert_eq!(roster.recent_fleet_size(much_later), Some(1));
}

#[test]
fn a_node_that_leaves_does_not_count_as_lost() {
    let now = Instant::now();
    let mut roster = NodeRoster::default();
    roster.record_whole_listing();
    roster.record_heartbeat(now, node("a", 1, true));
    let later = now + Duration::from_mins(1);
    roster.remove_expired(later);
    assert_eq!(roster.recent_fleet_size(later), Some(2));
    roster.record_heartbeat(later, node("a", 2, true));
    assert_eq!(roster.recent_fleet_size(later), Some(2), "it counts once");
    roster.remove_left("a", 2);
    let much_later = later + Duration::from_mins(1);
    assert_eq!(roster.recent_fleet_size(much_later), Some(1));
}

proptest! {
    /// Late and repeated versions from the store and other nodes never lower the
    /// known version.
    #[test]
    fn the_known_version_never_decreases(
        updates in prop::collection::vec((0_u64..20, prop::bool::ANY, prop::bool::ANY), 1..60),
    ) {
        let start = Instant::now();
        let mut freshness = TableFreshness::default();
        let mut highest = None;
        for (step, (version, store, failure)) in updates.into_iter().enumerate() {
            let now = start + Duration::from_millis(100) * u32::try_from(step).unwrap();
            if failure {
                freshness.record_failure(now);
                continue;
            }
            let source = if store { VersionSource::Store } else { VersionSource::Peer };
            let is_newer = freshness.confirm(now, version, source);
            assert_eq!(is_newer, highest.is_none_or(|known| known < version));
            highest = highest.max(Some(version));
            assert_eq!(freshness.version(), highest);
        }
    }
}

/// A node of a newer version sends what this one can't read. It lives all the same.
#[test]
fn a_node_whose_datagrams_are_not_read_is_not_dead() {
    let start = Instant::now();
    let mut roster = NodeRoster::default();
    let newer = node("a", 2, true);
    roster.record_heartbeat(start, newer.clone());
    let later = start + Duration::from_secs(100);
    assert!(!roster.is_alive(later, "a"));
    assert!(roster.record_contact(later, newer.peer_address));
    assert!(roster.is_alive(later, "a"));
    assert!(roster.remove_expired(later).is_empty());
    assert!(!roster.record_contact(later, ([10, 9, 9, 9], 9).into()));
}
