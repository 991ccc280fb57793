//! Refusals on arrival, with old news of the lines at other nodes.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use admission::{
    EntryId, LengthClass, LineEntry, LineNews, LinePace, LineStatus, ReturnSchedule, WaitingLine,
    class_number,
};

const STEP: Duration = Duration::from_millis(10);
const NODES: usize = 30;
const ENGINES: usize = 20;
/// Engine time of each request.
const WORK: Duration = Duration::from_secs(1);
/// Time after its arrival by which a request must have started.
const START_LIMIT: Duration = Duration::from_secs(4);
const SERVICE: u32 = 7;

fn entry(line: &mut WaitingLine, arrived: Instant) -> LineEntry {
    LineEntry {
        organisation: line.intern(None),
        priority: 0,
        class: LengthClass::Long,
        cost: 1_000,
        engine_time: WORK,
        goal_start: arrived + START_LIMIT,
        deadline_start: arrived + START_LIMIT,
        bytes: 1_000,
    }
}

#[derive(Debug, Default)]
struct Tally {
    started: u32,
    refused: u32,
    expired: u32,
}

/// Plays 20 s of `per_second` long requests that reach the nodes in turn. Every 100 ms
/// each node gets the sums of the others' lines as they were 100 to 500 ms before.
fn play_nodes(per_second: u32) -> Tally {
    let start = Instant::now();
    let mut lines: Vec<WaitingLine> = (0..NODES).map(|_| WaitingLine::default()).collect();
    let mut returns: Vec<ReturnSchedule> = (0..NODES).map(|_| ReturnSchedule::default()).collect();
    let mut news: Vec<LineNews<usize>> = (0..NODES).map(|_| LineNews::default()).collect();
    let mut told: VecDeque<Vec<LineStatus>> = VecDeque::new();
    let mut arrivals: HashMap<(usize, EntryId), Instant> = HashMap::new();
    let mut busy_until: Vec<Duration> = Vec::new();
    let mut tally = Tally::default();
    let mut sent = 0;
    let mut order: u64 = 1;
    for step in 0..2_000_u32 {
        let time = STEP * step;
        let now = start + time;
        if step % 10 == 0 {
            told.push_front(lines.iter().map(|line| status(line, now)).collect());
            told.truncate(6);
            let mut relay: LineNews<usize> = LineNews::default();
            for node in 0..NODES {
                // Between 100 and 500 ms old, another age for each node and time.
                let age = 1 + (node + step as usize / 10) % 5;
                if let Some(status) = told.get(age).map(|statuses| statuses[node]) {
                    relay.record_report(now, node, vec![status]);
                }
            }
            for (node, news) in news.iter_mut().enumerate() {
                let (age, sums) = relay.sums_excluding(now, &node, &[]);
                news.record_sums(now, age, sums);
            }
        }
        busy_until.retain(|until| *until > time);
        // Nodes look for room in another order each time.
        order = order
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let first = (order >> 33) as usize;
        for turn in 0..NODES {
            let node = (first + turn * 7) % NODES;
            while lines[node].expire(now).is_some() {
                tally.expired += 1;
            }
            if busy_until.len() < ENGINES
                && let Some(id) = lines[node].next_in_order(now, 1).first().copied()
            {
                lines[node].take_to_start(now, id).unwrap();
                arrivals.remove(&(node, id));
                busy_until.push(time + WORK);
                tally.started += 1;
            }
        }
        while sent < per_second * step / 100 {
            let node = sent as usize * 13 % NODES;
            sent += 1;
            let line = &mut lines[node];
            let entry = entry(line, now);
            if line.is_empty() && busy_until.len() < ENGINES {
                busy_until.push(time + WORK);
                tally.started += 1;
                continue;
            }
            let others = news[node].others(now, SERVICE, LengthClass::Long);
            let others = others.map_or(LinePace::default(), |(status, _)| status.pace());
            let own = line.pace_ahead(now, &entry);
            if returns[node]
                .check(now, &entry, own, own.with(others))
                .is_err()
            {
                tally.refused += 1;
                continue;
            }
            let id = line.push(now, entry);
            arrivals.insert((node, id), now);
        }
    }
    tally
}

fn status(line: &WaitingLine, now: Instant) -> LineStatus {
    let work = line.waiting_work(LengthClass::Long);
    let pace = line.started_a_second(now, LengthClass::Long);
    LineStatus {
        service: SERVICE,
        class: class_number(LengthClass::Long),
        count: u32::try_from(work.count).unwrap(),
        engine_ms: u32::try_from(work.engine_time.as_millis()).unwrap(),
        pace_ms: u32::try_from(pace.as_millis()).unwrap(),
    }
}

/// Load: thrice as many long requests as there is room for, at 30 nodes that know each
/// other's lines of 100 to 500 ms ago.
#[test]
fn requests_whose_turn_comes_too_late_are_refused_when_they_arrive() {
    let tally = play_nodes(60);
    let unserved = tally.refused + tally.expired;
    let held = f64::from(tally.expired) / f64::from(unserved);
    assert!(held <= 0.1, "held to the deadline for nothing: {tally:?}");
    // Twenty engines run 20 requests a second, for 20 s.
    assert!(tally.started >= 380, "room is left empty: {tally:?}");
}

/// Load: nine tenths of the room, at the same nodes.
#[test]
fn nobody_is_refused_while_there_is_room() {
    let tally = play_nodes(18);
    assert_eq!((tally.refused, tally.expired), (0, 0), "{tally:?}");
}

#[test]
fn news_of_lines_expires_and_leaves_out_the_asker() {
    let now = Instant::now();
    let mut news: LineNews<&str> = LineNews::default();
    let line = |engine_ms| LineStatus {
        service: SERVICE,
        class: class_number(LengthClass::Short),
        count: 1,
        engine_ms,
        pace_ms: 10,
    };
    let later = now + Duration::from_millis(400);
    news.record_report(now, "a", vec![line(100)]);
    news.record_report(later, "b", vec![line(200)]);
    let (age, sums) = news.sums_excluding(later, &"b", &[line(1)]);
    assert_eq!(age, Duration::from_millis(400));
    assert_eq!(
        sums.first().map(|sum| (sum.count, sum.engine_ms)),
        Some((2, 101))
    );
    let expired = now + Duration::from_millis(1_501);
    let (_, sums) = news.sums_excluding(expired, &"c", &[]);
    assert_eq!(sums.first().map(|sum| sum.engine_ms), Some(200));
    news.record_sums(now, Duration::from_millis(500), vec![line(100)]);
    let known = |at| news.others(at, SERVICE, LengthClass::Short);
    assert!(known(now + Duration::from_secs(1)).is_some());
    assert!(known(now + Duration::from_millis(1_001)).is_none());
}

/// Load: callers that are refused together and return when they are told.
#[test]
fn refused_callers_return_in_the_order_in_which_they_came() {
    let now = Instant::now();
    let mut line = WaitingLine::default();
    let entry = entry(&mut line, now);
    let ahead = LinePace {
        waiting: Duration::from_secs(50),
        started_a_second: Duration::from_secs(10),
    };
    let mut returns = ReturnSchedule::default();
    let mut last = Duration::ZERO;
    for caller in 0..10 {
        let at = now + Duration::from_millis(caller);
        let after = returns
            .check(at, &entry, LinePace::default(), ahead)
            .expect_err("its turn is too late");
        let returns_at = Duration::from_millis(caller) + after;
        assert!(
            returns_at >= Duration::from_secs(5),
            "before what is ahead now"
        );
        if caller > 0 {
            let turn = WORK / 10;
            assert!(returns_at >= last + turn, "with the caller before it");
        }
        last = returns_at;
    }
}
