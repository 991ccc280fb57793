//! Takes retries from this node's share of the fleet's retry budget.
//!
//! Requests that no upstream has run wait for the budget if it is used up, in the order in
//! which they came: a refusal would cost their callers one of few attempts.

use std::{rc::Rc, time::Duration};

use dispatch::{LineNumber, RetryVerdict};
use types::ServiceName;

use crate::{forward::ForwardJob, place::PLACEMENT_RETRY_PAUSE, state::Gateway};

/// Share of the time until its deadline for which a request waits for the retry budget. The
/// rest is left to serve it.
const LINE_WAIT_SHARE: f64 = 0.25;

/// Longest pause between two looks of a request that waits.
const LOOK_PAUSE_MAX: Duration = Duration::from_millis(100);

/// Place in the line, which ends when it is dropped.
struct LinePlace {
    gateway: Rc<Gateway>,
    service: ServiceName,
    number: LineNumber,
}

impl LinePlace {
    fn join(gateway: &Rc<Gateway>, service: &ServiceName) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            service: service.clone(),
            number: gateway.retry_budget.borrow_mut().join_line(service),
        }
    }

    /// Number of requests that wait before this one.
    fn before(&self) -> usize {
        let budget = self.gateway.retry_budget.borrow();
        budget.waiting_before(&self.service, self.number)
    }
}

impl Drop for LinePlace {
    fn drop(&mut self) {
        let mut budget = self.gateway.retry_budget.borrow_mut();
        budget.leave_line(&self.service, self.number);
    }
}

/// Returns whether the budget allows a retry now.
pub(crate) fn allows_retry(gateway: &Gateway, service: &str) -> bool {
    judge_retry(gateway, service).is_allowed
}

fn judge_retry(gateway: &Gateway, service: &str) -> RetryVerdict {
    let now = gateway.now();
    let nodes = gateway.sharing_nodes(now);
    let mut budget = gateway.retry_budget.borrow_mut();
    budget.judge_retry(now, service, nodes)
}

/// Takes one retry; `false` if the budget is used up.
pub(crate) fn take_retry(gateway: &Gateway, job: &ForwardJob) -> bool {
    let now = gateway.now();
    let nodes = gateway.sharing_nodes(now);
    let verdict = gateway
        .retry_budget
        .borrow_mut()
        .take_retry(now, &job.service, nodes);
    record_verdict(gateway, job, verdict);
    verdict.is_allowed
}

fn record_verdict(gateway: &Gateway, job: &ForwardJob, verdict: RetryVerdict) {
    gateway
        .metrics
        .record_retry(&job.service, verdict.is_allowed);
    let figures = format!(
        "request={} service={} used={} bound={:.1} nodes={} running_ms={}",
        job.request.caller_attempt_id,
        job.service,
        verdict.used,
        verdict.bound,
        gateway.sharing_nodes(gateway.now()).unwrap_or_default(),
        gateway.running_time().as_millis(),
    );
    if verdict.is_allowed {
        log::info!("event=retry_allowed {figures}");
    } else {
        log::warn!("event=retry_denied {figures}");
    }
}

/// Time after which the budget allows a retry behind `before` others; `None` if it doesn't
/// within `limit`.
fn time_to_retry(
    gateway: &Gateway,
    service: &str,
    before: usize,
    limit: Duration,
) -> Option<Duration> {
    let now = gateway.now();
    let nodes = gateway.sharing_nodes(now);
    let budget = gateway.retry_budget.borrow();
    budget.time_to_retry(now, service, nodes, before, limit)
}

/// Takes a retry, and waits for it if the budget is used up and foreseen to allow it soon
/// enough; `false` if not.
pub(crate) async fn take_retry_in_line(gateway: &Rc<Gateway>, job: &ForwardJob) -> bool {
    let began = gateway.now();
    let limit = began + job.time_left(began).mul_f64(LINE_WAIT_SHARE);
    let place = LinePlace::join(gateway, &job.service);
    let mut is_logged = false;
    loop {
        let before = place.before();
        if before == 0 && allows_retry(gateway, &job.service) {
            return take_retry(gateway, job);
        }
        let now = gateway.now();
        let left = limit.saturating_duration_since(now);
        let foreseen = time_to_retry(gateway, &job.service, before, left);
        let Some(foreseen) = foreseen.filter(|_| !left.is_zero()) else {
            let mut verdict = judge_retry(gateway, &job.service);
            verdict.is_allowed = false;
            record_verdict(gateway, job, verdict);
            return false;
        };
        if !is_logged {
            is_logged = true;
            log::info!(
                "event=retry_waits request={} service={} before={before} foreseen_ms={}",
                job.request.caller_attempt_id,
                job.service,
                foreseen.as_millis(),
            );
        }
        let pause = foreseen.clamp(PLACEMENT_RETRY_PAUSE, LOOK_PAUSE_MAX);
        gateway.clock.sleep(pause).await;
    }
}
