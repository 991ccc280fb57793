//! Lookup of routes by host and longest path prefix, and of organisations by API key.

use std::{hash::RandomState, sync::Arc, time::Duration};

use dispatch::{
    CallKind, DesiredState, ForwardRoute, HomeRegions, OrganisationEntry, RouteMatch, RouteTable,
    ServiceWeight,
};

fn route(name: &str, host: &str, prefix: &str, anonymous: bool) -> Arc<ForwardRoute> {
    Arc::new(ForwardRoute {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        call_kind: CallKind::Idempotent,
        time_limit: Duration::from_secs(1),
        latency_goal: Duration::from_millis(100),
        event_gap: None,
        priority: 1,
        weighted_services: vec![
            ServiceWeight {
                service: "most".to_owned(),
                weight: 9,
            },
            ServiceWeight {
                service: "few".to_owned(),
                weight: 1,
            },
        ],
        max_upstreams: 2,
        anonymous,
        homes: HomeRegions::Anywhere,
    })
}

fn table() -> RouteTable {
    RouteTable::new(DesiredState {
        version: 3,
        routes: vec![
            route("wide", "ash.example", "/a/", false),
            route("narrow", "ash.example", "/a/b/", false),
            route("open", "ash.example", "/open/", true),
        ],
        organisations: Some(vec![OrganisationEntry {
            id: "duluth".to_owned(),
            keys: vec!["key-1".to_owned()],
            priority: None,
            homes: HomeRegions::Anywhere,
        }]),
        ..DesiredState::default()
    })
}

fn find_summary(table: &RouteTable, host: &str, path: &str, key: Option<&str>) -> String {
    match table.find(host, path, key) {
        RouteMatch::NoRoute => "no route".to_owned(),
        RouteMatch::NoKey => "no key".to_owned(),
        RouteMatch::Found(route, holder) => {
            format!(
                "{} {}",
                route.name,
                holder.map_or("-", |organisation| &organisation.id)
            )
        }
    }
}

#[test]
fn the_longest_path_prefix_wins_and_a_route_that_is_not_anonymous_needs_a_key() {
    let table = table();
    for (host, path, key, expected) in [
        ("ash.example", "/a/x", Some("key-1"), "wide duluth"),
        ("ash.example", "/a/b/x", Some("key-1"), "narrow duluth"),
        ("ASH.example:80", "/a/b/", Some("key-1"), "narrow duluth"),
        ("ash.example", "/a/bc/x", Some("key-1"), "wide duluth"),
        ("ash.example", "/a", Some("key-1"), "no route"),
        ("other.example", "/a/x", Some("key-1"), "no route"),
        ("ash.example", "/a/x", None, "no key"),
        ("ash.example", "/a/x", Some("key-2"), "no key"),
        ("ash.example", "/open/x", None, "open -"),
        ("ash.example", "/open/x", Some("key-1"), "open duluth"),
    ] {
        assert_eq!(
            find_summary(&table, host, path, key),
            expected,
            "{host}{path} {key:?}"
        );
    }
}

#[test]
fn a_split_follows_its_weights_and_gives_an_attempt_the_same_service() {
    let route = route("split", "ash.example", "/", true);
    let hasher = RandomState::new();
    let few_count = (0..4000)
        .filter(|number| route.pick_service(&number.to_string(), &hasher) == Some("few"))
        .count();
    assert!(
        (200..800).contains(&few_count),
        "{few_count} of 4000 attempts went to the service with a tenth of the weight; \
         expected 200 to 799"
    );
    assert_eq!(
        route.pick_service("attempt", &hasher),
        route.pick_service("attempt", &hasher)
    );
}

#[test]
fn the_shortest_event_gap_of_a_service_is_taken_over_all_its_routes() {
    let stream_route = |millis| {
        let plain = route("stream", "ash.example", "/s/", false);
        Arc::new(ForwardRoute {
            event_gap: Some(Duration::from_millis(millis)),
            ..Arc::unwrap_or_clone(plain)
        })
    };
    let table = RouteTable::new(DesiredState {
        routes: vec![
            stream_route(500),
            stream_route(200),
            route("plain", "ash.example", "/p/", false),
        ],
        ..DesiredState::default()
    });
    let shortest = Some(Duration::from_millis(200));
    assert_eq!(table.shortest_event_gap("most"), shortest);
    assert_eq!(table.shortest_event_gap("few"), shortest);
    assert_eq!(table.shortest_event_gap("none"), None);
}

/// Callers look a host up before they choose a path, so they are sent to nodes in
/// regions that every route of the host allows.
#[test]
fn the_homes_of_a_host_are_those_that_all_its_routes_allow() {
    let bound = |prefix: &str, regions: &[&str]| {
        let homes = regions.iter().map(|region| (*region).to_owned()).collect();
        Arc::new(ForwardRoute {
            homes: HomeRegions::from_list(homes),
            ..Arc::unwrap_or_clone(route("bound", "Ash.example", prefix, false))
        })
    };
    let table = RouteTable::new(DesiredState {
        routes: vec![
            bound("/one/", &["lakes", "plains"]),
            bound("/two/", &["plains", "coast"]),
            route("free", "ash.example", "/free/", false),
            route("other", "other.example", "/", false),
        ],
        ..DesiredState::default()
    });
    let plains = HomeRegions::from_list(vec!["plains".to_owned()]);
    assert_eq!(table.host_homes("ash.example:8080"), plains);
    assert_eq!(table.host_homes("other.example"), HomeRegions::Anywhere);
    assert_eq!(table.host_homes("unknown.example"), HomeRegions::Anywhere);
}
