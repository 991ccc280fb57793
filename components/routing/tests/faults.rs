//! Behaviour of the scheduler under faults and overload.

mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use routing::{
    LimitSettings, NodeScheduler, RefusalReason, SchedulerAction, SchedulerEvent, SchedulerSettings,
};
use types::{CacheEvent, PlanKind, PromptJob};

const MINUTE: Duration = Duration::from_mins(1);

fn scheduler_with_engines(count: usize) -> NodeScheduler {
    let mut scheduler = support::scheduler();
    let now = Instant::now();
    for index in 0..count {
        let report = support::report(&format!("e{index:02}"));
        scheduler.handle(now, SchedulerEvent::EngineReported(report));
    }
    scheduler
}

/// A scheduler that guarantees no engine time to trial work.
fn scheduler_without_trial_floor(count: usize) -> NodeScheduler {
    let settings = SchedulerSettings {
        trial_floor: 0.0,
        ..SchedulerSettings::default()
    };
    let mut scheduler = NodeScheduler::new("node-a".to_owned(), "duluth".to_owned(), settings);
    for index in 0..count {
        let report = support::report(&format!("e{index:02}"));
        scheduler.handle(Instant::now(), SchedulerEvent::EngineReported(report));
    }
    scheduler
}

fn refusals(actions: &[SchedulerAction]) -> Vec<(String, RefusalReason, Duration)> {
    let found = actions.iter().filter_map(|action| match action {
        SchedulerAction::Refuse {
            request,
            reason,
            retry_after,
        } => Some((request.clone(), *reason, *retry_after)),
        _ => None,
    });
    found.collect()
}

fn started_requests(actions: &[SchedulerAction]) -> BTreeSet<String> {
    let dispatches = support::dispatches(actions);
    dispatches
        .into_iter()
        .map(|(request, ..)| request)
        .collect()
}

fn priority_of(actions: &[SchedulerAction], wanted: &str) -> Option<u32> {
    actions.iter().find_map(|action| match action {
        SchedulerAction::Dispatch {
            request, priority, ..
        } if request == wanted => Some(*priority),
        _ => None,
    })
}

/// Guards against queueing prompts whose deadline is already out of reach.
#[test]
fn unreachable_deadlines_are_refused_on_arrival() {
    let cases = [
        ("1 s for a prompt that takes over 40 s", 200_000, 1),
        ("deadline passed on arrival", 1_000, 0),
    ];
    for (name, tokens, seconds) in cases {
        let now = Instant::now();
        let mut scheduler = scheduler_with_engines(1);
        let mut job = support::job(now, "r", tokens);
        job.deadline = now + Duration::from_secs(seconds);
        let actions = support::arrive(&mut scheduler, now, job);
        let refused = refusals(&actions);
        assert_eq!(refused.len(), 1, "{name}");
        assert_eq!(refused[0].1, RefusalReason::DeadlineUnreachable, "{name}");
    }
}

#[test]
fn a_queued_prompt_is_refused_once_its_deadline_is_unreachable() {
    let now = Instant::now();
    let mut scheduler = scheduler_with_engines(1);
    let first = support::job(now, "first", 300_000);
    support::arrive(&mut scheduler, now, first);
    let mut second = support::job(now, "second", 100_000);
    second.deadline = now + Duration::from_mins(4);
    assert!(support::arrive(&mut scheduler, now, second).is_empty());
    let early = scheduler.handle(now + Duration::from_secs(200), SchedulerEvent::Tick);
    assert!(refusals(&early).is_empty());
    let late = scheduler.handle(now + Duration::from_secs(226), SchedulerEvent::Tick);
    assert_eq!(refusals(&late)[0].0, "second");
}

/// Guards against retry storms, such as when a third of the engines dies at
/// once: with every attempt failing, retries stay within the budget.
#[test]
fn retries_stay_within_the_budget() {
    let now = Instant::now();
    let mut scheduler = scheduler_with_engines(6);
    let settings = SchedulerSettings::default();
    let mut running = BTreeMap::new();
    let mut arrived = 0;
    let mut retried = 0;
    for round in 0..200u64 {
        let at = now + Duration::from_millis(round * 20);
        arrived += 1;
        let job = support::job(at, &format!("r{round}"), 1_000);
        let mut pending = support::arrive(&mut scheduler, at, job);
        while let Some((request, attempt, _)) = support::dispatches(&pending).pop() {
            retried += u32::from(running.insert(request.clone(), attempt).is_some());
            let failed = SchedulerEvent::Failed {
                request,
                attempt,
                delivered: 0,
                retryable: true,
            };
            pending = scheduler.handle(at, failed);
        }
        for index in 0..6 {
            let report = support::report(&format!("e{index:02}"));
            let later = at + Duration::from_millis(1);
            scheduler.handle(later, SchedulerEvent::EngineReported(report));
        }
    }
    let bound = settings.retry_burst + settings.retry_ratio * f64::from(arrived);
    assert!(retried > 0);
    assert!(
        f64::from(retried) <= bound,
        "{retried} retries, at most {bound} allowed"
    );
}

fn flood_job(now: Instant, case: &str, index: usize) -> PromptJob {
    let tokens = if case == "long prompts only" {
        150_000
    } else {
        3_000
    };
    let mut job = support::trial_job(now, &format!("flood-{index}"), tokens);
    if case == "many organisations" {
        job.organisation = format!("guest-{index}");
    }
    job.deadline = now + MINUTE * 20;
    job
}

/// Guards against trial floods that delay paying prompts: a paying prompt
/// starts at once, ahead of the queued trial work.
#[test]
fn trial_floods_do_not_delay_paying_work() {
    for case in [
        "one organisation",
        "many organisations",
        "long prompts only",
    ] {
        let now = Instant::now();
        let mut scheduler = scheduler_without_trial_floor(2);
        let mut trial_priorities = Vec::new();
        for index in 0..300 {
            let actions = support::arrive(&mut scheduler, now, flood_job(now, case, index));
            let started = started_requests(&actions);
            trial_priorities.extend(
                started
                    .iter()
                    .filter_map(|request| priority_of(&actions, request)),
            );
        }
        for (name, tokens) in [("short", 2_000), ("medium", 12_000), ("long", 60_000)] {
            let actions = support::arrive(&mut scheduler, now, support::job(now, name, tokens));
            let priority = priority_of(&actions, name);
            assert!(priority.is_some(), "{case}: {name} prompt was queued");
            let ahead = trial_priorities
                .iter()
                .filter(|other| Some(**other) < priority)
                .count();
            assert!(ahead <= 2, "{case}: {ahead} trial prompts ahead of {name}");
        }
    }
}

/// Guards against trial floods that reach this node through another one.
#[test]
fn forwarded_trial_work_does_not_delay_paying_work() {
    let now = Instant::now();
    let mut scheduler = scheduler_without_trial_floor(1);
    for index in 0..50 {
        let job = flood_job(now, "one organisation", index);
        let via = Some("node-b".to_owned());
        scheduler.handle(now, SchedulerEvent::Arrived { job, via });
    }
    let actions = support::arrive(&mut scheduler, now, support::job(now, "paying", 2_000));
    assert_eq!(priority_of(&actions, "paying"), Some(0));
}

/// Guards against one paying organisation filling the queue: the prompt of
/// another one starts before the queue of the flood.
#[test]
fn a_flooding_organisation_does_not_delay_others() {
    for length in [2_000, 10_000, 60_000] {
        let now = Instant::now();
        let mut scheduler = scheduler_with_engines(2);
        for index in 0..200 {
            let mut job = support::job(now, &format!("flood-{index}"), 2_500);
            "flooder".clone_into(&mut job.organisation);
            support::arrive(&mut scheduler, now, job);
        }
        let mut job = support::job(now, "other", length);
        "other".clone_into(&mut job.organisation);
        let mut actions = support::arrive(&mut scheduler, now, job);
        let mut started_before = 0;
        let mut at = now;
        while !started_requests(&actions).contains("other") {
            at += Duration::from_millis(300);
            assert!(
                at < now + Duration::from_secs(10),
                "the prompt of {length} tokens was not started"
            );
            let counts = scheduler.prompt_counts();
            actions = finish_flood(&mut scheduler, at);
            started_before += started_requests(&actions).len();
            assert!(counts.queued > 0);
        }
        assert!(
            started_before <= 4,
            "{started_before} prompts started before the one of {length} tokens"
        );
    }
}

/// Finishes prompts of the flood one by one until the prompt "other" starts;
/// returns all actions up to then.
fn finish_flood(scheduler: &mut NodeScheduler, now: Instant) -> Vec<SchedulerAction> {
    let mut actions = Vec::new();
    for index in 0..200 {
        let request = format!("flood-{index}");
        for event in [
            SchedulerEvent::FirstToken {
                request: request.clone(),
                attempt: 1,
            },
            SchedulerEvent::Finished {
                request: request.clone(),
                attempt: 1,
                output_tokens: 100,
            },
        ] {
            actions.extend(scheduler.handle(now, event));
            if started_requests(&actions).contains("other") {
                return actions;
            }
        }
    }
    actions
}

/// Guards against starvation of long prompts by a continuous stream of short
/// ones.
#[test]
fn a_stream_of_short_prompts_does_not_starve_long_ones() {
    for length in [20_000, 100_000, 300_000] {
        let now = Instant::now();
        let mut scheduler = scheduler_with_engines(1);
        let mut long_started = false;
        let mut at = now;
        let first = support::job(now, "s", 4_000);
        let mut last = support::dispatches(&support::arrive(&mut scheduler, at, first)).pop();
        let job = support::job(now, "long", length);
        long_started |=
            started_requests(&support::arrive(&mut scheduler, at, job)).contains("long");
        for round in 0..500 {
            at += Duration::from_millis(100);
            let job = support::job(at, &format!("s{round}"), 4_000);
            let actions = support::arrive(&mut scheduler, at, job);
            long_started |= started_requests(&actions).contains("long");
            if let Some((request, attempt, _)) = last.take() {
                let first = SchedulerEvent::FirstToken { request, attempt };
                let actions = scheduler.handle(at, first);
                long_started |= started_requests(&actions).contains("long");
                last = support::dispatches(&actions).pop();
            }
        }
        assert!(long_started, "the prompt of {length} tokens never started");
    }
}

/// Guards against many nodes choosing the same idle peer from the same outdated
/// summaries.
#[test]
fn nodes_with_the_same_view_spread_their_forwards() {
    let now = Instant::now();
    let mut chosen: BTreeMap<String, u32> = BTreeMap::new();
    for node in 0..40u64 {
        let settings = SchedulerSettings {
            seed: node,
            ..SchedulerSettings::default()
        };
        let mut scheduler =
            NodeScheduler::new(format!("node-{node}"), "sault".to_owned(), settings);
        for peer in ["peer-a", "peer-b", "peer-c", "peer-d"] {
            let mut source = NodeScheduler::new(
                peer.to_owned(),
                "sault".to_owned(),
                SchedulerSettings::default(),
            );
            for engine in 0..3 {
                let report = support::report(&format!("{peer}-{engine}"));
                source.handle(now, SchedulerEvent::EngineReported(report));
            }
            let summary = source.summary(now);
            scheduler.handle(now, SchedulerEvent::SummaryReceived(summary));
        }
        for index in 0..3 {
            let job = support::job(now, &format!("r{node}-{index}"), 2_000);
            for action in support::arrive(&mut scheduler, now, job) {
                if let SchedulerAction::Forward { node, .. } = action {
                    *chosen.entry(node).or_default() += 1;
                }
            }
        }
    }
    assert_eq!(chosen.values().sum::<u32>(), 120);
    assert!(
        chosen.values().all(|count| (15..=45).contains(count)),
        "{chosen:?}"
    );
}

/// Memory reservations on the engines of all nodes, by engine and request.
struct EngineReservations {
    holds: BTreeMap<String, String>,
}

impl EngineReservations {
    /// Reserves all engines or none; the error names the engine that refused.
    fn reserve(&mut self, request: &str, engines: &[String]) -> Result<(), String> {
        if let Some(taken) = engines
            .iter()
            .find(|engine| self.holds.contains_key(*engine))
        {
            return Err(taken.clone());
        }
        for engine in engines {
            self.holds.insert(engine.clone(), request.to_owned());
        }
        Ok(())
    }

    fn release(&mut self, request: &str) {
        self.holds.retain(|_, holder| holder != request);
    }
}

/// Two nodes that own two engines and one. Each knows all three, and a prompt
/// of a million tokens needs all three.
fn two_nodes_with_three_engines(now: Instant) -> Vec<NodeScheduler> {
    let owned: [&[&str]; 2] = [&["e1", "e2"], &["e3"]];
    let mut nodes: Vec<NodeScheduler> = owned
        .iter()
        .zip(["node-a", "node-b"])
        .map(|(engines, node)| {
            let settings = SchedulerSettings::default();
            let mut scheduler = NodeScheduler::new(node.to_owned(), "sault".to_owned(), settings);
            for engine in *engines {
                scheduler.handle(now, SchedulerEvent::EngineReported(support::report(engine)));
            }
            scheduler
        })
        .collect();
    exchange_summaries(&mut nodes, now);
    nodes
}

/// Delivers each node's summary to all nodes; returns each node's actions.
fn exchange_summaries(nodes: &mut [NodeScheduler], now: Instant) -> Vec<Vec<SchedulerAction>> {
    let summaries: Vec<_> = nodes.iter_mut().map(|node| node.summary(now)).collect();
    let mut actions_by_node = Vec::new();
    for node in nodes.iter_mut() {
        let mut actions = Vec::new();
        for summary in &summaries {
            actions.extend(node.handle(now, SchedulerEvent::SummaryReceived(summary.clone())));
        }
        actions_by_node.push(actions);
    }
    actions_by_node
}

/// Guards against deadlock and partial reservations when two nodes start a gang
/// on the same engines at once, however the first gang ends.
#[test]
fn competing_gangs_do_not_deadlock() {
    for ending in ["finished", "failed", "cancelled", "node died"] {
        let start = Instant::now();
        let mut nodes = two_nodes_with_three_engines(start);
        let mut reservations = EngineReservations {
            holds: BTreeMap::new(),
        };
        let mut waiting = Vec::new();
        for (index, node) in nodes.iter_mut().enumerate() {
            let job = support::job(start, &format!("g{index}"), 1_000_000);
            let via = Some("node-z".to_owned());
            let actions = node.handle(start, SchedulerEvent::Arrived { job, via });
            waiting.push(actions);
        }
        let mut ended = BTreeSet::new();
        let mut running: Option<(usize, String, u32, Instant)> = None;
        for step in 1..2_000u64 {
            let now = start + Duration::from_millis(step * 50);
            for index in 0..nodes.len() {
                let actions = std::mem::take(&mut waiting[index]);
                for (request, attempt, engines) in support::dispatches(&actions) {
                    assert_eq!(engines.len(), 3, "a complete gang");
                    assert!(engines.is_sorted(), "in ascending order of ids");
                    match reservations.reserve(&request, &engines) {
                        Ok(()) => running = Some((index, request, attempt, now)),
                        Err(engine) => {
                            let refused = SchedulerEvent::GangReservationRefused {
                                request,
                                attempt,
                                engine,
                            };
                            waiting[index].extend(nodes[index].handle(now, refused));
                        }
                    }
                }
                waiting[index].extend(nodes[index].handle(now, SchedulerEvent::Tick));
            }
            if step % 20 == 0 {
                let reported = report_reservations(&mut nodes, &reservations, now);
                let actions_by_node = exchange_summaries(&mut nodes, now);
                for (index, actions) in reported.into_iter().chain(actions_by_node).enumerate() {
                    waiting[index % 2].extend(actions);
                }
            }
            let expired = running.take_if(|(.., since)| now - *since > Duration::from_secs(5));
            if let Some((index, request, attempt, _)) = expired {
                reservations.release(&request);
                ended.insert(request.clone());
                let actions = end_gang(&mut nodes[index], now, ending, request, attempt);
                waiting[index].extend(actions);
            }
        }
        assert_eq!(ended.len(), 2, "{ending}: {ended:?}");
        assert!(reservations.holds.is_empty(), "{ending}");
    }
}

fn end_gang(
    node: &mut NodeScheduler,
    now: Instant,
    ending: &str,
    request: String,
    attempt: u32,
) -> Vec<SchedulerAction> {
    let event = match ending {
        "finished" => SchedulerEvent::Finished {
            request,
            attempt,
            output_tokens: 50,
        },
        "failed" => SchedulerEvent::Failed {
            request,
            attempt,
            delivered: 0,
            retryable: false,
        },
        "cancelled" => SchedulerEvent::Cancelled { request },
        _ => {
            let settings = SchedulerSettings::default();
            *node = NodeScheduler::new("node-r".to_owned(), "sault".to_owned(), settings);
            return Vec::new();
        }
    };
    node.handle(now, event)
}

fn report_reservations(
    nodes: &mut [NodeScheduler],
    reservations: &EngineReservations,
    now: Instant,
) -> Vec<Vec<SchedulerAction>> {
    let mut actions_by_node = vec![Vec::new(), Vec::new()];
    for (engine, owner) in [("e1", 0), ("e2", 0), ("e3", 1)] {
        let mut report = support::report(engine);
        if let Some(request) = reservations.holds.get(engine) {
            let holder = if request == "g0" { "node-a" } else { "node-b" };
            report.holds.push(support::hold(holder, 333_400));
            report.kv_used = 333_400;
        }
        actions_by_node[owner]
            .extend(nodes[owner].handle(now, SchedulerEvent::EngineReported(report)));
    }
    actions_by_node
}

/// Guards against an engine that gets no medium or long work for good, because
/// the node that claimed it sends no more summaries.
#[test]
fn claims_of_silent_nodes_expire() {
    let now = Instant::now();
    let mut scheduler = scheduler_with_engines(1);
    let mut silent = NodeScheduler::new(
        "node-b".to_owned(),
        "sault".to_owned(),
        SchedulerSettings::default(),
    );
    let mut summary = silent.summary(now);
    summary.claims.push(routing::EngineClaim {
        engine: "e00".to_owned(),
        waited: MINUTE,
    });
    scheduler.handle(now, SchedulerEvent::SummaryReceived(summary));
    let held = support::arrive(&mut scheduler, now, support::job(now, "r", 20_000));
    assert!(held.is_empty(), "the engine stays free for the claim");
    let mut started = BTreeSet::new();
    for second in 1..10 {
        let at = now + Duration::from_secs(second);
        started.extend(started_requests(
            &scheduler.handle(at, SchedulerEvent::Tick),
        ));
    }
    assert!(started.contains("r"));
}

/// A prompt larger than all engines together is refused as too long only once
/// the known fleet has been unchanged for several reports.
#[test]
fn a_prompt_too_long_for_the_fleet_is_refused_as_too_long() {
    let now = Instant::now();
    let mut scheduler = scheduler_with_engines(2);
    let actions = support::arrive(&mut scheduler, now, support::job(now, "r", 1_000_000));
    assert_eq!(refusals(&actions)[0].1, RefusalReason::ModelNotReady);
    let settled = now + Duration::from_secs(3);
    let actions = support::arrive(
        &mut scheduler,
        settled,
        support::job(settled, "r", 1_000_000),
    );
    assert_eq!(refusals(&actions)[0].1, RefusalReason::TooLong);
}

/// Guards against a newly started node that refuses a prompt for good while it
/// knows only part of the fleet.
#[test]
fn a_prompt_is_not_refused_as_too_long_while_the_known_fleet_grows() {
    let now = Instant::now();
    let mut scheduler = scheduler_with_engines(1);
    for (second, engines) in [(0, 1), (2, 2), (4, 3), (6, 4)] {
        let at = now + Duration::from_secs(second);
        for index in 0..engines {
            let report = support::report(&format!("e{index:02}"));
            scheduler.handle(at, SchedulerEvent::EngineReported(report));
        }
        let job = support::job(at, &format!("r{second}"), 1_000_000);
        for (_, reason, _) in refusals(&support::arrive(&mut scheduler, at, job)) {
            assert_eq!(reason, RefusalReason::ModelNotReady, "after {second} s");
        }
    }
}

/// Guards against unbounded queues: prompts that cannot meet their deadline are
/// refused on arrival with a time to retry, and the queue stays within its
/// bounds.
#[test]
fn overload_is_refused_on_arrival() {
    let now = Instant::now();
    let settings = SchedulerSettings {
        queue: admission::QueueBounds {
            requests: 100,
            tokens: 10_000_000,
        },
        ..SchedulerSettings::default()
    };
    let mut scheduler = NodeScheduler::new("node-a".to_owned(), "sault".to_owned(), settings);
    scheduler.handle(now, SchedulerEvent::EngineReported(support::report("e1")));
    let mut waits = Vec::new();
    for index in 0..500 {
        let mut job = support::job(now, &format!("r{index}"), 4_000);
        job.deadline = now + Duration::from_secs(30);
        let refused = refusals(&support::arrive(&mut scheduler, now, job));
        waits.extend(refused.iter().map(|(_, _, retry_after)| *retry_after));
        assert!(scheduler.prompt_counts().queued <= 100);
    }
    assert!(waits.len() >= 400, "{} refused", waits.len());
    assert!(waits.iter().all(|wait| *wait >= Duration::from_secs(1)));
    assert!(
        scheduler.prompt_counts().queued > 10,
        "admitted prompts are queued"
    );
}

#[test]
fn full_queues_shed_trial_prompts_first() {
    let now = Instant::now();
    let settings = SchedulerSettings {
        queue: admission::QueueBounds {
            requests: 4,
            tokens: 10_000_000,
        },
        ..SchedulerSettings::default()
    };
    let mut scheduler = NodeScheduler::new("node-a".to_owned(), "sault".to_owned(), settings);
    let mut report = support::report("e1");
    report.kv_used = support::KV_CAPACITY;
    report
        .holds
        .push(support::hold("node-z", support::KV_CAPACITY));
    scheduler.handle(now, SchedulerEvent::EngineReported(report));
    for index in 0..4 {
        let job = support::trial_job(now, &format!("t{index}"), 1_000);
        assert!(support::arrive(&mut scheduler, now, job).is_empty());
    }
    let actions = support::arrive(&mut scheduler, now, support::job(now, "p", 1_000));
    let refused = refusals(&actions);
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].1, RefusalReason::TrialShed);
    assert!(refused[0].0.starts_with('t'));
}

#[test]
fn requests_over_an_organisation_limit_are_refused() {
    let now = Instant::now();
    let mut scheduler = scheduler_with_engines(4);
    let limits = LimitSettings {
        requests_per_second: 1,
        tokens_per_minute: 1_000_000,
        concurrent_requests: 10,
    };
    let changed = SchedulerEvent::LimitsChanged {
        organisation: "payer".to_owned(),
        limits: Some(limits),
    };
    scheduler.handle(now, changed);
    let mut reasons = Vec::new();
    for index in 0..5 {
        let job = support::job(now, &format!("r{index}"), 1_000);
        reasons.extend(refusals(&support::arrive(&mut scheduler, now, job)));
    }
    assert_eq!(reasons.len(), 3);
    assert!(
        reasons
            .iter()
            .all(|refused| refused.1 == RefusalReason::OrganisationLimit)
    );
}

/// Cache events may be late, lost or wrong. They may change the choice of an
/// engine, and the next start of a prefill corrects them.
#[test]
fn wrong_cache_estimates_are_corrected_by_the_next_prefill() {
    for events_lost in [false, true] {
        let now = Instant::now();
        let mut scheduler = scheduler_with_engines(2);
        let prefixes: Vec<u64> = (0..40).collect();
        let stored = prefixes
            .iter()
            .map(|prefix| CacheEvent::Stored { prefix: *prefix });
        let cached = SchedulerEvent::CacheChanged {
            engine: "e01".to_owned(),
            events_lost,
            events: stored.collect(),
        };
        scheduler.handle(now, cached);
        let chosen = |scheduler: &mut NodeScheduler, name: &str| {
            let mut job = support::job(now, name, 20_480);
            job.prefixes.clone_from(&prefixes);
            let dispatches = support::dispatches(&support::arrive(scheduler, now, job));
            dispatches[0].2[0].clone()
        };
        assert_eq!(chosen(&mut scheduler, "first"), "e01");
        let corrected = SchedulerEvent::Started {
            request: "first".to_owned(),
            attempt: 1,
            prompt_tokens: 20_480,
            cached_tokens: 0,
        };
        scheduler.handle(now, corrected);
        assert_eq!(
            chosen(&mut scheduler, "second"),
            "e00",
            "e01 has the whole first prompt to prefill"
        );
    }
}

/// Guards against a popular prefix that overloads the engine that caches it:
/// once the wait exceeds what the cache saves, prompts go to other engines.
#[test]
fn a_hot_prefix_spreads_over_engines() {
    let now = Instant::now();
    let mut scheduler = scheduler_with_engines(4);
    let prefixes: Vec<u64> = (0..8).collect();
    let stored = prefixes
        .iter()
        .map(|prefix| CacheEvent::Stored { prefix: *prefix });
    let cached = SchedulerEvent::CacheChanged {
        engine: "e00".to_owned(),
        events_lost: false,
        events: stored.collect(),
    };
    scheduler.handle(now, cached);
    let mut engines = BTreeSet::new();
    for index in 0..12 {
        let mut job = support::job(now, &format!("r{index}"), 8_000);
        job.prefixes.clone_from(&prefixes);
        job.plan = PlanKind::Paying;
        for (_, _, chosen) in support::dispatches(&support::arrive(&mut scheduler, now, job)) {
            engines.extend(chosen);
        }
    }
    assert_eq!(engines.len(), 4);
}

/// Guards against summaries that grow with the number of organisations on a
/// node.
#[test]
fn a_summary_has_at_most_700_bytes() {
    let now = Instant::now();
    let mut scheduler = scheduler_with_engines(10);
    for index in 0..500 {
        let mut job = support::job(now, &format!("r{index}"), 2_000);
        job.organisation = format!("organisation-{index}");
        support::arrive(&mut scheduler, now, job);
    }
    let summary = scheduler.summary(now);
    let bytes = postcard::to_allocvec(&summary).unwrap();
    assert!(bytes.len() <= 700, "summary of {} bytes", bytes.len());
}
