//! Load by length, measured over the recent past.

use std::time::{Duration, Instant};

use admission::LengthClass;

/// Time over which the measurement forgets.
const MEMORY: Duration = Duration::from_secs(30);
/// Most of an engine's time that short work is taken to fill.
const LOAD_MAX: f64 = 0.9;

/// Engine time begun in each class, with exponential forgetting.
#[derive(Debug)]
pub(crate) struct LoadMeter {
    seconds: [f64; 4],
    since: Instant,
    at: Instant,
}

impl LoadMeter {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            seconds: [0.0; 4],
            since: now,
            at: now,
        }
    }

    pub(crate) fn record(&mut self, now: Instant, class: LengthClass, work: Duration) {
        self.forget(now);
        self.seconds[class as usize] += work.as_secs_f64();
    }

    /// Engines that work of the class keeps busy.
    pub(crate) fn engines(&self, now: Instant, class: LengthClass) -> f64 {
        let memory = MEMORY.as_secs_f64();
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        let seen = now.saturating_duration_since(self.since).as_secs_f64();
        let window = memory * (1.0 - (-seen.max(1.0) / memory).exp());
        self.seconds[class as usize] * (-passed / memory).exp() / window
    }

    /// Part of the time of `engines` engines that short work takes from a
    /// prompt of the class.
    pub(crate) fn shorter(&self, now: Instant, class: LengthClass, engines: usize) -> f64 {
        if class == LengthClass::Short {
            return 0.0;
        }
        let busy = self.engines(now, LengthClass::Short);
        let engines = f64::from(u32::try_from(engines.max(1)).unwrap_or(u32::MAX));
        (busy / engines).min(LOAD_MAX)
    }

    fn forget(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        let kept = (-passed / MEMORY.as_secs_f64()).exp();
        for seconds in &mut self.seconds {
            *seconds *= kept;
        }
        self.at = self.at.max(now);
    }
}
