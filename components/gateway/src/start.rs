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
        let since_start = now.saturating_duration_since(self.started);
        log::info!(
            "event=start_phase node={node} phase={phase:?} since_start_ms={}",
            since_start.as_millis()
        );
        let needed = [StartPhase::Desired, StartPhase::Upstreams];
        if needed.contains(&phase) && needed.iter().all(|phase| self.time(*phase).is_some()) {
            log::info!(
                "event=serving node={node} since_start_ms={} desired_ms={} upstreams_ms={} members_ms={}",
                since_start.as_millis(),
                self.label(StartPhase::Desired),
                self.label(StartPhase::Upstreams),
                self.label(StartPhase::Members),
            );
        }
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
