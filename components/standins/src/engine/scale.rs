//! Converts between times on the clock and times of the simulation, which may run
//! faster or slower.

use std::time::{Duration, Instant};

use types::{EngineReport, MemoryHold};

/// Duration on the clock divided by the simulated duration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimeScale {
    base: Instant,
    scale: f64,
}

impl TimeScale {
    /// Clock and simulated time agree at `base`; from there the simulation runs
    /// `1 / scale` times as fast as the clock.
    pub(crate) fn new(base: Instant, scale: f64) -> Self {
        Self { base, scale }
    }

    pub(crate) fn to_simulated(self, at: Instant) -> Instant {
        self.base + self.to_simulated_duration(at.saturating_duration_since(self.base))
    }

    pub(crate) fn to_clock(self, at: Instant) -> Instant {
        self.base + self.to_clock_duration(at.saturating_duration_since(self.base))
    }

    /// Converts a duration on the clock to a simulated one.
    pub(crate) fn to_simulated_duration(self, time: Duration) -> Duration {
        time.div_f64(self.scale)
    }

    /// Converts a simulated duration to one on the clock.
    pub(crate) fn to_clock_duration(self, time: Duration) -> Duration {
        time.mul_f64(self.scale)
    }

    /// Converts the simulated rates and durations of a report to those on the
    /// clock; `age` is on the clock already.
    pub(crate) fn report_to_clock(self, mut report: EngineReport) -> EngineReport {
        report.profile.prefill_tokens_s /= self.scale;
        report.profile.decode_step = self.to_clock_duration(report.profile.decode_step);
        report.holds = report
            .holds
            .into_iter()
            .map(|hold| self.hold_to_clock(hold))
            .collect();
        report
    }

    fn hold_to_clock(self, hold: MemoryHold) -> MemoryHold {
        MemoryHold {
            expires_in: self.to_clock_duration(hold.expires_in),
            ..hold
        }
    }
}
