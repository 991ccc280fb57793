//! Progress and outcomes of attempts.

use std::time::{Duration, Instant};

use admission::{DeadlineGate, QueuedJob, job_cost};
use types::{AttemptId, PromptJob, RequestId, TokenCount};

use crate::{
    NodeScheduler, RefusalReason, SchedulerAction,
    estimate::to_float,
    pool::PoolKey,
    scheduler::{RunningJob, refuse_action},
};

/// Fewest output tokens assumed to be left when an attempt is resumed at its
/// output limit.
const RESUMED_OUTPUT_MIN: TokenCount = 1;

impl NodeScheduler {
    /// Handles the start of a prefill: refunds the cached tokens and corrects
    /// the remaining prefill time.
    pub(crate) fn record_prefill_start(
        &mut self,
        now: Instant,
        request: &RequestId,
        attempt: AttemptId,
        cached: TokenCount,
    ) {
        let Some(running) = self.running_attempt(request, attempt) else {
            return;
        };
        let Some(engine) = running.engines.first().cloned() else {
            return;
        };
        let job = running.queued.job.clone();
        let organisation = running.queued.organisation;
        let refund = cached.min(running.refundable_tokens);
        if let Some(running) = self.running.get_mut(request) {
            running.refundable_tokens -= refund;
        }
        self.shares.refund(organisation, refund);
        let Some(view) = self.engines.get_mut(&engine) else {
            return;
        };
        view.prefixes.correct_from_start(&job, cached);
        let left = view.correct_prefill_left(now, request, attempt, cached, job.prompt_tokens);
        if let (Some(left), Some(running)) = (left, self.running.get_mut(request)) {
            running.prefill_started_at = now;
            running.expected_prefill = left;
        }
    }

    /// Handles an attempt's first token: its prefill is over on all engines.
    pub(crate) fn record_first_token(
        &mut self,
        now: Instant,
        request: &RequestId,
        attempt: AttemptId,
    ) {
        let Some(running) = self.running_attempt(request, attempt) else {
            return;
        };
        let engines = running.engines.clone();
        let expected_prefill = running.expected_prefill;
        let duration = now.saturating_duration_since(running.prefill_started_at);
        if running.first_token_at.is_some() {
            return;
        }
        if let Some(running) = self.running.get_mut(request) {
            running.first_token_at = Some(now);
        }
        for engine in &engines {
            let Some(view) = self.engines.get_mut(engine) else {
                continue;
            };
            view.end_prefill(now, request, attempt, expected_prefill, duration);
        }
    }

    /// Ends a request with its answer, and refunds the output tokens that it
    /// did not use.
    pub(crate) fn finish_attempt(
        &mut self,
        now: Instant,
        request: &RequestId,
        attempt: AttemptId,
        output: TokenCount,
    ) {
        if self.running_attempt(request, attempt).is_none() {
            return;
        }
        let Some(running) = self.end_attempt(now, request) else {
            return;
        };
        self.gangs.forget_request(request);
        self.release_admission(request);
        let unused = running.queued.job.output_tokens.saturating_sub(output);
        let refund = job_cost(0, unused).min(running.refundable_tokens);
        self.shares.refund(running.queued.organisation, refund);
        let (Some(first), Some(engine)) = (running.first_token_at, running.engines.first()) else {
            return;
        };
        if let Some(view) = self.engines.get_mut(engine) {
            let duration = now.saturating_duration_since(first);
            let generated = output.saturating_sub(running.queued.resume_at);
            view.speed.learn_decode(generated, duration);
        }
    }

    /// Ends a failed attempt, and queues the request again if a retry is
    /// allowed.
    pub(crate) fn handle_failure(
        &mut self,
        now: Instant,
        request: &RequestId,
        attempt: AttemptId,
        delivered: TokenCount,
        retryable: bool,
        actions: &mut Vec<SchedulerAction>,
    ) {
        if self.running_attempt(request, attempt).is_none() {
            return;
        }
        let Some(running) = self.end_attempt(now, request) else {
            return;
        };
        for engine in running.engines.iter().filter(|_| retryable) {
            if let Some(view) = self.engines.get_mut(engine) {
                view.mark_failed(now);
            }
        }
        let mut queued = running.queued;
        self.shares
            .refund(queued.organisation, running.refundable_tokens);
        queued.resume_at = queued.resume_at.max(delivered);
        queued.failures += 1;
        let attempts_exhausted = queued.failures >= self.settings.attempt_limit;
        if !retryable || attempts_exhausted || !self.retries.try_withdraw() {
            let retry_after = DeadlineGate::retry_after(Duration::ZERO);
            let reason = RefusalReason::RetriesExhausted;
            actions.push(refuse_action(request.clone(), reason, retry_after));
            return;
        }
        self.requeue(now, queued, actions);
    }

    /// Removes a request that is queued, forwarded or running. A running one is
    /// refunded half of its refundable tokens if its first token has not come.
    pub(crate) fn cancel_request(
        &mut self,
        now: Instant,
        request: &RequestId,
        actions: &mut Vec<SchedulerAction>,
    ) {
        self.release_admission(request);
        if self.end_forward(request, None).is_some() {
            return;
        }
        if self.queue.remove(request, &mut self.shares).is_some() {
            self.gangs.forget_request(request);
            return;
        }
        let Some(running) = self.cancel_attempt(now, request, actions) else {
            return;
        };
        let prefilled = running.first_token_at.is_some();
        if !prefilled {
            self.shares
                .refund(running.queued.organisation, running.refundable_tokens / 2);
        }
    }

    /// Queues a prompt again after its attempt ended, or refuses it if its
    /// deadline can no longer be met.
    pub(crate) fn requeue(
        &mut self,
        now: Instant,
        mut queued: QueuedJob,
        actions: &mut Vec<SchedulerAction>,
    ) {
        queued.attempt += 1;
        let left = queued.job.output_tokens.saturating_sub(queued.resume_at);
        let output_fraction =
            to_float(left.max(RESUMED_OUTPUT_MIN)) / to_float(queued.job.output_tokens.max(1));
        let decode = queued.service.saturating_sub(queued.prefill_time);
        queued.service = queued.prefill_time + decode.mul_f64(output_fraction.min(1.0));
        if queued.latest_start() < now {
            let retry_after = self.retry_after(now, &queued);
            let reason = RefusalReason::DeadlineUnreachable;
            actions.push(refuse_action(queued.job.request, reason, retry_after));
            return;
        }
        if self.has_usable_engine(&queued.job) {
            self.queue.push(queued, &mut self.shares);
        } else {
            self.reroute(now, queued, actions);
        }
    }

    /// Reroutes queued prompts that no engine of this node serves any more.
    pub(crate) fn reroute_unserved(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
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
                self.gangs.forget_request(&queued.job.request);
                self.reroute(now, queued, actions);
            }
        }
    }

    /// Forwards a prompt that no engine here can run. One that was forwarded to
    /// this node is refused instead, which returns it to the node that it came
    /// from.
    fn reroute(&mut self, now: Instant, queued: QueuedJob, actions: &mut Vec<SchedulerAction>) {
        let request = queued.job.request.clone();
        let nodes_tried = (!queued.forwarded).then(Vec::new);
        match self.forward_or_enqueue(now, queued, nodes_tried) {
            Ok(action) => actions.extend(action),
            Err(refusal) => {
                actions.push(refuse_action(request, refusal.reason, refusal.retry_after));
            }
        }
    }

    fn has_usable_engine(&self, job: &PromptJob) -> bool {
        let key = PoolKey::of(job);
        self.engines.values().any(|view| key.can_run_on(view))
    }

    /// The running attempt of a request, if its number is `attempt`.
    fn running_attempt(&self, request: &RequestId, attempt: AttemptId) -> Option<&RunningJob> {
        let running = self.running.get(request)?;
        (running.queued.attempt == attempt).then_some(running)
    }
}
