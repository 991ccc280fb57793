//! A prompt that waited for its model keeps what it had.

mod support;

use std::time::Instant;

use routing::{RefusalReason, SchedulerAction, SchedulerEvent};
use support::{dispatched, job, report, scheduler};

fn returned(request: &str, now: Instant, attempts: u32, failures: u32) -> SchedulerEvent {
    SchedulerEvent::Resubmitted {
        job: job(now, request, 1_000),
        attempts,
        failures,
        delivered: 5,
    }
}

#[test]
fn attempts_go_on_behind_those_that_were_started() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    scheduler.handle(now, SchedulerEvent::EngineReported(report("engine-1")));

    let actions = scheduler.handle(now, returned("r", now, 2, 1));

    let starts = dispatched(&actions);
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1, 3);
    let resumed = actions
        .iter()
        .any(|action| matches!(action, SchedulerAction::Dispatch { resume_at: 5, .. }));
    assert!(resumed, "{actions:?}");
}

#[test]
fn failures_before_the_wait_count_against_the_limit() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    scheduler.handle(now, SchedulerEvent::EngineReported(report("engine-1")));
    scheduler.handle(now, returned("r", now, 3, 3));

    let actions = scheduler.handle(
        now,
        SchedulerEvent::Failed {
            request: "r".to_owned(),
            attempt: 4,
            delivered: 5,
            retryable: true,
        },
    );

    assert!(
        matches!(
            actions[..],
            [SchedulerAction::Refuse {
                reason: RefusalReason::RetriesExhausted,
                ..
            }]
        ),
        "{actions:?}"
    );
}

#[test]
fn a_model_that_is_still_not_ready_is_refused_again() {
    let now = Instant::now();
    let mut scheduler = scheduler();

    let actions = scheduler.handle(now, returned("r", now, 0, 0));

    assert!(
        matches!(
            actions[..],
            [SchedulerAction::Refuse {
                reason: RefusalReason::ModelNotReady,
                ..
            }]
        ),
        "{actions:?}"
    );
}
