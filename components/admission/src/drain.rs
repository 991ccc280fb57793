//! Pace at which a line gets room.

use std::time::{Duration, Instant};

/// Time constant of the decay of what was measured: a few times the phases' length in
/// which loads alternate would mix both, and much less would see single starts.
const DRAIN_DECAY_TIME: Duration = Duration::from_secs(3);
/// Shortest time for which requests must have waited before a pace is told.
const DRAIN_TIME_MIN: Duration = Duration::from_millis(500);

/// Measures how much work leaves a line while requests wait in it, with exponential
/// decay. Room that other nodes take is missing in it, so it needs no news of them.
#[derive(Debug, Default)]
pub(crate) struct DrainMeter {
    /// Seconds of engine time started.
    started: f64,
    /// Seconds in which requests waited.
    waited: f64,
    measured_until: Option<Instant>,
    is_waiting: bool,
}

impl DrainMeter {
    /// Records that a request waits from now on.
    pub(crate) fn record_waiting(&mut self, now: Instant) {
        self.advance(now);
        self.is_waiting = true;
    }

    /// Records that no request waits any more.
    pub(crate) fn record_empty(&mut self, now: Instant) {
        self.advance(now);
        self.is_waiting = false;
    }

    /// Records the start of a request that waited.
    pub(crate) fn record_start(&mut self, now: Instant, engine_time: Duration) {
        self.advance(now);
        self.started += engine_time.as_secs_f64();
    }

    /// Engine time started in a second while requests waited; `None` while too little was
    /// measured.
    pub(crate) fn started_a_second(&self, now: Instant) -> Option<Duration> {
        let elapsed = self.elapsed(now);
        let decay = decay_after(elapsed);
        let mut waited = self.waited * decay;
        if self.is_waiting {
            waited += elapsed.as_secs_f64();
        }
        if waited < DRAIN_TIME_MIN.as_secs_f64() {
            return None;
        }
        Duration::try_from_secs_f64(self.started * decay / waited).ok()
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = self.elapsed(now);
        let decay = decay_after(elapsed);
        self.started *= decay;
        self.waited *= decay;
        if self.is_waiting {
            self.waited += elapsed.as_secs_f64();
        }
        self.measured_until = self.measured_until.max(Some(now));
    }

    fn elapsed(&self, now: Instant) -> Duration {
        self.measured_until
            .map_or(Duration::ZERO, |until| now.saturating_duration_since(until))
    }
}

fn decay_after(elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / DRAIN_DECAY_TIME.as_secs_f64()).exp()
}
