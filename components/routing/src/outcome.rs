//! What became of attempts.

use std::time::{Duration, Instant};

use admission::{DeadlineGate, QueuedJob, job_cost};
use types::{AttemptId, PromptJob, RequestId, TokenCount};

use crate::{
    NodeScheduler, RefusalReason, SchedulerAction,
    estimate::float,
    pool::PoolKey,
    scheduler::{RunningJob, refusal},
};

/// Part of the output bound that an attempt must have left to be resumed at
/// its bound.
const OUTPUT_LEFT_MIN: TokenCount = 1;

impl NodeScheduler {
    pub(crate) fn started(
        &mut self,
        now: Instant,
        request: &RequestId,
        attempt: AttemptId,
        cached: TokenCount,
    ) {
        let Some(running) = self.current(request, attempt) else {
            return;
        };
        let Some(engine) = running.engines.first().cloned() else {
            return;
        };
        let job = running.queued.job.clone();
        let organisation = running.queued.organisation;
        let returned = cached.min(running.charged);
        if let Some(running) = self.running.get_mut(request) {
            running.charged -= returned;
        }
        self.shares.refund(organisation, returned);
        let Some(view) = self.engines.get_mut(&engine) else {
            return;
        };
        view.prefixes.correct(&job, cached);
        let left = view.restart_prefill(now, request, attempt, cached, job.prompt_tokens);
        if let (Some(left), Some(running)) = (left, self.running.get_mut(request)) {
            running.started = now;
            running.expected = left;
        }
    }

    pub(crate) fn first_token(&mut self, now: Instant, request: &RequestId, attempt: AttemptId) {
        let Some(running) = self.current(request, attempt) else {
            return;
        };
        let engines = running.engines.clone();
        let expected = running.expected;
        let taken = now.saturating_duration_since(running.started);
        if running.first_token.is_some() {
            return;
        }
        if let Some(running) = self.running.get_mut(request) {
            running.first_token = Some(now);
        }
        for engine in &engines {
            let Some(view) = self.engines.get_mut(engine) else {
                continue;
            };
            view.end_prefill(now, request, attempt, expected, taken);
        }
    }

    pub(crate) fn finished(
        &mut self,
        now: Instant,
        request: &RequestId,
        attempt: AttemptId,
        output: TokenCount,
    ) {
        if self.current(request, attempt).is_none() {
            return;
        }
        let Some(running) = self.end_attempt(now, request) else {
            return;
        };
        self.gangs.forget(request);
        self.leave(request);
        let unused = running.queued.job.output_tokens.saturating_sub(output);
        let returned = job_cost(0, unused).min(running.charged);
        self.shares.refund(running.queued.organisation, returned);
        let (Some(first), Some(engine)) = (running.first_token, running.engines.first()) else {
            return;
        };
        if let Some(view) = self.engines.get_mut(engine) {
            let taken = now.saturating_duration_since(first);
            let generated = output.saturating_sub(running.queued.resume_at);
            view.speed.learn_decode(generated, taken);
        }
    }

    pub(crate) fn failed(
        &mut self,
        now: Instant,
        request: &RequestId,
        attempt: AttemptId,
        delivered: TokenCount,
        retryable: bool,
        actions: &mut Vec<SchedulerAction>,
    ) {
        if self.current(request, attempt).is_none() {
            return;
        }
        let Some(running) = self.end_attempt(now, request) else {
            return;
        };
        for engine in running.engines.iter().filter(|_| retryable) {
            if let Some(view) = self.engines.get_mut(engine) {
                view.suspect(now);
            }
        }
        let mut queued = running.queued;
        self.shares.refund(queued.organisation, running.charged);
        queued.resume_at = queued.resume_at.max(delivered);
        queued.failures += 1;
        let spent = queued.failures >= self.settings.attempt_limit;
        if !retryable || spent || !self.retries.spend() {
            let retry_after = DeadlineGate::retry_after(Duration::ZERO);
            let reason = RefusalReason::RetriesExhausted;
            actions.push(refusal(request.clone(), reason, retry_after));
            return;
        }
        self.requeue(now, queued, actions);
    }

    pub(crate) fn cancelled(
        &mut self,
        now: Instant,
        request: &RequestId,
        actions: &mut Vec<SchedulerAction>,
    ) {
        self.leave(request);
        if self.end_forward(request, None).is_some() {
            return;
        }
        if self.queue.remove(request, &mut self.shares).is_some() {
            self.gangs.forget(request);
            return;
        }
        let Some(running) = self.abandon(now, request, actions) else {
            return;
        };
        let computed = running.first_token.is_some();
        if !computed {
            self.shares
                .refund(running.queued.organisation, running.charged / 2);
        }
    }

    /// Puts a prompt whose attempt ended back into the queue, if its deadline
    /// can still be met.
    pub(crate) fn requeue(
        &mut self,
        now: Instant,
        mut queued: QueuedJob,
        actions: &mut Vec<SchedulerAction>,
    ) {
        queued.attempt += 1;
        let left = queued.job.output_tokens.saturating_sub(queued.resume_at);
        let part = float(left.max(OUTPUT_LEFT_MIN)) / float(queued.job.output_tokens.max(1));
        let decode = queued.service.saturating_sub(queued.prefill_time);
        queued.service = queued.prefill_time + decode.mul_f64(part.min(1.0));
        if queued.latest_start() < now {
            let retry_after = self.retry_after(now, &queued);
            let reason = RefusalReason::DeadlineUnreachable;
            actions.push(refusal(queued.job.request, reason, retry_after));
            return;
        }
        if self.has_engine(&queued.job) {
            self.queue.push(queued, &mut self.shares);
        } else {
            self.move_on(now, queued, actions);
        }
    }

    /// Hands on what waits for engines that this node has no more.
    pub(crate) fn move_orphans(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        for pool in self.queue.pools() {
            let key = self.pools.key(pool);
            let served = |key: &PoolKey| {
                self.engines
                    .values()
                    .any(|view| key.served_by(&view.report))
            };
            if key.is_none_or(served) {
                continue;
            }
            while let Some(queued) = self.queue.take_any(pool, &mut self.shares) {
                self.gangs.forget(&queued.job.request);
                self.move_on(now, queued, actions);
            }
        }
    }

    /// Sends a prompt that no engine here can take to another node, or back
    /// to the node it came from.
    fn move_on(&mut self, now: Instant, queued: QueuedJob, actions: &mut Vec<SchedulerAction>) {
        let request = queued.job.request.clone();
        let handed = (!queued.forwarded).then(Vec::new);
        match self.settle(now, queued, handed) {
            Ok(action) => actions.extend(action),
            Err(rejection) => {
                actions.push(refusal(request, rejection.reason, rejection.retry_after));
            }
        }
    }

    fn has_engine(&self, job: &PromptJob) -> bool {
        let key = PoolKey::of(job);
        self.engines.values().any(|view| key.usable(view))
    }

    /// The attempt that runs for a request, unless it is another one.
    fn current(&self, request: &RequestId, attempt: AttemptId) -> Option<&RunningJob> {
        let running = self.running.get(request)?;
        (running.queued.attempt == attempt).then_some(running)
    }
}
