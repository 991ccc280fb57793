//! What becomes of a prompt when it arrives: forwarded, refused or queued.

use std::time::{Duration, Instant};

use admission::{
    DeadlineGate, GateVerdict, LengthClass, PoolIndex, QueuedJob, WaitEstimate, job_cost,
};
use types::{AttemptId, NodeId, PlanKind, PromptJob, TokenCount};

use crate::{
    NodeScheduler, RefusalReason, SchedulerAction,
    estimate::seconds,
    peers::{OfferQuery, PoolNeed},
    placement::engine_priority,
    pool::PoolKey,
    scheduler::refusal,
};

/// Time a prompt takes to another node.
const HOP: Duration = Duration::from_millis(2);
/// Gain over the wait here that a hop must bring.
const HOP_GAIN: Duration = Duration::from_millis(4);

/// Gain that a hop must bring, as a part of the prompt's prefill.
const HOP_GAIN_PART: f64 = 0.08;

/// Why a prompt is turned away, and when it may come back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rejection {
    pub(crate) reason: RefusalReason,
    pub(crate) retry_after: Duration,
}

impl Rejection {
    pub(crate) fn new(reason: RefusalReason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after: DeadlineGate::retry_after(retry_after),
        }
    }
}

/// How far a prompt had got before it waited.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobProgress {
    pub(crate) attempts: AttemptId,
    pub(crate) failures: u32,
    pub(crate) delivered: TokenCount,
}

impl NodeScheduler {
    /// Takes a prompt that waited for its model to be ready.
    pub(crate) fn come_back(
        &mut self,
        now: Instant,
        job: PromptJob,
        progress: JobProgress,
        actions: &mut Vec<SchedulerAction>,
    ) {
        if self.knows(&job.request) {
            return;
        }
        let request = job.request.clone();
        match self.reconsider(now, job, progress) {
            Ok(action) => actions.extend(action),
            Err(rejection) => {
                actions.push(refusal(request, rejection.reason, rejection.retry_after));
            }
        }
        self.make_room(now, actions);
    }

    fn reconsider(
        &mut self,
        now: Instant,
        job: PromptJob,
        progress: JobProgress,
    ) -> Result<Option<SchedulerAction>, Rejection> {
        let pool = self.pools.intern(PoolKey::of(&job));
        let class = self.class_of(now, &job)?;
        let mut queued = self.queued_job(now, job, pool, class);
        queued.attempt = progress.attempts + 1;
        queued.failures = progress.failures;
        queued.resume_at = progress.delivered;
        self.settle(now, queued, Some(Vec::new()))
    }

    pub(crate) fn arrive(
        &mut self,
        now: Instant,
        job: PromptJob,
        via: Option<&NodeId>,
        actions: &mut Vec<SchedulerAction>,
    ) {
        if self.knows(&job.request) {
            return;
        }
        let request = job.request.clone();
        match self.consider(now, job, via) {
            Ok(action) => actions.extend(action),
            Err(rejection) => {
                actions.push(refusal(request, rejection.reason, rejection.retry_after));
            }
        }
        self.make_room(now, actions);
    }

    fn consider(
        &mut self,
        now: Instant,
        job: PromptJob,
        via: Option<&NodeId>,
    ) -> Result<Option<SchedulerAction>, Rejection> {
        self.retries.earn();
        if via.is_none() {
            self.enter(now, &job)?;
        }
        let pool = self.pools.intern(PoolKey::of(&job));
        let class = self.class_of(now, &job)?;
        let mut queued = self.queued_job(now, job, pool, class);
        queued.forwarded = via.is_some();
        let handed = via.is_none().then(Vec::new);
        self.settle(now, queued, handed)
    }

    /// Holds the organisation to its limits, on the node its caller reached.
    fn enter(&mut self, now: Instant, job: &PromptJob) -> Result<(), Rejection> {
        let tokens = job.prompt_tokens.saturating_add(job.output_tokens);
        let admitted = self.limits.admit(now, &job.organisation, tokens);
        admitted.map_err(|wait| Rejection::new(RefusalReason::OrganisationLimit, wait))?;
        self.entered
            .insert(job.request.clone(), job.organisation.clone());
        Ok(())
    }

    /// Forwards a prompt, unless `handed` forbids it, or queues it here.
    pub(crate) fn settle(
        &mut self,
        now: Instant,
        queued: QueuedJob,
        handed: Option<Vec<NodeId>>,
    ) -> Result<Option<SchedulerAction>, Rejection> {
        let local = self.estimate(now, &queued);
        if let Some(handed) = handed
            && let Some(node) = self.better_node(now, &queued, local, &handed)
        {
            return Ok(Some(self.forward(now, queued, node, handed)));
        }
        let Some(estimate) = local else {
            return Err(Rejection::new(
                RefusalReason::ModelNotReady,
                Duration::from_secs(2),
            ));
        };
        self.admit(now, &queued, estimate)?;
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
        let (prefill_time, service) = self.job_times(now, &job, class);
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

    /// Engine time of the prefill, and time to the whole answer while shorter
    /// work runs beside it.
    fn job_times(&self, now: Instant, job: &PromptJob, class: LengthClass) -> (Duration, Duration) {
        let key = PoolKey::of(job);
        let mut engines = 0;
        let mut best: Option<(Duration, Duration)> = None;
        for view in self.engines.values() {
            if !key.usable(view) {
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
        let prefill = self
            .gang_pace(job, class)
            .map_or(prefill, |pace| seconds(prefill.as_secs_f64() / pace));
        let shorter = self
            .meter
            .as_ref()
            .map_or(0.0, |load| load.shorter(now, class, engines));
        let stretched = seconds(prefill.as_secs_f64() / (1.0 - shorter));
        (prefill, stretched + decode)
    }

    /// What a prompt meets on this node's engines; `None` without engines.
    pub(crate) fn estimate(&mut self, now: Instant, queued: &QueuedJob) -> Option<WaitEstimate> {
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
        let mut least: Option<Duration> = None;
        for view in self.engines.values_mut() {
            if !key.usable(view) {
                continue;
            }
            view.advance(now);
            engines += 1;
            let wait = view.delay(&self.node, queued.class, priority, prompt);
            least = Some(least.map_or(wait, |known| known.min(wait)));
        }
        let queued_ahead = self.queued_ahead(queued);
        least.map(|least| least + queued_ahead / engines.max(1))
    }

    /// Engine time that waits ahead of a job, by class, plan and fair share.
    fn queued_ahead(&self, queued: &QueuedJob) -> Duration {
        let plan = queued.job.plan;
        let mut same = Duration::ZERO;
        let mut before = Duration::ZERO;
        for class in LengthClass::ALL.into_iter().filter(|c| *c <= queued.class) {
            same += self.queue.queued_work(queued.pool, class, plan);
        }
        if plan == PlanKind::Trial {
            for class in LengthClass::ALL {
                before += self.queue.queued_work(queued.pool, class, PlanKind::Paying);
            }
        }
        let part = self.shares.fraction_ahead(queued.organisation, queued.cost);
        before + same.mul_f64(part)
    }

    /// Another node where the prompt is expected to start sooner.
    fn better_node(
        &mut self,
        now: Instant,
        queued: &QueuedJob,
        local: Option<WaitEstimate>,
        handed: &[NodeId],
    ) -> Option<NodeId> {
        if queued.class == LengthClass::Gang {
            let node = self.gang_node(now, &queued.job);
            return node.filter(|node| !handed.contains(node));
        }
        let gain = HOP_GAIN.max(queued.prefill_time.mul_f64(HOP_GAIN_PART));
        if local.is_some_and(|local| local.wait <= gain) {
            return None;
        }
        let query = OfferQuery {
            job: &queued.job,
            class: queued.class,
            zone: &self.zone,
            handed,
            lifetime: self.settings.summary_lifetime,
        };
        let offer = self.peers.offer(now, &query, &mut self.rng)?;
        match local {
            Some(local) if offer.wait + HOP + gain > local.wait => None,
            _ => Some(offer.node),
        }
    }

    fn admit(
        &mut self,
        now: Instant,
        queued: &QueuedJob,
        estimate: WaitEstimate,
    ) -> Result<(), Rejection> {
        let verdict = self.gate.check(now, &queued.job, estimate);
        let GateVerdict::Refuse { retry_after } = verdict else {
            return Ok(());
        };
        let trial = queued.job.plan == PlanKind::Trial && !estimate.wait.is_zero();
        let reason = if trial {
            RefusalReason::TrialShed
        } else {
            RefusalReason::DeadlineUnreachable
        };
        Err(Rejection::new(reason, retry_after))
    }

    /// Sheds work of the lowest value while the queue is over its bounds.
    fn make_room(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
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
            actions.push(refusal(shed.job.request, reason, retry_after));
        }
    }

    /// Time after which a prompt like this one would start soon enough.
    pub(crate) fn retry_after(&mut self, now: Instant, queued: &QueuedJob) -> Duration {
        let wait = self.expected_wait(now, queued).unwrap_or_default();
        DeadlineGate::retry_after(wait)
    }

    /// Whether another node has the pool; its summary says so.
    pub(crate) fn has_peer_with(&self, now: Instant, job: &PromptJob) -> bool {
        let need = PoolNeed::of(job);
        self.peers
            .fresh(now, self.settings.summary_lifetime)
            .any(|peer| peer.pool(need).is_some())
    }
}
