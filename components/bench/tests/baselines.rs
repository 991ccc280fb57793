//! Behaviour of the baseline balancers.

use std::time::{Duration, Instant};

use bench::{BaselineKind, BaselineRouter};
use model::{EngineModel, engine_profile};
use routing::{RefusalReason, SchedulerAction, SchedulerEvent};
use types::{EngineReport, PlanKind, PromptJob};

fn report(engine: &str, backlog: u64) -> EngineReport {
    let profile = engine_profile(engine.to_owned(), "sault".to_owned());
    EngineReport {
        prefill_backlog: backlog,
        ..EngineModel::new(profile, Vec::new()).report(Instant::now())
    }
}

fn job(now: Instant, request: &str, prompt_tokens: u64) -> PromptJob {
    PromptJob {
        request: request.to_owned(),
        organisation: "agawa-ops".to_owned(),
        plan: PlanKind::Paying,
        weight: 1,
        model: "alder-70b".to_owned(),
        version: "1".to_owned(),
        adapter: None,
        note_version: 1,
        prompt_tokens,
        output_tokens: 100,
        prefixes: Vec::new(),
        zone: "sault".to_owned(),
        arrived: now,
        deadline: now + Duration::from_mins(10),
    }
}

fn router(kind: BaselineKind, now: Instant, backlogs: &[u64]) -> BaselineRouter {
    let mut router = BaselineRouter::new(kind, 1);
    for (index, backlog) in backlogs.iter().enumerate() {
        let event = SchedulerEvent::EngineReported(report(&format!("e{index}"), *backlog));
        router.handle(now, event);
    }
    router
}

fn arrive(router: &mut BaselineRouter, now: Instant, request: &str, tokens: u64) -> Vec<String> {
    let job = job(now, request, tokens);
    engines_of(&router.handle(now, SchedulerEvent::Arrived { job, via: None }))
}

/// Engines of the first dispatch; empty when nothing is dispatched.
fn engines_of(actions: &[SchedulerAction]) -> Vec<String> {
    let mut dispatches = actions.iter().filter_map(|action| match action {
        SchedulerAction::Dispatch { engines, .. } => Some(engines.clone()),
        _ => None,
    });
    dispatches.next().unwrap_or_default()
}

#[test]
fn round_robin_takes_each_engine_in_turn() {
    let now = Instant::now();
    let mut router = router(BaselineKind::RoundRobin, now, &[0, 900_000, 0]);
    let mut taken: Vec<String> = (0..6)
        .flat_map(|index| arrive(&mut router, now, &format!("r{index}"), 1_000))
        .collect();
    taken.sort();
    assert_eq!(taken, ["e0", "e0", "e1", "e1", "e2", "e2"]);
}

#[test]
fn least_loaded_counts_reports_and_prompts_sent_since() {
    let now = Instant::now();
    let mut router = router(BaselineKind::LeastLoaded, now, &[9_000, 5_000, 20_000]);
    assert_eq!(arrive(&mut router, now, "r1", 6_000), ["e1"]);
    assert_eq!(arrive(&mut router, now, "r2", 6_000), ["e0"]);
    assert_eq!(arrive(&mut router, now, "r3", 1_000), ["e1"]);
}

#[test]
fn a_refused_gang_is_retried_until_its_caller_leaves() {
    let now = Instant::now();
    let mut router = router(BaselineKind::LeastLoaded, now, &[0, 0, 0, 0]);
    let engines = arrive(&mut router, now, "r1", 900_000);
    assert_eq!(engines.len(), 3);
    let refused = SchedulerEvent::GangReservationRefused {
        request: "r1".to_owned(),
        attempt: 1,
        engine: engines[0].clone(),
    };
    assert!(router.handle(now, refused.clone()).is_empty());
    assert!(router.handle(now, SchedulerEvent::Tick).is_empty());
    let later = now + Duration::from_secs(1);
    let again = router.handle(later, SchedulerEvent::Tick);
    assert_eq!(engines_of(&again).len(), 3);
    router.handle(later, refused);
    let left = SchedulerEvent::Cancelled {
        request: "r1".to_owned(),
    };
    router.handle(later, left);
    let after = later + Duration::from_secs(1);
    assert!(router.handle(after, SchedulerEvent::Tick).is_empty());
}

#[test]
fn a_failed_attempt_is_retried_on_other_engines_until_retries_are_exhausted() {
    let now = Instant::now();
    let mut router = router(BaselineKind::LeastLoaded, now, &[0, 0, 0, 0, 0]);
    let mut taken = arrive(&mut router, now, "r1", 1_000);
    for attempt in 1..=4 {
        let failed = SchedulerEvent::Failed {
            request: "r1".to_owned(),
            attempt,
            delivered: 3,
            retryable: true,
        };
        let actions = router.handle(now, failed);
        if attempt < 4 {
            let next = engines_of(&actions);
            assert!(!taken.contains(&next[0]), "{next:?}");
            taken.extend(next);
            continue;
        }
        let reason = RefusalReason::RetriesExhausted;
        assert!(matches!(
            actions[..],
            [SchedulerAction::Refuse { reason: given, .. }] if given == reason
        ));
    }
}
