//! Admission of a prompt: forward it to another node, queue it here or refuse
//! it.

use std::time::{Duration, Instant};

use admission::{
    DeadlineGate, GateVerdict, LengthClass, PoolIndex, QueuedJob, WaitEstimate, job_cost,
};
use types::{AttemptId, NodeId, PlanKind, PromptJob, TokenCount};

use crate::{
    NodeScheduler, RefusalReason, SchedulerAction,
    estimate::duration_from_secs,
    peers::{PeerQuery, PoolKeyRef},
    placement::engine_priority,
    pool::PoolKey,
    scheduler::refuse_action,
};

/// Expected time to forward a prompt to another node.
const FORWARD_LATENCY: Duration = Duration::from_millis(2);
/// Shortest wait that forwarding must save, unless `FORWARD_GAIN_FRACTION` asks
/// for more.
const FORWARD_GAIN_MIN: Duration = Duration::from_millis(4);

/// Fraction of the prompt's prefill time that forwarding must save, if that is
/// more than `FORWARD_GAIN_MIN`.
const FORWARD_GAIN_FRACTION: f64 = 0.08;

/// Reason why a prompt is refused, and the time after which the caller may try
/// again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PromptRefusal {
    pub(crate) reason: RefusalReason,
    pub(crate) retry_after: Duration,
}

impl PromptRefusal {
    /// Creates a refusal by this node, with `retry_after` clamped to the bounds
    /// that callers are given. The refusal of another node is built without the
    /// clamp.
    pub(crate) fn new(reason: RefusalReason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after: DeadlineGate::retry_after(retry_after),
        }
    }
}

/// Progress that a prompt had made before it waited for its model.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobProgress {
    pub(crate) attempts: AttemptId,
    pub(crate) failures: u32,
    /// Answer tokens that the caller has already received.
    pub(crate) delivered: TokenCount,
}

impl NodeScheduler {
    /// Admits a prompt again after it waited for its model to become ready.
    pub(crate) fn resubmit(
        &mut self,
        now: Instant,
        job: PromptJob,
        progress: JobProgress,
        actions: &mut Vec<SchedulerAction>,
    ) {
        if self.holds_request(&job.request) {
            return;
        }
        let request = job.request.clone();
        match self.admit_resubmitted(now, job, progress) {
            Ok(action) => actions.extend(action),
            Err(refusal) => {
                actions.push(refuse_action(request, refusal.reason, refusal.retry_after));
            }
        }
        self.shed_overload(now, actions);
    }

    fn admit_resubmitted(
        &mut self,
        now: Instant,
        job: PromptJob,
        progress: JobProgress,
    ) -> Result<Option<SchedulerAction>, PromptRefusal> {
        let pool = self.pools.intern(PoolKey::of(&job));
        let class = self.class_of(now, &job)?;
        let mut queued = self.queued_job(now, job, pool, class);
        queued.attempt = progress.attempts + 1;
        queued.failures = progress.failures;
        queued.resume_at = progress.delivered;
        self.forward_or_enqueue(now, queued, Some(Vec::new()))
    }

    /// Admits a prompt that arrived from a caller, or from the node `via`.
    pub(crate) fn admit(
        &mut self,
        now: Instant,
        job: PromptJob,
        via: Option<&NodeId>,
        actions: &mut Vec<SchedulerAction>,
    ) {
        if self.holds_request(&job.request) {
            return;
        }
        let request = job.request.clone();
        match self.admit_arrival(now, job, via) {
            Ok(action) => actions.extend(action),
            Err(refusal) => {
                actions.push(refuse_action(request, refusal.reason, refusal.retry_after));
            }
        }
        self.shed_overload(now, actions);
    }

    fn admit_arrival(
        &mut self,
        now: Instant,
        job: PromptJob,
        via: Option<&NodeId>,
    ) -> Result<Option<SchedulerAction>, PromptRefusal> {
        self.retries.deposit();
        if via.is_none() {
            self.admit_organisation(now, &job)?;
        }
        let pool = self.pools.intern(PoolKey::of(&job));
        let class = self.class_of(now, &job)?;
        let mut queued = self.queued_job(now, job, pool, class);
        queued.forwarded = via.is_some();
        let nodes_tried = via.is_none().then(Vec::new);
        self.forward_or_enqueue(now, queued, nodes_tried)
    }

    /// Checks the organisation's limits. Only the node that the caller reached
    /// does so.
    fn admit_organisation(&mut self, now: Instant, job: &PromptJob) -> Result<(), PromptRefusal> {
        let tokens = job.prompt_tokens.saturating_add(job.output_tokens);
        let admitted = self.limits.admit(now, &job.organisation, tokens);
        admitted.map_err(|wait| PromptRefusal::new(RefusalReason::OrganisationLimit, wait))?;
        self.admitted_requests
            .insert(job.request.clone(), job.organisation.clone());
        Ok(())
    }

    /// Forwards a prompt to a node outside `nodes_tried`, or queues it here.
    /// `None` rules out forwarding.
    pub(crate) fn forward_or_enqueue(
        &mut self,
        now: Instant,
        queued: QueuedJob,
        nodes_tried: Option<Vec<NodeId>>,
    ) -> Result<Option<SchedulerAction>, PromptRefusal> {
        let local = self.wait_estimate(now, &queued);
        if let Some(nodes_tried) = nodes_tried
            && let Some(node) = self.forward_target(now, &queued, local, &nodes_tried)
        {
            return Ok(Some(self.forward(now, queued, node, nodes_tried)));
        }
        let Some(estimate) = local else {
            return Err(PromptRefusal::new(
                RefusalReason::ModelNotReady,
                Duration::from_secs(2),
            ));
        };
        self.check_deadline(now, &queued, estimate)?;
        self.queue.push(queued, &mut self.shares);
        Ok(None)
    }

    fn queued_job(
        &mut self,
        now: Instant,
        job: PromptJob,
        pool: PoolIndex,
        class: LengthClass,
    ) -> QueuedJob {
        let organisation = self.shares.intern(&job.organisation, job.plan, job.weight);
        let (prefill_time, service) = self.prefill_and_service_time(now, &job, class);
        QueuedJob {
            organisation,
            pool,
            class,
            prefill_time,
            service,
            cost: job_cost(job.prompt_tokens, job.output_tokens),
            attempt: 1,
            resume_at: 0,
            failures: 0,
            forwarded: false,
            queued_since: now,
            job,
        }
    }

    /// The job's `prefill_time`, on its best engine or on a gang, and its
    /// `service` time, which adds the decode and the delay of the prefill by
    /// the recent load of short prompts. Neither includes the wait in the
    /// queue.
    fn prefill_and_service_time(
        &self,
        now: Instant,
        job: &PromptJob,
        class: LengthClass,
    ) -> (Duration, Duration) {
        let key = PoolKey::of(job);
        let mut engines = 0;
        let mut best: Option<(Duration, Duration)> = None;
        for view in self.engines.values() {
            if !key.can_run_on(view) {
                continue;
            }
            engines += 1;
            let cached = view.prefixes.cached_tokens(job);
            let profile = &view.report.profile;
            let prefill = view.speed.prefill(profile, cached, job.prompt_tokens);
            let decode = view.speed.decode(job.output_tokens);
            if best.is_none_or(|known| (prefill, decode) < known) {
                best = Some((prefill, decode));
            }
        }
        let Some((prefill, decode)) = best else {
            return (Duration::ZERO, Duration::ZERO);
        };
        let prefill = self.gang_speedup(job, class).map_or(prefill, |speedup| {
            duration_from_secs(prefill.as_secs_f64() / speedup)
        });
        let short_load_fraction = self
            .load_meter
            .as_ref()
            .map_or(0.0, |meter| meter.short_load_fraction(now, class, engines));
        let prefill_beside_short =
            duration_from_secs(prefill.as_secs_f64() / (1.0 - short_load_fraction));
        (prefill, prefill_beside_short + decode)
    }

    /// Expected wait and service time on this node's engines; `None` if no
    /// engine can run the prompt.
    pub(crate) fn wait_estimate(
        &mut self,
        now: Instant,
        queued: &QueuedJob,
    ) -> Option<WaitEstimate> {
        let wait = self.expected_wait(now, queued)?;
        Some(WaitEstimate {
            wait,
            service: queued.service,
        })
    }

    fn expected_wait(&mut self, now: Instant, queued: &QueuedJob) -> Option<Duration> {
        let key = PoolKey::of(&queued.job);
        let priority = engine_priority(self.urgency(queued), queued.job.prompt_tokens);
        let prompt = queued.job.prompt_tokens;
        let mut engines: u32 = 0;
        let mut shortest_wait: Option<Duration> = None;
        for view in self.engines.values_mut() {
            if !key.can_run_on(view) {
                continue;
            }
            view.advance_prefills(now);
            engines += 1;
            let wait = view.first_token_delay(&self.node, queued.class, priority, prompt);
            shortest_wait = Some(shortest_wait.map_or(wait, |known| known.min(wait)));
        }
        let work_queued_ahead = self.work_queued_ahead(queued);
        shortest_wait.map(|shortest_wait| shortest_wait + work_queued_ahead / engines.max(1))
    }

    /// Engine time queued ahead of a job, by length class, plan and fair share.
    fn work_queued_ahead(&self, queued: &QueuedJob) -> Duration {
        let plan = queued.job.plan;
        let mut own_plan_work = Duration::ZERO;
        let mut paying_work = Duration::ZERO;
        for class in LengthClass::ALL.into_iter().filter(|c| *c <= queued.class) {
            own_plan_work += self.queue.queued_prefill_time(queued.pool, class, plan);
        }
        if plan == PlanKind::Trial {
            for class in LengthClass::ALL {
                paying_work += self
                    .queue
                    .queued_prefill_time(queued.pool, class, PlanKind::Paying);
            }
        }
        let share_ahead = self.shares.fraction_ahead(queued.organisation, queued.cost);
        paying_work + own_plan_work.mul_f64(share_ahead)
    }

    /// Node to forward the prompt to, if any: the coordinator of a gang;
    /// otherwise a peer that is faster by enough, or any peer if no engine here
    /// can run the prompt.
    fn forward_target(
        &mut self,
        now: Instant,
        queued: &QueuedJob,
        local: Option<WaitEstimate>,
        nodes_tried: &[NodeId],
    ) -> Option<NodeId> {
        if queued.class == LengthClass::Gang {
            let node = self.gang_coordinator(now, &queued.job);
            return node.filter(|node| !nodes_tried.contains(node));
        }
        let gain_min = FORWARD_GAIN_MIN.max(queued.prefill_time.mul_f64(FORWARD_GAIN_FRACTION));
        if local.is_some_and(|local| local.wait <= gain_min) {
            return None;
        }
        let query = PeerQuery {
            job: &queued.job,
            class: queued.class,
            zone: &self.zone,
            nodes_tried,
            lifetime: self.settings.summary_lifetime,
        };
        let offer = self.peers.choose_peer(now, &query, &mut self.rng)?;
        match local {
            Some(local) if offer.wait + FORWARD_LATENCY + gain_min > local.wait => None,
            _ => Some(offer.node),
        }
    }

    /// Refuses a prompt whose answer is not expected to be complete by its
    /// deadline. If it is a trial prompt that would have to wait, the reason is
    /// `TrialShed`.
    fn check_deadline(
        &mut self,
        now: Instant,
        queued: &QueuedJob,
        estimate: WaitEstimate,
    ) -> Result<(), PromptRefusal> {
        let verdict = self.deadline_gate.check(now, &queued.job, estimate);
        let GateVerdict::Refuse { retry_after } = verdict else {
            return Ok(());
        };
        let trial = queued.job.plan == PlanKind::Trial && !estimate.wait.is_zero();
        let reason = if trial {
            RefusalReason::TrialShed
        } else {
            RefusalReason::DeadlineUnreachable
        };
        Err(PromptRefusal::new(reason, retry_after))
    }

    /// Refuses queued work, trial prompts first, until the queue is within its
    /// bounds.
    fn shed_overload(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        while !self.queue.is_within(self.settings.queue) {
            let trial = self.queue.evict(PlanKind::Trial, &mut self.shares);
            let (shed, reason) = match trial {
                Some(shed) => (Some(shed), RefusalReason::TrialShed),
                None => (
                    self.queue.evict(PlanKind::Paying, &mut self.shares),
                    RefusalReason::QueueFull,
                ),
            };
            let Some(shed) = shed else {
                return;
            };
            let retry_after = self.retry_after(now, &shed);
            actions.push(refuse_action(shed.job.request, reason, retry_after));
        }
    }

    /// Time after which the caller should retry: the expected wait of a prompt
    /// like `queued` if it arrived now, clamped by `DeadlineGate::retry_after`.
    pub(crate) fn retry_after(&mut self, now: Instant, queued: &QueuedJob) -> Duration {
        let wait = self.expected_wait(now, queued).unwrap_or_default();
        DeadlineGate::retry_after(wait)
    }

    /// Whether a current summary of another node lists the prompt's pool.
    pub(crate) fn peer_serves_pool(&self, now: Instant, job: &PromptJob) -> bool {
        let key = PoolKeyRef::of(job);
        self.peers
            .current(now, self.settings.summary_lifetime)
            .any(|peer| peer.pool(key).is_some())
    }
}
