//! Times of the phases of a start, for the log: what a node needs before it serves, and
//! what makes it serve well.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

/// Phase that ends when something is known for the first time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StartPhase {
    /// A desired state is in force.
    Desired,
    /// Upstreams are known.
    Upstreams,
    /// Another node was heard.
    Members,
    /// A relay has told the sums of the others' loads.
    Loads,
}

/// Bound of a start in a fleet of 300 nodes. A node that needs longer lacks the store and
/// all nodes that know what it holds, and refuses requests at once.
const START_TIME_MAX: Duration = Duration::from_millis(1500);
/// Phases without which no request can be served.
const NEEDED: [StartPhase; 2] = [StartPhase::Desired, StartPhase::Upstreams];

/// When each phase of the start ended.
#[derive(Debug)]
pub(crate) struct StartTimes {
    started: Instant,
    ended: [Cell<Option<Instant>>; 4],
}

impl StartTimes {
    pub(crate) fn new(started: Instant) -> Self {
        Self {
            started,
            ended: Default::default(),
        }
    }

    /// Records that a phase has ended, and logs it the first time. Once the desired state
    /// and the upstreams are known, also logs that the node serves.
    pub(crate) fn record(&self, now: Instant, phase: StartPhase, node: &str) {
        let ended = &self.ended[phase as usize];
        if ended.get().is_some() {
            return;
        }
        ended.set(Some(now));
        let since_start = self.running_time(now);
        log::info!(
            "event=start_phase node={node} phase={phase:?} since_start_ms={}",
            since_start.as_millis()
        );
        if NEEDED.contains(&phase) && self.is_serving() {
            log::info!(
                "event=serving node={node} since_start_ms={} desired_ms={} upstreams_ms={} members_ms={}",
                since_start.as_millis(),
                self.label(StartPhase::Desired),
                self.label(StartPhase::Upstreams),
                self.label(StartPhase::Members),
            );
        }
    }

    /// Returns whether all that a node needs to serve has been known.
    pub(crate) fn is_serving(&self) -> bool {
        NEEDED.iter().all(|phase| self.time(*phase).is_some())
    }

    /// Returns for how long the process has been running.
    pub(crate) fn running_time(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// Returns whether the node has just started and still lacks what it needs to serve.
    pub(crate) fn is_starting(&self, now: Instant) -> bool {
        !self.is_serving() && self.running_time(now) < START_TIME_MAX
    }

    fn time(&self, phase: StartPhase) -> Option<Duration> {
        let ended = self.ended[phase as usize].get()?;
        Some(ended.saturating_duration_since(self.started))
    }

    fn label(&self, phase: StartPhase) -> String {
        let time = self.time(phase);
        time.map_or_else(|| "-".to_owned(), |time| time.as_millis().to_string())
    }
}
