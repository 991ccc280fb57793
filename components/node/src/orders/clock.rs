//! The wall clock, moved by the process's clock.

use std::time::{Instant, SystemTime};

use kernel::ClockSource;

/// Wall time that tests pause and advance with the process's clock.
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
