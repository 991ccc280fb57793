//! Fleet-wide limits without a shared counter.

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

/// Sends `demand[node]` requests a second to each node for `seconds`; returns
/// how many were let in from second `from` on.
fn run(demand: &[u32], seconds: u32, from: u32) -> u32 {
    let start = Instant::now();
    let name = ORGANISATION.to_owned();
    let mut nodes: Vec<LimitTable> = demand.iter().map(|_| LimitTable::default()).collect();
    for node in &mut nodes {
        node.set(start, &name, Some(limits()));
    }
    let mut admitted = 0;
    for second in 0..seconds {
        for (node, rate) in nodes.iter_mut().zip(demand) {
            for place in 0..*rate {
                let now = start + PERIOD * second + PERIOD * place / *rate;
                let counted = u32::from(node.admit(now, &name, 10).is_ok());
                admitted += if second >= from { counted } else { 0 };
            }
        }
        let now = start + PERIOD * (second + 1);
        let told: Vec<_> = nodes
            .iter()
            .map(|node| node.demand_reports(now, 8))
            .collect();
        for (place, shares) in told.iter().enumerate() {
            for (other, node) in nodes.iter_mut().enumerate() {
                for share in shares.iter().filter(|_| other != place) {
                    node.merge_remote(now, &format!("node-{place}"), share);
                }
            }
        }
    }
    admitted
}

#[test]
fn many_nodes_hold_one_limit() {
    let cases: [(&str, Vec<u32>); 4] = [
        ("through one", vec![500, 0, 0, 0, 0, 0, 0, 0]),
        ("through all", vec![100; 8]),
        ("unevenly", vec![400, 100, 50, 10, 0, 0, 0, 200]),
        ("through many", vec![20; 40]),
    ];
    for (name, demand) in cases {
        let admitted = run(&demand, 30, 10);
        let allowed = 100 * 20;
        let error = f64::from(admitted) / f64::from(allowed);
        assert!(
            (0.9..=1.1).contains(&error),
            "{name}: {admitted} of {allowed}"
        );
    }
}

#[test]
fn a_sudden_flood_gets_one_burst_for_each_node() {
    let admitted = run(&[200; 8], 2, 0);
    let bound = 8 * 2 * 100 + 2 * 100;
    assert!(admitted <= bound, "{admitted} of {bound}");
}

#[test]
fn demand_below_the_limit_is_let_in() {
    assert_eq!(run(&[20, 20, 20, 20], 20, 0), 80 * 20);
}

#[test]
fn concurrency_counts_other_nodes_and_ends() {
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
    for share in there.demand_reports(now, 4) {
        here.merge_remote(now, &"node-b".to_owned(), &share);
    }
    assert!(here.admit(now, &name, 1).is_ok());
    assert!(here.admit(now, &name, 1).is_ok());
    assert!(here.admit(now, &name, 1).is_err());
    here.finish_request(&name);
    assert!(here.admit(now, &name, 1).is_ok());
    let later = now + Duration::from_mins(1);
    assert!(
        here.admit(later, &name, 1).is_ok(),
        "a silent node is forgotten"
    );
}

#[test]
fn a_refusal_says_when_the_request_would_be_let_in() {
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
    let back = now + wait + Duration::from_millis(1);
    assert!(table.admit(back, &name, 5_000).is_ok());
    table.set(now, &name, None);
    assert!(table.admit(back, &name, 5_000_000).is_ok());
}
