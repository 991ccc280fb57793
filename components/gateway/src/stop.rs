//! Steps of a planned stop: until when a stopping gateway takes which requests, and what ends
//! those that are left.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use smol::channel::{Receiver, Sender, bounded};

use crate::{
    answer::GatewayAnswer, daemon::remove_own_row, datagrams::PeerDatagram, forward::ForwardJob,
    place::expected_time, state::Gateway,
};

/// Share of the grace period during which a stopping gateway takes every request that is
/// expected to end in time: until address answers that name it have expired. Afterwards it
/// takes only those whose deadline comes before the end of the stop.
const OPEN_INTAKE_SHARE: f64 = 0.36;
/// Share of the grace period after which no connection from a caller is accepted and
/// idle connections of all roles are closed.
const CLOSING_START_SHARE: f64 = 0.45;
/// Share of the grace period after which requests without the head of an answer get one from
/// the gateway, which their callers then have before the process exits.
const FINAL_ANSWERS_SHARE: f64 = 0.9;
/// Share of the grace period after which the process exits even if connections
/// are open, so that it isn't killed first.
const FORCED_END_SHARE: f64 = 0.92;
/// Interval at which a stopping gateway checks whether it can take the next step of
/// stopping.
const STOP_CHECK_PAUSE: Duration = Duration::from_millis(50);

/// Channels that a stopping gateway closes at its steps; nothing is sent on them.
#[derive(Debug)]
pub(crate) struct StopNotices {
    /// Closed when idle connections are to be closed.
    idle_close: Receiver<()>,
    /// Closed when requests that still wait get their final answer.
    final_answers: Receiver<()>,
}

/// The other ends of [`StopNotices`].
#[derive(Debug)]
pub(crate) struct StopTriggers {
    idle_close: Sender<()>,
    final_answers: Sender<()>,
}

impl StopNotices {
    pub(crate) fn new() -> (StopTriggers, Self) {
        let (idle_close_sender, idle_close) = bounded(1);
        let (final_answers_sender, final_answers) = bounded(1);
        let triggers = StopTriggers {
            idle_close: idle_close_sender,
            final_answers: final_answers_sender,
        };
        let notices = Self {
            idle_close,
            final_answers,
        };
        (triggers, notices)
    }

    /// Waits until the stopping gateway closes idle connections.
    pub(crate) async fn idle_close(&self) {
        self.idle_close.recv().await.ok();
    }

    /// Waits until the stopping gateway answers the requests that still wait. What has become
    /// of them at their upstreams is not known.
    pub(crate) async fn final_answer(&self) -> GatewayAnswer {
        self.final_answers.recv().await.ok();
        GatewayAnswer::Unknown
    }
}

/// Returns the time at which `share` of a stopping gateway's grace period has passed; `None`
/// if it isn't stopping.
fn step_at(gateway: &Gateway, share: f64) -> Option<Instant> {
    let since = gateway.stopping_since.get()?;
    Some(since + gateway.settings.grace_period.mul_f64(share))
}

fn has_reached(gateway: &Gateway, share: f64) -> bool {
    step_at(gateway, share).is_some_and(|at| gateway.now() >= at)
}

/// Returns whether a stopping node takes no more connections from callers, when address answers
/// that name it should have expired.
pub(crate) fn is_closing(gateway: &Gateway) -> bool {
    has_reached(gateway, CLOSING_START_SHARE)
}

/// Returns whether a request that no upstream has run can still end on this node. While the
/// node stops, a request is refused that would be cut off at the end of the stop: other nodes
/// can serve it whole.
pub(crate) fn can_end(gateway: &Gateway, job: &ForwardJob, time_to_prefill: Duration) -> bool {
    let Some(ends_at) = step_at(gateway, FINAL_ANSWERS_SHARE) else {
        return true;
    };
    let expected_end = gateway.now() + expected_time(gateway, job, time_to_prefill);
    let is_expected = !has_reached(gateway, OPEN_INTAKE_SHARE) && expected_end <= ends_at;
    is_expected || job.deadline <= ends_at
}

/// Removes this node from address answers at once and keeps serving callers that still use an
/// older address answer. Waits until [`is_closing`] holds, then until no caller is connected, no
/// connection is held for another node and no reservation is being released, or
/// [`FORCED_END_SHARE`] of the grace period has passed since the stop began.
pub(crate) async fn stop_gracefully(gateway: &Rc<Gateway>, triggers: StopTriggers) {
    gateway.stopping_since.set(Some(gateway.now()));
    log::info!("event=stopping node={}", gateway.settings.node);
    let node = gateway.settings.node.clone();
    gateway.queue_datagram(PeerDatagram::NodeLeft(node, gateway.incarnation));
    if gateway.row_schedule.get().is_written() {
        let removal = remove_own_row(Rc::clone(gateway));
        gateway.executor.spawn(removal).detach();
    }
    while !is_closing(gateway) {
        gateway.clock.sleep(STOP_CHECK_PAUSE).await;
    }
    drop(triggers.idle_close);
    wait_while_busy(gateway, FINAL_ANSWERS_SHARE).await;
    drop(triggers.final_answers);
    wait_while_busy(gateway, FORCED_END_SHARE).await;
    log::info!(
        "event=stopped node={} open_connections={} tunnels={}",
        gateway.settings.node,
        gateway.callers.len(),
        gateway.tunnels.get()
    );
}

/// Waits until nothing is open any more, or `share` of the grace period has passed.
async fn wait_while_busy(gateway: &Gateway, share: f64) {
    let is_busy = || {
        gateway.callers.len() > 0 || gateway.tunnels.get() > 0 || gateway.open_releases.get() > 0
    };
    while is_busy() && !has_reached(gateway, share) {
        gateway.clock.sleep(STOP_CHECK_PAUSE).await;
    }
}
