//! Finds the upstream of a request, and waits for a better one where that is
//! worth it.

use std::{rc::Rc, time::Duration};

use dispatch::{
    LatencyGoals, Placement, PlacementRefusal, PlacementRequest, PlacementWait,
    place_plain_request, place_prompt,
};
use types::UpstreamId;

use crate::{forward::ForwardJob, state::Gateway};

/// Pause between two looks for a place that harms nobody.
pub(crate) const PLACE_PAUSE: Duration = Duration::from_millis(25);
/// Share of the latency goal for which a prompt may wait for a better place, so
/// that it can still be read within the goal.
const PLACE_SHARE: f64 = 0.6;
/// The same as a share of the time that the caller gives.
const PLACE_DEADLINE_SHARE: f64 = 0.4;
/// Share of the latency goal for which a prompt waits for engines that read it
/// within [`READ_SHARE`]: some times what reading usually takes.
const CHOOSY_SHARE: f64 = 0.25;
/// Share of the latency goal within which a prompt is read while it is choosy.
const READ_SHARE: f64 = 0.4;
/// Share of the latency goal at which a prompt should have been read, so that
/// its first event is in time.
const GOAL_SHARE: f64 = 0.9;
/// Share of the goal for which a prompt waits that could not be read in time
/// as things are, before its caller is told to come back.
const QUIET_SHARE: f64 = 0.125;

/// Waits for a place that harms nobody while the request's goal allows it.
pub(crate) async fn find_place(
    gateway: &Rc<Gateway>,
    job: &ForwardJob,
    tried: &[UpstreamId],
) -> Result<Placement, PlacementRefusal> {
    let whole = job.deadline.saturating_duration_since(job.arrived);
    let patience = job.route.latency_goal.mul_f64(PLACE_SHARE);
    let patience = patience.min(whole.mul_f64(PLACE_DEADLINE_SHARE));
    let quiet_patience = job.route.latency_goal.mul_f64(QUIET_SHARE);
    loop {
        let waited = gateway.now().saturating_duration_since(job.arrived);
        let late = waited >= patience;
        let patience = if late {
            PlacementWait::Expired
        } else {
            waits(job.route.latency_goal, waited)
        };
        match place(gateway, job, tried, patience) {
            Ok(placed) if placed.keeps_event_gaps || late => return Ok(placed),
            Err(PlacementRefusal::NeedsIdleEngines) if late || waited >= quiet_patience => {
                return Err(PlacementRefusal::NeedsIdleEngines);
            }
            Ok(_) | Err(PlacementRefusal::Full | PlacementRefusal::NeedsIdleEngines) if !late => {
                gateway.clock.sleep(PLACE_PAUSE).await;
            }
            other => return other,
        }
    }
}

/// At first a prompt goes only where many engines read it; after a while,
/// wherever it still makes its goal.
fn waits(goal: Duration, waited: Duration) -> PlacementWait {
    let left = goal.mul_f64(GOAL_SHARE).saturating_sub(waited);
    let longest_read = if waited < goal.mul_f64(CHOOSY_SHARE) {
        goal.mul_f64(READ_SHARE)
    } else {
        left
    };
    PlacementWait::Allowed {
        max_prefill_time: longest_read,
        remaining: left,
    }
}

/// Places the rest of a stream that broke off.
pub(crate) fn place_again(
    gateway: &Rc<Gateway>,
    job: &ForwardJob,
    tried: &[UpstreamId],
) -> Option<Placement> {
    let left = job.time_left(gateway.now());
    let patience = PlacementWait::Allowed {
        max_prefill_time: left,
        remaining: left,
    };
    place(gateway, job, tried, patience).ok()
}

fn place(
    gateway: &Gateway,
    job: &ForwardJob,
    tried: &[UpstreamId],
    patience: PlacementWait,
) -> Result<Placement, PlacementRefusal> {
    let now = gateway.now();
    let routes = gateway.routes.borrow();
    let spec = routes.state().services.get(&job.service);
    let upstreams = gateway.upstreams.borrow();
    let usable = upstreams.selectable(now, &job.service, tried);
    let others = gateway.roster.borrow().live(now).count();
    let loads = gateway.loads.borrow();
    let mut rng = gateway.rng.borrow_mut();
    match (spec.and_then(|spec| spec.engine.as_ref()), job.call.size) {
        (Some(engine), Some(size)) => {
            let ask = PlacementRequest {
                size,
                goals: goals_of(gateway, job),
                wait: patience,
                unreported_strict: loads.estimate_unreported(now, others),
            };
            place_prompt(now, engine, &ask, &usable, &loads, &mut *rng)
        }
        _ => place_plain_request(now, &usable, &loads, &mut *rng).map(Placement::single_upstream),
    }
}

/// What callers of the request's route, and of others of its service, expect.
pub(crate) fn goals_of(gateway: &Gateway, job: &ForwardJob) -> LatencyGoals {
    let gap = job.route.event_gap.unwrap_or(job.route.latency_goal);
    let shortest = gateway.routes.borrow().shortest_event_gap(&job.service);
    LatencyGoals {
        first_event: job.route.latency_goal,
        event_gap: gap,
        shortest_event_gap: shortest.map_or(gap, |shortest| shortest.min(gap)),
    }
}
