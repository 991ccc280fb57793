//! Wall clock derived from the process's monotonic clock.

use std::time::{Instant, SystemTime};

use kernel::ClockSource;

/// Wall time that advances with the process's clock, so that tests can pause
/// and advance both together.
#[derive(Clone, Debug)]
pub(crate) struct WallClock {
    clock: ClockSource,
    started: Instant,
    started_at: SystemTime,
}

impl WallClock {
    pub(crate) fn new(clock: ClockSource) -> Self {
        Self {
            started: clock.now(),
            started_at: SystemTime::now(),
            clock,
        }
    }

    pub(crate) fn now(&self) -> SystemTime {
        self.started_at + self.clock.now().saturating_duration_since(self.started)
    }
}
