//! Finds the upstream of a request, and waits for a better one while the
//! request's latency goal allows it.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use dispatch::{
    LatencyGoals, Placement, PlacementRefusal, PlacementRequest, PlacementWait, UpstreamEntry,
    UpstreamHealth, place_plain_request, place_prompt,
};
use types::UpstreamId;

use crate::{forward::ForwardJob, leg::UpstreamAttempt, state::Gateway};

/// Pause between two placement attempts.
pub(crate) const PLACEMENT_RETRY_PAUSE: Duration = Duration::from_millis(25);
/// Share of the latency goal for which a prompt may wait for a better placement;
/// the rest is left for its prefill.
const PLACEMENT_WAIT_SHARE: f64 = 0.6;
/// Limit of the same wait, as a share of the time until the request's deadline.
const PLACEMENT_DEADLINE_SHARE: f64 = 0.4;
/// Share of the latency goal during which a prompt accepts only a placement that
/// prefills it within [`FAST_PREFILL_SHARE`]. This wait is several times as long as a
/// usual prefill.
const FAST_PREFILL_WAIT_SHARE: f64 = 0.25;
/// Share of the latency goal that the prefill may take at most during
/// [`FAST_PREFILL_WAIT_SHARE`].
const FAST_PREFILL_SHARE: f64 = 0.4;
/// Share of the latency goal by which the prefill should have ended, so that the
/// first event is in time.
const PREFILL_END_SHARE: f64 = 0.9;
/// Share of the latency goal for which a prompt waits for enough idle engines,
/// before its caller is told to retry later.
const IDLE_ENGINES_WAIT_SHARE: f64 = 0.125;

/// Placement of a request that counts in the load of its engines.
pub(crate) struct PlacedRequest {
    pub(crate) placement: Placement,
    pub(crate) attempt: UpstreamAttempt,
}

/// Outcome of one look for a placement.
enum PlacementStep {
    Placed(Box<PlacedRequest>),
    Refused(PlacementRefusal),
    /// A later look may find a better placement.
    Wait,
}

/// Waits for a placement that doesn't slow down other requests, and accepts any
/// other once the request has waited as long as its goal allows.
pub(crate) async fn find_placement(
    gateway: &Rc<Gateway>,
    job: &Rc<ForwardJob>,
    tried: &[UpstreamId],
) -> Result<Box<PlacedRequest>, PlacementRefusal> {
    loop {
        match try_to_place(gateway, job, tried) {
            PlacementStep::Placed(placed) => return Ok(placed),
            PlacementStep::Refused(refusal) => return Err(refusal),
            PlacementStep::Wait => gateway.clock.sleep(PLACEMENT_RETRY_PAUSE).await,
        }
    }
}

/// Longest time from its arrival for which a request may wait for a better placement.
fn longest_wait(job: &ForwardJob) -> Duration {
    let time_limit = job.deadline.saturating_duration_since(job.arrived);
    let longest_wait = job.route.latency_goal.mul_f64(PLACEMENT_WAIT_SHARE);
    longest_wait.min(time_limit.mul_f64(PLACEMENT_DEADLINE_SHARE))
}

/// What a request accepts after the time that it has waited.
fn wait_limits(job: &ForwardJob, now: Instant) -> PlacementWait {
    let waited = now.saturating_duration_since(job.arrived);
    if waited >= longest_wait(job) {
        PlacementWait::Expired
    } else {
        prefill_limits(job.route.latency_goal, waited)
    }
}

/// Looks for a placement that the request accepts now, and counts it as load.
fn try_to_place(gateway: &Rc<Gateway>, job: &ForwardJob, tried: &[UpstreamId]) -> PlacementStep {
    let now = gateway.now();
    let wait_limits = wait_limits(job, now);
    let late = wait_limits == PlacementWait::Expired;
    let waited = now.saturating_duration_since(job.arrived);
    let idle_engines_wait = job.route.latency_goal.mul_f64(IDLE_ENGINES_WAIT_SHARE);
    match try_placement(gateway, job, tried, wait_limits) {
        Ok(placement) if placement.keeps_event_gaps || late => {
            let Some(attempt) = UpstreamAttempt::register(gateway, job, &placement) else {
                return PlacementStep::Refused(PlacementRefusal::NoUpstream);
            };
            PlacementStep::Placed(Box::new(PlacedRequest { placement, attempt }))
        }
        Err(PlacementRefusal::NeedsIdleEngines) if late || waited >= idle_engines_wait => {
            PlacementStep::Refused(PlacementRefusal::NeedsIdleEngines)
        }
        Ok(_) => PlacementStep::Wait,
        Err(PlacementRefusal::Full | PlacementRefusal::NeedsIdleEngines) if !late => {
            PlacementStep::Wait
        }
        Err(refusal) => PlacementStep::Refused(refusal),
    }
}

/// Returns the limits on the prefill of a prompt that may still wait: at first
/// only a fast prefill, which many engines share, is accepted; later, any that still
/// meets the goal.
fn prefill_limits(goal: Duration, waited: Duration) -> PlacementWait {
    let left = goal.mul_f64(PREFILL_END_SHARE).saturating_sub(waited);
    let prefill_limit = if waited < goal.mul_f64(FAST_PREFILL_WAIT_SHARE) {
        goal.mul_f64(FAST_PREFILL_SHARE)
    } else {
        left
    };
    PlacementWait::Allowed {
        max_prefill_time: prefill_limit,
        remaining: left,
    }
}

/// Finds an upstream that continues an interrupted stream.
pub(crate) fn resume_placement(
    gateway: &Rc<Gateway>,
    job: &ForwardJob,
    tried: &[UpstreamId],
) -> Option<Placement> {
    let left = job.time_left(gateway.now());
    let wait_limits = PlacementWait::Allowed {
        max_prefill_time: left,
        remaining: left,
    };
    try_placement(gateway, job, tried, wait_limits).ok()
}

/// Asks the scheduler for the upstreams that would take the request now.
fn try_placement(
    gateway: &Gateway,
    job: &ForwardJob,
    tried: &[UpstreamId],
    wait_limits: PlacementWait,
) -> Result<Placement, PlacementRefusal> {
    let now = gateway.now();
    let routes = gateway.routes.borrow();
    let spec = routes.state().services.get(&job.service);
    let upstreams = gateway.upstreams.borrow();
    let is_home = |entry: &UpstreamEntry| gateway.settings.regions.is_home(&job.homes, &entry.zone);
    let usable = upstreams.selectable_where(now, &job.service, tried, is_home);
    if gateway.metrics.cold_upstreams.get() > 0 && upstreams.is_held_by_cold(now, &job.service) {
        gateway.metrics.cold_holds.inc();
    }
    if usable.is_empty()
        && upstreams.has_staying(&job.service, |_| true)
        && !upstreams.has_staying(&job.service, is_home)
    {
        return Err(PlacementRefusal::OutsideHomes);
    }
    if usable.is_empty() && upstreams.is_wholly_evacuated(&job.service) {
        return Err(PlacementRefusal::Evacuated);
    }
    if usable.is_empty()
        && let Some(left) = upstreams.pause_left(now, &job.service)
    {
        return Err(PlacementRefusal::Paused(left));
    }
    let other_nodes = gateway.fleet.borrow().roster().live(now).count();
    let loads = gateway.loads.borrow();
    let mut rng = gateway.rng.borrow_mut();
    let mut place_on = |upstreams: &[&UpstreamHealth]| {
        let engine = spec.and_then(|spec| spec.engine.as_ref());
        match (engine, job.request.size) {
            (Some(engine), Some(size)) => {
                let ask = PlacementRequest {
                    size,
                    goals: prompt_goals(gateway, job),
                    wait: wait_limits,
                    unreported_strict: loads.estimate_unreported(now, other_nodes),
                };
                place_prompt(now, engine, &ask, upstreams, &loads, &mut *rng)
            }
            _ => place_plain_request(now, upstreams, &loads, &mut *rng)
                .map(Placement::single_upstream),
        }
    };
    // An upstream that would otherwise get no request is asked whether its limit holds.
    let recheck = usable.iter().find(|health| health.is_recheck_due(now));
    if let Some(Ok(placement)) = recheck.map(|health| place_on(&[*health]))
        && placement.keeps_event_gaps
    {
        return Ok(placement);
    }
    place_on(&usable)
}

/// Returns how long a request takes after its placement if its engine's slots are all in use
/// and its answer is as long as its caller allows; zero if no engine is described.
pub(crate) fn expected_time(
    gateway: &Gateway,
    job: &ForwardJob,
    time_to_prefill: Duration,
) -> Duration {
    let routes = gateway.routes.borrow();
    let spec = routes.state().services.get(&job.service);
    match (spec.and_then(|spec| spec.engine.as_ref()), job.request.size) {
        (Some(engine), Some(size)) => time_to_prefill + engine.decode_time(size.answer),
        _ => Duration::ZERO,
    }
}

/// Returns the latency goals of the request's route, and the shortest token gap
/// that any route of its service promises.
pub(crate) fn prompt_goals(gateway: &Gateway, job: &ForwardJob) -> LatencyGoals {
    let gap = job.route.event_gap.unwrap_or(job.route.latency_goal);
    let shortest = gateway.routes.borrow().shortest_event_gap(&job.service);
    LatencyGoals {
        first_event: job.route.latency_goal,
        event_gap: gap,
        shortest_event_gap: shortest.map_or(gap, |shortest| shortest.min(gap)),
    }
}
