//! Property test: under any order of events every request ends exactly once and
//! no request runs twice at a time.

mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use proptest::{
    prelude::{Just, ProptestConfig, Strategy, any, prop_oneof, proptest},
    test_runner::RngSeed,
};
use routing::{NodeScheduler, NodeSummary, RefusalReason, SchedulerAction, SchedulerEvent};
use types::{AttemptId, PlanKind, RequestId};

const ENGINES: [&str; 5] = ["e1", "e2", "e3", "e4", "e5"];
const PEERS: [&str; 2] = ["node-b", "node-c"];
const LENGTHS: [u64; 6] = [1_000, 4_000, 20_000, 200_000, 390_000, 1_000_000];

/// One step of a random event history. Numbers select requests, engines, nodes
/// and, as `kind`, the event.
#[derive(Clone, Debug)]
enum HistoryStep {
    Arrive {
        request: u8,
        length: usize,
        trial: bool,
        seconds: u64,
        forwarded: bool,
    },
    Report {
        engine: usize,
        incarnation: u64,
        used: u64,
    },
    EngineGone {
        engine: usize,
    },
    Outcome {
        request: u8,
        attempt: AttemptId,
        current: bool,
        kind: u8,
    },
    Forward {
        request: u8,
        kind: u8,
    },
    Summary {
        peer: usize,
        sequence: u64,
        pool: bool,
    },
    NodeGone {
        peer: usize,
    },
    Wait {
        millis: u64,
    },
}

fn history_step() -> impl Strategy<Value = HistoryStep> {
    prop_oneof![
        4 => (0..24u8, 0..LENGTHS.len(), any::<bool>(), 1..900u64, any::<bool>()).prop_map(
            |(request, length, trial, seconds, forwarded)| HistoryStep::Arrive {
                request, length, trial, seconds, forwarded,
            }
        ),
        3 => (0..ENGINES.len(), 1..3u64, 0..400_000u64).prop_map(
            |(engine, incarnation, used)| HistoryStep::Report { engine, incarnation, used }
        ),
        1 => (0..ENGINES.len()).prop_map(|engine| HistoryStep::EngineGone { engine }),
        6 => (0..24u8, 1..4u32, any::<bool>(), 0..6u8).prop_map(
            |(request, attempt, current, kind)| HistoryStep::Outcome {
                request, attempt, current, kind,
            }
        ),
        2 => (0..24u8, 0..4u8).prop_map(
            |(request, kind)| HistoryStep::Forward { request, kind }
        ),
        2 => (0..PEERS.len(), 1..9u64, any::<bool>()).prop_map(
            |(peer, sequence, pool)| HistoryStep::Summary { peer, sequence, pool }
        ),
        1 => (0..PEERS.len()).prop_map(|peer| HistoryStep::NodeGone { peer }),
        2 => prop_oneof![Just(0u64), 1..500u64, 1_000..60_000u64]
            .prop_map(|millis| HistoryStep::Wait { millis }),
    ]
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum RequestState {
    Open,
    Running { attempt: AttemptId },
    Forwarded { node: String },
}

/// Expected state of each request, from the events sent and the actions
/// returned. Its counts are compared with the scheduler's.
#[derive(Default)]
struct RequestTracker {
    open: BTreeMap<RequestId, RequestState>,
    /// Attempts started: request, arrival of the request and attempt number.
    attempts: BTreeSet<(RequestId, u32, AttemptId)>,
    /// Number of arrivals of each request, not counting those while it was
    /// open.
    arrivals: BTreeMap<RequestId, u32>,
}

impl RequestTracker {
    fn record_arrival(&mut self, request: &RequestId) {
        if !self.open.contains_key(request) {
            *self.arrivals.entry(request.clone()).or_default() += 1;
            self.open.insert(request.clone(), RequestState::Open);
        }
    }

    fn apply(&mut self, actions: &[SchedulerAction]) {
        for action in actions {
            match action {
                SchedulerAction::Dispatch {
                    request,
                    attempt,
                    engines,
                    ..
                } => {
                    let state = self.open.get(request);
                    assert_eq!(
                        state,
                        Some(&RequestState::Open),
                        "{request} dispatched while not queued"
                    );
                    let distinct: BTreeSet<&String> = engines.iter().collect();
                    assert_eq!(distinct.len(), engines.len());
                    assert!(!engines.is_empty());
                    let arrival = self.arrivals[request];
                    assert!(self.attempts.insert((request.clone(), arrival, *attempt)));
                    let running = RequestState::Running { attempt: *attempt };
                    self.open.insert(request.clone(), running);
                }
                SchedulerAction::Forward { request, node } => {
                    assert_eq!(self.open.get(request), Some(&RequestState::Open));
                    let forwarded = RequestState::Forwarded { node: node.clone() };
                    self.open.insert(request.clone(), forwarded);
                }
                SchedulerAction::CancelAttempt {
                    request, attempt, ..
                } => {
                    let running = RequestState::Running { attempt: *attempt };
                    assert_eq!(self.open.get(request), Some(&running));
                    self.open.insert(request.clone(), RequestState::Open);
                }
                SchedulerAction::Refuse {
                    request,
                    retry_after,
                    ..
                } => {
                    let state = self.open.remove(request);
                    assert!(state.is_some(), "{request} refused while not open");
                    assert!(!matches!(state, Some(RequestState::Running { .. })));
                    assert!(*retry_after >= Duration::from_secs(1));
                }
                SchedulerAction::ChangeRole { .. } => {}
            }
        }
    }

    /// Records the end of an attempt, if `attempt` is the running one.
    fn end_attempt(&mut self, request: &RequestId, attempt: AttemptId, finished: bool) {
        let running = RequestState::Running { attempt };
        if self.open.get(request) != Some(&running) {
            return;
        }
        if finished {
            self.open.remove(request);
        } else {
            self.open.insert(request.clone(), RequestState::Open);
        }
    }
}

/// Event of an attempt, selected by `kind`: 2 finishes it, 3 and 4 end it for a
/// retry, 5 cancels the request.
fn attempt_event(request: RequestId, attempt: AttemptId, kind: u8) -> SchedulerEvent {
    match kind {
        0 => SchedulerEvent::Started {
            request,
            attempt,
            prompt_tokens: 1_000,
            cached_tokens: 512,
        },
        1 => SchedulerEvent::FirstToken { request, attempt },
        2 => SchedulerEvent::Finished {
            request,
            attempt,
            output_tokens: 50,
        },
        3 => SchedulerEvent::Failed {
            request,
            attempt,
            delivered: 7,
            retryable: true,
        },
        4 => SchedulerEvent::GangReservationRefused {
            request,
            attempt,
            engine: "e2".to_owned(),
        },
        _ => SchedulerEvent::Cancelled { request },
    }
}

fn peer_summary(peer: usize, sequence: u64, pool: bool) -> NodeSummary {
    let mut source = NodeScheduler::new(
        PEERS[peer].to_owned(),
        "sault".to_owned(),
        routing::SchedulerSettings::default(),
    );
    let now = Instant::now();
    if pool {
        let mut report = support::report(&format!("p{peer}"));
        report.kv_used = 1_000;
        source.handle(now, SchedulerEvent::EngineReported(report));
    }
    let mut summary = source.summary(now);
    summary.sequence = sequence;
    summary
}

fn run_history(steps: &[HistoryStep]) {
    let mut now = Instant::now();
    let mut scheduler = support::scheduler();
    let mut tracker = RequestTracker::default();
    for step in steps {
        let event = match step {
            HistoryStep::Arrive {
                request,
                length,
                trial,
                seconds,
                forwarded,
            } => {
                let request = format!("r{request}");
                let mut job = support::job(now, &request, LENGTHS[*length]);
                if *trial {
                    job.plan = PlanKind::Trial;
                    "guest".clone_into(&mut job.organisation);
                }
                job.deadline = now + Duration::from_secs(*seconds);
                tracker.record_arrival(&request);
                let via = forwarded.then(|| PEERS[0].to_owned());
                SchedulerEvent::Arrived { job, via }
            }
            HistoryStep::Report {
                engine,
                incarnation,
                used,
            } => {
                let mut report = support::report(ENGINES[*engine]);
                report.profile.incarnation = *incarnation;
                report.kv_used = *used;
                report.age = Duration::from_millis(*used % 1_000);
                SchedulerEvent::EngineReported(report)
            }
            HistoryStep::EngineGone { engine } => SchedulerEvent::EngineGone {
                engine: ENGINES[*engine].to_owned(),
            },
            HistoryStep::Outcome {
                request,
                attempt,
                current,
                kind,
            } => {
                let request = format!("r{request}");
                let attempt = match tracker.open.get(&request) {
                    Some(RequestState::Running { attempt }) if *current => *attempt,
                    _ => *attempt,
                };
                match kind {
                    2 => tracker.end_attempt(&request, attempt, true),
                    3 | 4 => tracker.end_attempt(&request, attempt, false),
                    5 => cancel(&mut tracker, &mut scheduler, now, &request),
                    _ => {}
                }
                attempt_event(request, attempt, *kind)
            }
            HistoryStep::Forward { request, kind } => {
                let request = format!("r{request}");
                let node = match tracker.open.get(&request) {
                    Some(RequestState::Forwarded { node }) => {
                        let node = node.clone();
                        if *kind == 2 {
                            tracker.open.remove(&request);
                        } else if *kind < 2 {
                            tracker.open.insert(request.clone(), RequestState::Open);
                        }
                        node
                    }
                    _ => PEERS[1].to_owned(),
                };
                forward_event(request, node, *kind)
            }
            HistoryStep::Summary {
                peer,
                sequence,
                pool,
            } => SchedulerEvent::SummaryReceived(peer_summary(*peer, *sequence, *pool)),
            HistoryStep::NodeGone { peer } => SchedulerEvent::NodeGone {
                node: PEERS[*peer].to_owned(),
            },
            HistoryStep::Wait { millis } => {
                now += Duration::from_millis(*millis);
                SchedulerEvent::Tick
            }
        };
        tracker.apply(&scheduler.handle(now, event));
        assert_counts_match(&tracker, &scheduler);
    }
    now += Duration::from_secs(2_000);
    tracker.apply(&scheduler.handle(now, SchedulerEvent::Tick));
    assert!(
        tracker.open.is_empty(),
        "requests that never ended: {:?}",
        tracker.open
    );
    assert_counts_match(&tracker, &scheduler);
}

/// Cancels a request and removes it from the tracker. The caller sends the event
/// again, which must have no effect.
fn cancel(
    tracker: &mut RequestTracker,
    scheduler: &mut NodeScheduler,
    now: Instant,
    request: &RequestId,
) {
    let cancelled = SchedulerEvent::Cancelled {
        request: request.clone(),
    };
    tracker.apply(&scheduler.handle(now, cancelled));
    tracker.open.remove(request);
}

/// Event of a forwarded request, selected by `kind`: 0 and 1 return it to the
/// node, 2 ends it, others name a node that it was not forwarded to.
fn forward_event(request: RequestId, node: String, kind: u8) -> SchedulerEvent {
    match kind {
        0 => SchedulerEvent::ForwardRefused {
            request,
            node,
            reason: RefusalReason::QueueFull,
            retry_after: Duration::from_secs(3),
        },
        1 => SchedulerEvent::ForwardFailed {
            request,
            node,
            delivered: 3,
        },
        2 => SchedulerEvent::ForwardFinished {
            request,
            node,
            output_tokens: 9,
        },
        _ => SchedulerEvent::ForwardRefused {
            request,
            node: "node-x".to_owned(),
            reason: RefusalReason::TooLong,
            retry_after: Duration::ZERO,
        },
    }
}

fn assert_counts_match(tracker: &RequestTracker, scheduler: &NodeScheduler) {
    let counts = scheduler.prompt_counts();
    let running = |state: &&RequestState| matches!(state, RequestState::Running { .. });
    let forwarded = |state: &&RequestState| matches!(state, RequestState::Forwarded { .. });
    let states = || tracker.open.values();
    assert_eq!(counts.running, states().filter(running).count());
    assert_eq!(counts.forwarded, states().filter(forwarded).count());
    assert_eq!(
        counts.queued + counts.running + counts.forwarded,
        tracker.open.len()
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, rng_seed: RngSeed::Fixed(4), ..ProptestConfig::default() })]

    #[test]
    fn every_request_ends_once(steps in proptest::collection::vec(history_step(), 1..200)) {
        run_history(&steps);
    }
}
