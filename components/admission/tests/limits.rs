//! Fleet-wide limits that nodes enforce without a shared counter.

use std::time::{Duration, Instant};

use admission::{LimitSettings, LimitTable};

const ORGANISATION: &str = "payer";
const PERIOD: Duration = Duration::from_secs(1);

fn limits() -> LimitSettings {
    LimitSettings {
        requests_per_second: 100,
        tokens_per_minute: 1_000_000_000,
        concurrent_requests: 1_000_000,
    }
}

/// Sends `demand[node]` requests a second to each node for `seconds`, with an
/// exchange of demand reports after each second. Returns the number of requests
/// admitted from second `from` on.
fn simulate(demand: &[u32], seconds: u32, from: u32) -> u32 {
    let start = Instant::now();
    let name = ORGANISATION.to_owned();
    let mut nodes: Vec<LimitTable> = demand.iter().map(|_| LimitTable::default()).collect();
    for node in &mut nodes {
        node.set(start, &name, Some(limits()));
    }
    let mut admitted = 0;
    for second in 0..seconds {
        for (node, rate) in nodes.iter_mut().zip(demand) {
            for position in 0..*rate {
                let now = start + PERIOD * second + PERIOD * position / *rate;
                let admitted_now = u32::from(node.admit(now, &name, 10).is_ok());
                admitted += if second >= from { admitted_now } else { 0 };
            }
        }
        let now = start + PERIOD * (second + 1);
        let reports: Vec<_> = nodes
            .iter()
            .map(|node| node.demand_reports(now, 8))
            .collect();
        for (position, node_reports) in reports.iter().enumerate() {
            for (other, node) in nodes.iter_mut().enumerate() {
                for report in node_reports.iter().filter(|_| other != position) {
                    node.merge_remote(now, &format!("node-{position}"), report);
                }
            }
        }
    }
    admitted
}

#[test]
fn many_nodes_together_enforce_one_limit() {
    let cases: [(&str, Vec<u32>); 4] = [
        ("all through one node", vec![500, 0, 0, 0, 0, 0, 0, 0]),
        ("evenly through all nodes", vec![100; 8]),
        (
            "unevenly through the nodes",
            vec![400, 100, 50, 10, 0, 0, 0, 200],
        ),
        ("evenly through 40 nodes", vec![20; 40]),
    ];
    for (name, demand) in cases {
        let admitted = simulate(&demand, 30, 10);
        // 100 requests a second over the 20 seconds that are counted.
        let allowed = 100 * 20;
        let ratio = f64::from(admitted) / f64::from(allowed);
        assert!(
            (0.9..=1.1).contains(&ratio),
            "{name}: admitted {admitted}, limit {allowed}"
        );
    }
}

#[test]
fn a_sudden_flood_is_limited_to_one_burst_per_node_and_the_fleet_rate() {
    let admitted = simulate(&[200; 8], 2, 0);
    // A burst of 2 seconds at 100 requests a second on each of 8 nodes, plus the
    // limit of 100 requests a second for the 2 simulated seconds. In the first
    // second, before any report, each node gets 200 requests, no more than one
    // burst; a larger flood would be admitted at the full rate of every node
    // until reports arrive.
    let bound = 8 * 2 * 100 + 2 * 100;
    assert!(admitted <= bound, "admitted {admitted}, bound {bound}");
}

#[test]
fn demand_below_the_limit_is_admitted() {
    assert_eq!(simulate(&[20, 20, 20, 20], 20, 0), 80 * 20);
}

#[test]
fn concurrency_counts_requests_in_flight_on_all_nodes() {
    let now = Instant::now();
    let name = ORGANISATION.to_owned();
    let settings = LimitSettings {
        concurrent_requests: 3,
        ..limits()
    };
    let mut here = LimitTable::default();
    let mut there = LimitTable::default();
    here.set(now, &name, Some(settings));
    there.set(now, &name, Some(settings));
    assert!(there.admit(now, &name, 1).is_ok());
    for report in there.demand_reports(now, 4) {
        here.merge_remote(now, &"node-b".to_owned(), &report);
    }
    assert!(here.admit(now, &name, 1).is_ok());
    assert!(here.admit(now, &name, 1).is_ok());
    assert!(here.admit(now, &name, 1).is_err());
    here.finish_request(&name);
    assert!(here.admit(now, &name, 1).is_ok());
    let later = now + Duration::from_mins(1);
    assert!(
        here.admit(later, &name, 1).is_ok(),
        "the report of a silent node expires"
    );
}

#[test]
fn a_refusal_returns_the_time_until_the_request_is_admitted() {
    let now = Instant::now();
    let name = ORGANISATION.to_owned();
    let mut table = LimitTable::default();
    let settings = LimitSettings {
        tokens_per_minute: 60_000,
        ..limits()
    };
    table.set(now, &name, Some(settings));
    assert!(table.admit(now, &name, 5_000).is_ok());
    let wait = table.admit(now, &name, 5_000).unwrap_err();
    assert!(wait >= Duration::from_secs(1));
    let retry_time = now + wait + Duration::from_millis(1);
    assert!(table.admit(retry_time, &name, 5_000).is_ok());
    table.set(now, &name, None);
    assert!(table.admit(retry_time, &name, 5_000_000).is_ok());
}
