//! Queue of the prompts that wait on a node, in fair order.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use types::{AttemptId, PlanKind, PromptJob, RequestId, TokenCount};

use crate::{LengthClass, OrganisationIndex, ShareTable, lane::FairLane};

/// Index of a pool: the engines that serve the same model, version and adapter.
pub type PoolIndex = u32;

/// Factor of the prefill time in the sort key of an organisation's jobs. A later
/// job can overtake a job only if it is shorter and arrives within this many
/// times the prefill time of the overtaken job.
const AGEING_FACTOR: u32 = 4;

/// Upper bounds of the queue on one node, from the settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueBounds {
    /// Maximum number of queued requests.
    pub requests: usize,
    /// Maximum sum of the queued prompts' lengths, in tokens.
    pub tokens: TokenCount,
}

/// One queued prompt, with its estimates and its state over attempts.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedJob {
    /// Metadata of the prompt, without its text.
    pub job: PromptJob,
    /// Index of the prompt's organisation in the `ShareTable`.
    pub organisation: OrganisationIndex,
    /// Pool of the engines that can run the prompt.
    pub pool: PoolIndex,
    /// Length class, which selects the queue lane.
    pub class: LengthClass,
    /// Estimated engine time of the prefill.
    pub prefill_time: Duration,
    /// Estimated time from the start on an engine to the end of the answer.
    pub service: Duration,
    /// Cost charged to the organisation at the start, as `job_cost` returns it.
    pub cost: TokenCount,
    /// Number of the next attempt.
    pub attempt: AttemptId,
    /// Number of answer tokens that the caller received from earlier attempts;
    /// the next attempt continues after them.
    pub resume_at: TokenCount,
    /// Whether another node forwarded the prompt to this one.
    pub forwarded: bool,
    /// Number of attempts that failed on an engine.
    pub failures: u32,
    /// Time at which the prompt was queued.
    pub queued_since: Instant,
}

impl QueuedJob {
    /// Latest start at which the answer is still expected by the deadline.
    #[must_use]
    pub fn latest_start(&self) -> Instant {
        self.job
            .deadline
            .checked_sub(self.service)
            .unwrap_or(self.queued_since)
    }
}

/// Sort key of the jobs of one organisation: shortest first, with ageing. The
/// key is fixed when a job is queued, so the order of two queued jobs never
/// changes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct JobKey {
    /// Time of queueing plus `AGEING_FACTOR` times the prefill time.
    priority_time: Instant,
    sequence: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct LaneKey {
    pool: PoolIndex,
    class: LengthClass,
    plan: PlanKind,
}

/// Queued jobs of one pool, class and plan.
#[derive(Debug, Default)]
struct QueueLane {
    jobs: FairLane<JobKey, QueuedJob>,
    prefill_time: Duration,
}

#[derive(Clone, Copy, Debug)]
struct JobLocation {
    lane: LaneKey,
    organisation: OrganisationIndex,
    key: JobKey,
    latest_start: Instant,
}

/// All queued jobs of a node.
///
/// Within one pool and length class, paying jobs go before trial jobs, except
/// for trial jobs that fit into the trial budget. Organisations are served by
/// lowest counter first, and each organisation's jobs shortest first with ageing.
#[derive(Debug, Default)]
pub struct FairQueue {
    lanes: BTreeMap<LaneKey, QueueLane>,
    locations: HashMap<RequestId, JobLocation>,
    by_latest_start: BTreeMap<(Instant, u64), RequestId>,
    sequence: u64,
    tokens: TokenCount,
}

impl FairQueue {
    /// Number of queued jobs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Whether no job is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Whether the request is queued here.
    #[must_use]
    pub fn contains(&self, request: &RequestId) -> bool {
        self.locations.contains_key(request)
    }

    /// Prefill time of a queued request; `None` if it is not queued here.
    #[must_use]
    pub fn prefill_time_of(&self, request: &RequestId) -> Option<Duration> {
        let location = self.locations.get(request)?;
        let lane = self.lanes.get(&location.lane)?;
        let job = lane.jobs.get(location.organisation, location.key)?;
        Some(job.prefill_time)
    }

    /// Whether the queue is within the bounds.
    #[must_use]
    pub fn is_within(&self, bounds: QueueBounds) -> bool {
        self.locations.len() <= bounds.requests && self.tokens <= bounds.tokens
    }

    /// Total prefill time of the jobs in one lane.
    #[must_use]
    pub fn queued_prefill_time(
        &self,
        pool: PoolIndex,
        class: LengthClass,
        plan: PlanKind,
    ) -> Duration {
        let key = LaneKey { pool, class, plan };
        self.lanes
            .get(&key)
            .map_or(Duration::ZERO, |lane| lane.prefill_time)
    }

    /// Total prefill time of the jobs in the lanes of `class` and all shorter
    /// classes.
    #[must_use]
    pub fn queued_prefill_time_up_to(
        &self,
        pool: PoolIndex,
        class: LengthClass,
        plan: PlanKind,
    ) -> Duration {
        LengthClass::ALL
            .into_iter()
            .filter(|shorter| *shorter <= class)
            .map(|shorter| self.queued_prefill_time(pool, shorter, plan))
            .sum()
    }

    /// Adds a job and counts it in `shares`; does nothing if its request is
    /// queued already.
    pub fn push(&mut self, job: QueuedJob, shares: &mut ShareTable) {
        if self.locations.contains_key(&job.job.request) {
            return;
        }
        self.sequence += 1;
        let key = JobKey {
            priority_time: job.queued_since + job.prefill_time * AGEING_FACTOR,
            sequence: self.sequence,
        };
        let lane_key = LaneKey {
            pool: job.pool,
            class: job.class,
            plan: job.job.plan,
        };
        let location = JobLocation {
            lane: lane_key,
            organisation: job.organisation,
            key,
            latest_start: job.latest_start(),
        };
        shares.count_queued(job.organisation, job.cost);
        self.tokens = self.tokens.saturating_add(job.job.prompt_tokens);
        self.by_latest_start.insert(
            (location.latest_start, key.sequence),
            job.job.request.clone(),
        );
        self.locations.insert(job.job.request.clone(), location);
        self.lanes
            .entry(lane_key)
            .or_default()
            .push(key, job, shares);
    }

    /// Next job to serve of a pool and class: the first trial job if its prefill
    /// time is at most `trial_budget`, else a paying job, else a trial job.
    ///
    /// `trial_budget` is the engine time that trial work may still use ahead of
    /// paying work, as `TrialBudget::available` returns it.
    pub fn head(
        &mut self,
        pool: PoolIndex,
        class: LengthClass,
        shares: &ShareTable,
        trial_budget: Duration,
    ) -> Option<&QueuedJob> {
        let trial_time = self.head_prefill_time(pool, class, PlanKind::Trial, shares);
        let within_budget = trial_time.is_some_and(|time| time <= trial_budget);
        let paying = LaneKey {
            pool,
            class,
            plan: PlanKind::Paying,
        };
        let plan = if self.lanes.contains_key(&paying) && !within_budget {
            PlanKind::Paying
        } else {
            PlanKind::Trial
        };
        let key = LaneKey { pool, class, plan };
        self.lanes.get_mut(&key)?.jobs.head(shares)
    }

    /// Removes a job in order to start it, and charges its cost to its
    /// organisation.
    pub fn take_to_start(
        &mut self,
        request: &RequestId,
        shares: &mut ShareTable,
    ) -> Option<QueuedJob> {
        let job = self.remove(request, shares)?;
        shares.charge(job.organisation, job.cost);
        Some(job)
    }

    /// Removes a job that is not started here, without charging its organisation.
    pub fn remove(&mut self, request: &RequestId, shares: &mut ShareTable) -> Option<QueuedJob> {
        let location = self.locations.remove(request)?;
        self.by_latest_start
            .remove(&(location.latest_start, location.key.sequence));
        let lane = self.lanes.get_mut(&location.lane)?;
        let job = lane.remove(location.organisation, location.key)?;
        if lane.jobs.len() == 0 {
            self.lanes.remove(&location.lane);
        }
        self.tokens = self.tokens.saturating_sub(job.job.prompt_tokens);
        shares.count_dequeued(job.organisation, job.cost);
        Some(job)
    }

    /// Removes and returns one job whose latest start has passed.
    pub fn expire(&mut self, now: Instant, shares: &mut ShareTable) -> Option<QueuedJob> {
        let ((latest_start, _), request) = self.by_latest_start.first_key_value()?;
        if *latest_start >= now {
            return None;
        }
        let request = request.clone();
        self.remove(&request, shares)
    }

    /// Removes and returns an arbitrary job of a pool; `None` when it has none.
    pub fn take_any(&mut self, pool: PoolIndex, shares: &mut ShareTable) -> Option<QueuedJob> {
        let lane = self.lanes.iter().find(|(lane, _)| lane.pool == pool)?.1;
        let job = lane.jobs.any()?;
        let request = job.job.request.clone();
        self.remove(&request, shares)
    }

    /// Removes and returns the job of a plan that is served last: the last job
    /// of the organisation with the highest counter.
    pub fn evict(&mut self, plan: PlanKind, shares: &mut ShareTable) -> Option<QueuedJob> {
        let organisation = shares.waiting_highest_first(plan).next()?;
        let (lane, key) = self
            .lanes
            .iter()
            .filter(|(lane, _)| lane.plan == plan)
            .filter_map(|(lane, queue)| Some((*lane, queue.jobs.last_key(organisation)?)))
            .max_by_key(|(_, key)| *key)?;
        let job = self.lanes.get(&lane)?.jobs.get(organisation, key)?;
        let request = job.job.request.clone();
        self.remove(&request, shares)
    }

    /// Pools with queued jobs, without duplicates.
    #[must_use]
    pub fn pools(&self) -> Vec<PoolIndex> {
        let mut pools: Vec<PoolIndex> = self.lanes.keys().map(|lane| lane.pool).collect();
        pools.dedup();
        pools
    }

    fn head_prefill_time(
        &mut self,
        pool: PoolIndex,
        class: LengthClass,
        plan: PlanKind,
        shares: &ShareTable,
    ) -> Option<Duration> {
        let key = LaneKey { pool, class, plan };
        let job = self.lanes.get_mut(&key)?.jobs.head(shares)?;
        Some(job.prefill_time)
    }
}

impl QueueLane {
    fn push(&mut self, key: JobKey, job: QueuedJob, shares: &ShareTable) {
        self.prefill_time += job.prefill_time;
        self.jobs.push(job.organisation, key, job, shares);
    }

    fn remove(&mut self, organisation: OrganisationIndex, key: JobKey) -> Option<QueuedJob> {
        let job = self.jobs.remove(organisation, key)?;
        self.prefill_time = self.prefill_time.saturating_sub(job.prefill_time);
        Some(job)
    }
}
