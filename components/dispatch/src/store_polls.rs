//! When a node calls the store itself although the store pollers tell it what changes.

use std::time::Duration;

/// Longest long poll for changes of the desired state. It is short because other nodes
/// notice only by a poll that is missing that the store turns away the store pollers, and
/// must have a change within two seconds then.
pub const DESIRED_WAIT: Duration = Duration::from_millis(600);
/// Longest long poll for changes of the upstreams; short for the same reason.
pub const UPSTREAM_WAIT: Duration = Duration::from_millis(400);
/// Pause between long polls for upstreams: each upstream writes its row about once
/// a second, and without a pause every write would end a poll.
pub const UPSTREAM_PAUSE: Duration = Duration::from_millis(500);
/// Rate at which all nodes together, without the store pollers, try a store that does
/// not answer.
pub const PROBES_PER_SECOND: u32 = 20;
/// Steps from a store poller to a node, through relays of two zones, and one answer that
/// is lost.
const STEPS_TO_NODE: u32 = 3;
/// Time that answers of the store and of relays take on the way.
const ANSWER_DELAY: Duration = Duration::from_millis(100);

/// Age of a store poller's copy up to which a node relies on it: the longest time that
/// store pollers leave between two answers of the store, and the time in which news of
/// them reaches a node that asks after each `question_pause`.
#[must_use]
pub fn store_poller_timeout(poll_interval: Duration, question_pause: Duration) -> Duration {
    poll_interval + question_pause * STEPS_TO_NODE + ANSWER_DELAY
}

/// Time until the turn of a node that knows `nodes` others to call the store, so that
/// all make [`PROBES_PER_SECOND`] together. `factor` is a random number from 0 to 2.
#[must_use]
pub fn probe_pause(nodes: usize, factor: f64) -> Duration {
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    (Duration::from_secs(1) * nodes / PROBES_PER_SECOND).mul_f64(factor)
}
