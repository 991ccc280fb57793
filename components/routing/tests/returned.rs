//! A prompt that is submitted again after a wait for its model keeps its
//! attempts, failures and delivered tokens.

mod support;

use std::time::Instant;

use routing::{RefusalReason, SchedulerAction, SchedulerEvent};
use support::{dispatches, job, report, scheduler};

fn resubmitted(request: &str, now: Instant, attempts: u32, failures: u32) -> SchedulerEvent {
    SchedulerEvent::Resubmitted {
        job: job(now, request, 1_000),
        attempts,
        failures,
        delivered: 5,
    }
}

#[test]
fn a_resubmitted_prompt_continues_its_attempt_numbers() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    scheduler.handle(now, SchedulerEvent::EngineReported(report("engine-1")));

    let actions = scheduler.handle(now, resubmitted("r", now, 2, 1));

    let dispatches = dispatches(&actions);
    assert_eq!(dispatches.len(), 1);
    assert_eq!(dispatches[0].1, 3);
    let resumed = actions
        .iter()
        .any(|action| matches!(action, SchedulerAction::Dispatch { resume_at: 5, .. }));
    assert!(resumed, "{actions:?}");
}

#[test]
fn failures_before_a_resubmission_count_against_the_attempt_limit() {
    let now = Instant::now();
    let mut scheduler = scheduler();
    scheduler.handle(now, SchedulerEvent::EngineReported(report("engine-1")));
    scheduler.handle(now, resubmitted("r", now, 3, 3));

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
fn a_resubmitted_prompt_is_refused_while_its_model_is_not_ready() {
    let now = Instant::now();
    let mut scheduler = scheduler();

    let actions = scheduler.handle(now, resubmitted("r", now, 0, 0));

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
