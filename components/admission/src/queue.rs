//! What waits on a node, in fair order.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
    time::{Duration, Instant},
};

use types::{AttemptId, PlanKind, PromptJob, RequestId, TokenCount};

use crate::{LengthClass, OrganisationIndex, ShareTable, VirtualTokens};

/// Names one set of engines that serve the same model, version and adapter.
pub type PoolIndex = u32;

/// Waiting time that weighs as much as one second of engine time: long
/// work waits at most this many times its own length behind shorter work of
/// its organisation.
const AGEING_FACTOR: u32 = 4;

/// Most that may wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueBounds {
    /// Requests.
    pub requests: usize,
    /// Prompt tokens.
    pub tokens: TokenCount,
}

/// One prompt that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedJob {
    /// The prompt.
    pub job: PromptJob,
    /// Its organisation.
    pub organisation: OrganisationIndex,
    /// The engines it can run on.
    pub pool: PoolIndex,
    /// Its length.
    pub class: LengthClass,
    /// Engine time that its prefill takes.
    pub prefill_time: Duration,
    /// Time from its start to its whole answer.
    pub service: Duration,
    /// Cost charged to its organisation when it starts.
    pub cost: TokenCount,
    /// The attempt to start next.
    pub attempt: AttemptId,
    /// Answer tokens the caller has already.
    pub resume_at: TokenCount,
    /// Whether another node forwarded it here.
    pub forwarded: bool,
    /// Attempts that failed on their engines.
    pub failures: u32,
    /// When it began to wait.
    pub queued_since: Instant,
}

impl QueuedJob {
    /// Last moment at which a start can still meet the deadline.
    #[must_use]
    pub fn latest_start(&self) -> Instant {
        self.job
            .deadline
            .checked_sub(self.service)
            .unwrap_or(self.queued_since)
    }
}

/// Orders the jobs of one organisation: shortest first, with ageing. The
/// order of two jobs never changes while they wait.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct JobKey {
    aged: Instant,
    sequence: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct LaneKey {
    pool: PoolIndex,
    class: LengthClass,
    plan: PlanKind,
}

/// Jobs of one pool, class and plan. `order` may hold outdated counters;
/// they are corrected when they come to the top.
#[derive(Debug, Default)]
struct QueueLane {
    order: BinaryHeap<Reverse<(VirtualTokens, OrganisationIndex)>>,
    ordered: BTreeSet<OrganisationIndex>,
    jobs: HashMap<OrganisationIndex, BTreeMap<JobKey, QueuedJob>>,
    count: usize,
    work: Duration,
}

#[derive(Clone, Copy, Debug)]
struct JobPlace {
    lane: LaneKey,
    organisation: OrganisationIndex,
    key: JobKey,
    latest_start: Instant,
}

/// Everything that waits: paying before trial, organisations by counter,
/// and each organisation's jobs shortest first with ageing.
#[derive(Debug, Default)]
pub struct FairQueue {
    lanes: BTreeMap<LaneKey, QueueLane>,
    places: HashMap<RequestId, JobPlace>,
    expiry: BTreeMap<(Instant, u64), RequestId>,
    sequence: u64,
    tokens: TokenCount,
}

impl FairQueue {
    /// Jobs that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Whether the request waits.
    #[must_use]
    pub fn contains(&self, request: &RequestId) -> bool {
        self.places.contains_key(request)
    }

    /// Engine time of a request that waits.
    #[must_use]
    pub fn job_work(&self, request: &RequestId) -> Option<Duration> {
        let place = self.places.get(request)?;
        let lane = self.lanes.get(&place.lane)?;
        let job = lane.jobs.get(&place.organisation)?.get(&place.key)?;
        Some(job.prefill_time)
    }

    /// Whether what waits is within the bounds.
    #[must_use]
    pub fn is_within(&self, bounds: QueueBounds) -> bool {
        self.places.len() <= bounds.requests && self.tokens <= bounds.tokens
    }

    /// Engine time that waits in one lane.
    #[must_use]
    pub fn queued_work(&self, pool: PoolIndex, class: LengthClass, plan: PlanKind) -> Duration {
        let key = LaneKey { pool, class, plan };
        self.lanes
            .get(&key)
            .map_or(Duration::ZERO, |lane| lane.work)
    }

    /// Engine time that waits in the lanes of a class and all shorter ones.
    #[must_use]
    pub fn queued_work_up_to(
        &self,
        pool: PoolIndex,
        class: LengthClass,
        plan: PlanKind,
    ) -> Duration {
        LengthClass::ALL
            .into_iter()
            .filter(|shorter| *shorter <= class)
            .map(|shorter| self.queued_work(pool, shorter, plan))
            .sum()
    }

    /// Adds a job; one that waits already stays as it is.
    pub fn push(&mut self, job: QueuedJob, shares: &mut ShareTable) {
        if self.places.contains_key(&job.job.request) {
            return;
        }
        self.sequence += 1;
        let key = JobKey {
            aged: job.queued_since + job.prefill_time * AGEING_FACTOR,
            sequence: self.sequence,
        };
        let lane_key = LaneKey {
            pool: job.pool,
            class: job.class,
            plan: job.job.plan,
        };
        let place = JobPlace {
            lane: lane_key,
            organisation: job.organisation,
            key,
            latest_start: job.latest_start(),
        };
        shares.enqueue(job.organisation, job.cost);
        self.tokens = self.tokens.saturating_add(job.job.prompt_tokens);
        self.expiry
            .insert((place.latest_start, key.sequence), job.job.request.clone());
        self.places.insert(job.job.request.clone(), place);
        self.lanes
            .entry(lane_key)
            .or_default()
            .push(key, job, shares);
    }

    /// The job of a pool and class that is served next: a trial one if its
    /// engine time is within `floor`, else a paying one, else a trial one.
    pub fn head(
        &mut self,
        pool: PoolIndex,
        class: LengthClass,
        shares: &ShareTable,
        floor: Duration,
    ) -> Option<&QueuedJob> {
        let trial = self.lane_work(pool, class, PlanKind::Trial, shares);
        let within_floor = trial.is_some_and(|work| work <= floor);
        let paying = LaneKey {
            pool,
            class,
            plan: PlanKind::Paying,
        };
        let plan = if self.lanes.contains_key(&paying) && !within_floor {
            PlanKind::Paying
        } else {
            PlanKind::Trial
        };
        let key = LaneKey { pool, class, plan };
        self.lanes.get_mut(&key)?.head(shares)
    }

    /// Takes a job out to start it, and charges its organisation.
    pub fn start(&mut self, request: &RequestId, shares: &mut ShareTable) -> Option<QueuedJob> {
        let job = self.remove(request, shares)?;
        shares.charge(job.organisation, job.cost);
        Some(job)
    }

    /// Takes a job out because it ended in another way.
    pub fn remove(&mut self, request: &RequestId, shares: &mut ShareTable) -> Option<QueuedJob> {
        let place = self.places.remove(request)?;
        self.expiry
            .remove(&(place.latest_start, place.key.sequence));
        let lane = self.lanes.get_mut(&place.lane)?;
        let job = lane.remove(place.organisation, place.key)?;
        if lane.count == 0 {
            self.lanes.remove(&place.lane);
        }
        self.tokens = self.tokens.saturating_sub(job.job.prompt_tokens);
        shares.dequeue(job.organisation, job.cost);
        Some(job)
    }

    /// Takes out one job that can't meet its deadline any more.
    pub fn expire(&mut self, now: Instant, shares: &mut ShareTable) -> Option<QueuedJob> {
        let ((latest_start, _), request) = self.expiry.first_key_value()?;
        if *latest_start >= now {
            return None;
        }
        let request = request.clone();
        self.remove(&request, shares)
    }

    /// Takes out some job of a pool.
    pub fn take_any(&mut self, pool: PoolIndex, shares: &mut ShareTable) -> Option<QueuedJob> {
        let lane = self.lanes.iter().find(|(lane, _)| lane.pool == pool)?.1;
        let job = lane.jobs.values().next()?.values().next()?;
        let request = job.job.request.clone();
        self.remove(&request, shares)
    }

    /// Takes out the job of the lowest value of a plan: the last of the
    /// organisation that was served most.
    pub fn evict(&mut self, plan: PlanKind, shares: &mut ShareTable) -> Option<QueuedJob> {
        let organisation = shares.waiting_highest_first(plan).next()?;
        let (lane, key) = self
            .lanes
            .iter()
            .filter(|(lane, _)| lane.plan == plan)
            .filter_map(|(lane, queue)| Some((*lane, queue.last(organisation)?)))
            .max_by_key(|(_, key)| *key)?;
        let job = self.lanes.get(&lane)?.jobs.get(&organisation)?.get(&key)?;
        let request = job.job.request.clone();
        self.remove(&request, shares)
    }

    /// Pools that have something waiting.
    #[must_use]
    pub fn pools(&self) -> Vec<PoolIndex> {
        let mut pools: Vec<PoolIndex> = self.lanes.keys().map(|lane| lane.pool).collect();
        pools.dedup();
        pools
    }

    fn lane_work(
        &mut self,
        pool: PoolIndex,
        class: LengthClass,
        plan: PlanKind,
        shares: &ShareTable,
    ) -> Option<Duration> {
        let key = LaneKey { pool, class, plan };
        let job = self.lanes.get_mut(&key)?.head(shares)?;
        Some(job.prefill_time)
    }
}

impl QueueLane {
    fn push(&mut self, key: JobKey, job: QueuedJob, shares: &ShareTable) {
        let organisation = job.organisation;
        self.count += 1;
        self.work += job.prefill_time;
        self.jobs.entry(organisation).or_default().insert(key, job);
        if self.ordered.insert(organisation) {
            let counter = shares.counter(organisation);
            self.order.push(Reverse((counter, organisation)));
        }
    }

    fn head(&mut self, shares: &ShareTable) -> Option<&QueuedJob> {
        loop {
            let Reverse((counter, organisation)) = self.order.peek().copied()?;
            if !self.jobs.contains_key(&organisation) {
                self.order.pop();
                self.ordered.remove(&organisation);
                continue;
            }
            let current = shares.counter(organisation);
            if current == counter {
                let jobs = self.jobs.get(&organisation)?;
                return jobs.first_key_value().map(|(_, job)| job);
            }
            self.order.pop();
            self.order.push(Reverse((current, organisation)));
        }
    }

    fn remove(&mut self, organisation: OrganisationIndex, key: JobKey) -> Option<QueuedJob> {
        let jobs = self.jobs.get_mut(&organisation)?;
        let job = jobs.remove(&key)?;
        if jobs.is_empty() {
            self.jobs.remove(&organisation);
        }
        self.count -= 1;
        self.work = self.work.saturating_sub(job.prefill_time);
        Some(job)
    }

    fn last(&self, organisation: OrganisationIndex) -> Option<JobKey> {
        let jobs = self.jobs.get(&organisation)?;
        jobs.last_key_value().map(|(key, _)| *key)
    }
}
