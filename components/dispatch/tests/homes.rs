//! Regions that requests may not leave: which zones are allowed, which upstreams are
//! left, and which nodes callers are sent to.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use dispatch::{
    HomeRegions, NodeRoster, RegionMap, RosterEntry, UpstreamEntry, UpstreamState, UpstreamTable,
};
use rand::{SeedableRng, rngs::StdRng};
use types::ZoneId;

fn regions() -> RegionMap {
    let zones = [("duluth", "lakes"), ("sault", "lakes"), ("bay", "coast")];
    let zones = zones.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    RegionMap::new(HashMap::from(zones))
}

fn homes(regions: &[&str]) -> HomeRegions {
    HomeRegions::from_list(regions.iter().map(|region| (*region).to_owned()).collect())
}

#[test]
fn a_request_is_bound_by_its_route_and_its_organisation() {
    let both = homes(&["lakes", "coast"]).intersect(&homes(&["coast", "plains"]));
    assert_eq!(both, homes(&["coast"]));
    assert_eq!(homes(&[]).intersect(&homes(&["lakes"])), homes(&["lakes"]));
    assert_eq!(homes(&["lakes"]).intersect(&homes(&[])), homes(&["lakes"]));

    let nowhere = homes(&["lakes"]).intersect(&homes(&["coast"]));
    for zone in ["duluth", "sault", "bay", "unknown"] {
        assert!(!regions().is_home(&nowhere, zone), "{zone}");
    }
}

#[test]
fn a_zone_of_unknown_region_is_no_home() {
    let regions = regions();
    assert!(regions.is_home(&homes(&["lakes"]), "duluth"));
    assert!(!regions.is_home(&homes(&["lakes"]), "bay"));
    assert!(!regions.is_home(&homes(&["lakes"]), "unknown"));
    assert!(regions.is_home(&HomeRegions::Anywhere, "unknown"));
}

fn two_regions() -> UpstreamTable {
    let mut table = UpstreamTable::default();
    for (id, zone) in [("a", "duluth"), ("b", "sault"), ("c", "bay")] {
        table.upsert(UpstreamEntry {
            id: id.to_owned(),
            service: "models".to_owned(),
            address: ([10, 0, 0, 1], 80).into(),
            zone: zone.to_owned(),
            slots: 16,
            state: UpstreamState::Ready,
            started_ms: Some(1),
            version: 1,
        });
    }
    table
}

/// The upstreams at home fail and the others are healthy: the request still doesn't
/// leave its region.
#[test]
fn failing_upstreams_at_home_are_tried_before_any_elsewhere() {
    let now = Instant::now();
    let mut table = two_regions();
    for id in ["a", "b"] {
        for _ in 0..5 {
            table.record_failure(now, id);
        }
    }
    let regions = regions();
    let lakes = homes(&["lakes"]);
    let is_home = |entry: &UpstreamEntry| regions.is_home(&lakes, &entry.zone);
    let usable = table.selectable_where(now, "models", &[], is_home);
    let ids: Vec<&str> = usable.iter().map(|health| &*health.entry.id).collect();
    assert_eq!(ids, ["a", "b"]);
    assert!(table.has_staying("models", is_home));
    assert!(!table.has_staying("models", |entry| entry.zone == "plains"));
}

fn fleet(zones: &[&str], now: Instant) -> NodeRoster {
    let mut roster = NodeRoster::default();
    for (number, zone) in zones.iter().enumerate() {
        let address = SocketAddr::from(([10, 0, 0, u8::try_from(number).unwrap()], 80));
        let entry = RosterEntry {
            node: format!("node-{number}"),
            zone: (*zone).to_owned(),
            caller_address: address,
            peer_address: address,
            incarnation: 1,
            ready: true,
            capacity: 500,
        };
        roster.record_heartbeat(now, entry);
    }
    roster
}

fn named(
    roster: &NodeRoster,
    now: Instant,
    homes: &HomeRegions,
    caller_region: Option<&str>,
) -> Vec<u8> {
    let regions = regions();
    let may_receive = |zone: &ZoneId| regions.may_receive(homes, caller_region, zone);
    let mut rng = StdRng::seed_from_u64(1);
    let own = SocketAddr::from(([10, 0, 0, 99], 80));
    let addresses = roster.addresses(now, Some(own), "duluth", may_receive, &mut rng);
    let hosts = addresses.iter().map(|address| match address {
        SocketAddr::V4(address) => address.ip().octets()[3],
        SocketAddr::V6(_) => unreachable!("all nodes have IPv4 addresses"),
    });
    let mut hosts: Vec<u8> = hosts.collect();
    hosts.sort_unstable();
    hosts
}

#[test]
fn callers_are_sent_to_nodes_at_home_or_in_their_own_region() {
    let now = Instant::now();
    let roster = fleet(&["duluth", "bay", "sault", "bay"], now);
    assert_eq!(named(&roster, now, &homes(&["lakes"]), None), [0, 2, 99]);
    assert_eq!(
        named(&roster, now, &homes(&["coast"]), Some("coast")),
        [1, 3]
    );
    let own_region: Option<&str> = Some("lakes");
    assert_eq!(named(&roster, now, &homes(&["coast"]), own_region).len(), 5);
    assert_eq!(named(&roster, now, &HomeRegions::Anywhere, None).len(), 5);
}

/// All nodes at home are gone: a caller is sent to the others, which tell it why they
/// refuse.
#[test]
fn a_caller_is_sent_elsewhere_only_when_no_node_at_home_is_up() {
    let start = Instant::now();
    let roster = fleet(&["bay"], start);
    let coast = homes(&["coast"]);
    assert_eq!(named(&roster, start, &coast, None), [0]);
    let gone = start + Duration::from_secs(10);
    assert_eq!(named(&roster, gone, &coast, None), [99]);
}

/// A node that was killed is named no longer than a moment: callers keep answers for
/// seconds.
#[test]
fn no_answer_names_a_node_that_has_been_silent_for_two_seconds() {
    let start = Instant::now();
    let mut roster = fleet(&["duluth", "sault"], start);
    let later = start + Duration::from_secs(2);
    let entry = roster.members().next().unwrap().clone();
    roster.record_heartbeat(later, entry);
    assert_eq!(named(&roster, later, &HomeRegions::Anywhere, None), [0, 99]);
}
