//! Converts between times of the clock and of the engine model, which may run
//! faster.

use std::time::{Duration, Instant};

use types::{EngineReport, MemoryHold};

/// Ratio between durations on the clock and durations of the engine model.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimeScale {
    base: Instant,
    scale: f64,
}

impl TimeScale {
    /// Clock and model agree at `base`; from there the model runs `1 / scale` times
    /// as fast as the clock.
    pub(crate) fn new(base: Instant, scale: f64) -> Self {
        Self { base, scale }
    }

    pub(crate) fn to_model(self, at: Instant) -> Instant {
        self.base + self.to_model_duration(at.saturating_duration_since(self.base))
    }

    pub(crate) fn to_clock(self, at: Instant) -> Instant {
        self.base + self.to_clock_duration(at.saturating_duration_since(self.base))
    }

    /// Converts a duration on the clock to one of the model.
    pub(crate) fn to_model_duration(self, time: Duration) -> Duration {
        time.div_f64(self.scale)
    }

    /// Converts a duration of the model to one on the clock.
    pub(crate) fn to_clock_duration(self, time: Duration) -> Duration {
        time.mul_f64(self.scale)
    }

    /// Converts the rates and durations of a report of the model to those of the
    /// clock.
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
