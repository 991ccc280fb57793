//! The retry budget holds over all nodes together, whatever happens to them.

use std::time::{Duration, Instant};

use dispatch::{NodeRoster, RetryBudget, RetryLimit, RosterEntry};
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};

const SERVICE: &str = "models";
const WINDOW: Duration = Duration::from_secs(10);
const LIMIT: RetryLimit = RetryLimit {
    window: WINDOW,
    ratio: 0.2,
    extra_retries: 100.0,
};
/// Time between two requests that callers send to one node.
const REQUEST_PAUSE: Duration = Duration::from_millis(120);
const DAY: Duration = Duration::from_secs(40);

/// Requests and retries of a whole fleet, by their time since the start of the day.
#[derive(Debug, Default)]
struct SendRecord {
    requests: Vec<Duration>,
    retries: Vec<Duration>,
}

impl SendRecord {
    /// Number of `times` in the window that begins at `from`.
    fn count(times: &[Duration], from: Duration) -> f64 {
        let in_window = times
            .iter()
            .filter(|time| (from..from + WINDOW).contains(*time));
        f64::from(u32::try_from(in_window.count()).unwrap())
    }

    /// Asserts that every window keeps to the budget. Requests count in the window itself,
    /// the one before it or the one half a window before it, whichever has most.
    fn assert_within_budget(&self, case: &str) {
        for from in &self.retries {
            let starts = [WINDOW, WINDOW / 2, Duration::ZERO].map(|lag| from.checked_sub(lag));
            let requests = starts.into_iter().flatten();
            let requests = requests.map(|from| Self::count(&self.requests, from));
            let allowed = LIMIT.ratio * requests.fold(0.0, f64::max) + LIMIT.extra_retries;
            let retries = Self::count(&self.retries, *from);
            assert!(
                retries <= allowed,
                "{case}: {retries} retries in {WINDOW:?} from {from:?}, {allowed} allowed"
            );
        }
    }
}

/// Plays a day on which nine in ten requests need a retry from `trouble_at` on. `restarts` are
/// the times at which each node is killed and starts again.
fn play_restarts(
    restarts: &[Vec<Duration>],
    trouble_at: Duration,
    rng: &mut impl Rng,
) -> SendRecord {
    let start = Instant::now();
    let mut record = SendRecord::default();
    let nodes = restarts.len();
    for node_restarts in restarts {
        let mut budget = RetryBudget::new(start, LIMIT, rng.random());
        let mut restarts = node_restarts.iter().copied().peekable();
        let mut at = REQUEST_PAUSE.mul_f64(rng.random());
        while at < DAY {
            while let Some(restart) = restarts.next_if(|restart| *restart <= at) {
                budget = RetryBudget::new(start + restart, LIMIT, rng.random());
            }
            let now = start + at;
            budget.record_request(now, SERVICE);
            record.requests.push(at);
            let needs_retry = at >= trouble_at && rng.random_bool(0.9);
            if needs_retry && budget.take_retry(now, SERVICE, Some(nodes)).is_allowed {
                record.retries.push(at);
            }
            at += REQUEST_PAUSE.mul_f64(rng.random_range(0.5..1.5));
        }
    }
    record
}

/// Guards against the incident of 2026-12-05: each process took the whole share of its node,
/// so the fleet repeated too many sends when nodes were killed twice in ten seconds.
#[test]
fn nodes_that_restart_again_and_again_stay_within_the_budget_together() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let nodes = rng.random_range(1..=12);
        // The budget is used up soon after the trouble begins, and all nodes are killed then.
        let trouble_at = DAY.mul_f64(rng.random_range(0.0..0.5));
        let together: Vec<Duration> = (0..seed % 6)
            .map(|_| trouble_at + WINDOW.mul_f64(rng.random_range(0.2..1.2)))
            .collect();
        let restarts: Vec<Vec<Duration>> = (0..nodes)
            .map(|_| {
                let mut times = together.clone();
                for _ in 0..rng.random_range(0..4) {
                    times.push(DAY.mul_f64(rng.random()));
                }
                times.sort();
                times
            })
            .collect();
        let record = play_restarts(&restarts, trouble_at, &mut rng);
        record.assert_within_budget(&format!("seed {seed}, {nodes} nodes"));
    }
}

/// Guards against the sides of a long cut, each of which forgets the others and takes their
/// part of the budget.
#[test]
fn zones_that_lose_each_other_for_minutes_stay_within_the_budget() {
    const NODES: usize = 6;
    let start = Instant::now();
    let names: Vec<String> = (0..NODES).map(|index| format!("node-{index}")).collect();
    let is_reached = |one: usize, other: usize| one / 2 == other / 2;
    let mut rosters: Vec<NodeRoster> = (0..NODES).map(|_| NodeRoster::default()).collect();
    let mut retries = 0.0;
    for second in 0..300 {
        let now = start + Duration::from_secs(second);
        for (index, roster) in rosters.iter_mut().enumerate() {
            let others = (0..NODES).filter(|other| *other != index);
            for other in others.filter(|other| second < 5 || is_reached(index, *other)) {
                roster.record_heartbeat(now, node(&names[other]));
            }
            roster.record_whole_listing();
            roster.remove_expired(now);
            let nodes = roster.recent_fleet_size(now);
            // The retries of the last window of the cut.
            if second == 299 {
                let mut budget = RetryBudget::new(start, LIMIT, 0.0);
                while budget.take_retry(now, SERVICE, nodes).is_allowed {
                    retries += 1.0;
                }
            }
        }
    }
    assert!(retries <= LIMIT.extra_retries, "{retries}");
    assert!(retries >= LIMIT.extra_retries / 4.0, "{retries}");
}

fn node(name: &str) -> RosterEntry {
    RosterEntry {
        node: name.to_owned(),
        zone: "sault".to_owned(),
        caller_address: ([10, 0, 0, 2], 80).into(),
        peer_address: ([10, 0, 0, 2], 81).into(),
        incarnation: 1,
        ready: true,
        capacity: 250,
    }
}

/// Callers get a refusal of a request that no upstream has run only if the budget doesn't allow
/// another send in time; those that wait are served in the order in which they came.
#[test]
fn requests_wait_in_order_for_a_budget_that_is_used_up() {
    let start = Instant::now();
    let mut budget = RetryBudget::new(start, LIMIT, 0.0);
    let nodes = Some(4);
    let mut now = start + WINDOW;
    let mut taken = 0;
    while budget.take_retry(now, SERVICE, nodes).is_allowed {
        taken += 1;
    }
    assert!(taken > 2, "{taken}");
    let numbers: Vec<_> = (0..3).map(|_| budget.join_line(SERVICE)).collect();
    let before =
        |budget: &RetryBudget, index: usize| budget.waiting_before(SERVICE, numbers[index]);
    assert_eq!([0, 1, 2].map(|index| before(&budget, index)), [0, 1, 2]);
    let foreseen = |budget: &RetryBudget, now, waiting, limit| {
        budget.time_to_retry(now, SERVICE, nodes, waiting, limit)
    };
    now += WINDOW * 9 / 10;
    for waiting in 0..3 {
        let foreseen = foreseen(&budget, now, waiting, WINDOW);
        let due = WINDOW / 10;
        assert!(
            foreseen.is_some_and(|time| time >= due && time < due + Duration::from_millis(200)),
            "{foreseen:?} behind {waiting}"
        );
    }
    assert_eq!(foreseen(&budget, now, 0, WINDOW / 20), None);
    assert_eq!(foreseen(&budget, now, taken, WINDOW), None);
    budget.leave_line(SERVICE, numbers[0]);
    assert_eq!(before(&budget, 2), 1);
    assert_eq!(
        foreseen(&budget, now + WINDOW, 0, WINDOW),
        Some(Duration::ZERO)
    );
}

/// A process that has just started foresees what comes to it with time, but nothing of it
/// while it doesn't know the number of nodes.
#[test]
fn a_new_process_foresees_when_it_may_send_again() {
    let start = Instant::now();
    let mut budget = RetryBudget::new(start, LIMIT, 0.0);
    budget.record_request(start, SERVICE);
    let foreseen = |budget: &RetryBudget, nodes, waiting| {
        budget.time_to_retry(start, SERVICE, nodes, waiting, WINDOW / 2)
    };
    assert_eq!(foreseen(&budget, None, 0), None);
    let first = foreseen(&budget, Some(4), 0).expect("a retry within half a window");
    let third = foreseen(&budget, Some(4), 2).expect("a third one, too");
    assert!(
        !first.is_zero() && third > first * 2,
        "{first:?}, {third:?}"
    );
    let now = start + third;
    for _ in 0..3 {
        assert!(budget.take_retry(now, SERVICE, Some(4)).is_allowed);
    }
    assert_eq!(foreseen(&budget, Some(4), 20), None);
}
