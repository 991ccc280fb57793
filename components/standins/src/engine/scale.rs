//! Times of the clock and of the engine model, which may run faster.

use std::time::{Duration, Instant};

use types::{EngineReport, MemoryHold};

/// Converts between the clock's times and the model's.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimeScale {
    base: Instant,
    scale: f64,
}

impl TimeScale {
    /// Both times are the same at `base`; the model runs `1 / scale` times as
    /// fast.
    pub(crate) fn new(base: Instant, scale: f64) -> Self {
        Self { base, scale }
    }

    pub(crate) fn to_model(self, at: Instant) -> Instant {
        self.base + self.longer(at.saturating_duration_since(self.base))
    }

    pub(crate) fn to_clock(self, at: Instant) -> Instant {
        self.base + self.shorter(at.saturating_duration_since(self.base))
    }

    /// A time on the clock as the model counts it.
    pub(crate) fn longer(self, time: Duration) -> Duration {
        time.div_f64(self.scale)
    }

    /// A time of the model as it passes on the clock.
    pub(crate) fn shorter(self, time: Duration) -> Duration {
        time.mul_f64(self.scale)
    }

    /// A report of the model in times of the clock.
    pub(crate) fn report(self, mut report: EngineReport) -> EngineReport {
        report.profile.prefill_tokens_s /= self.scale;
        report.profile.decode_step = self.shorter(report.profile.decode_step);
        report.holds = report
            .holds
            .into_iter()
            .map(|hold| self.hold(hold))
            .collect();
        report
    }

    fn hold(self, hold: MemoryHold) -> MemoryHold {
        MemoryHold {
            expires_in: self.shorter(hold.expires_in),
            ..hold
        }
    }
}
