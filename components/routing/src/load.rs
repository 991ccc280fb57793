//! Recent load per length class.

use std::time::{Duration, Instant};

use admission::LengthClass;

/// Time constant of the exponential decay.
const DECAY_TIME: Duration = Duration::from_secs(30);
/// Largest fraction of engine time that short work is assumed to take.
const SHORT_LOAD_MAX: f64 = 0.9;

/// Engine time of the work started in each class, with exponential decay.
#[derive(Debug)]
pub(crate) struct LoadMeter {
    work_seconds: [f64; 4],
    started_at: Instant,
    updated_at: Instant,
}

impl LoadMeter {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            work_seconds: [0.0; 4],
            started_at: now,
            updated_at: now,
        }
    }

    pub(crate) fn record_start(&mut self, now: Instant, class: LengthClass, work: Duration) {
        self.decay(now);
        self.work_seconds[class as usize] += work.as_secs_f64();
    }

    /// Average number of engines that work of the class keeps busy.
    pub(crate) fn busy_engines(&self, now: Instant, class: LengthClass) -> f64 {
        let decay_time = DECAY_TIME.as_secs_f64();
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let observed = now.saturating_duration_since(self.started_at).as_secs_f64();
        let window = decay_time * (1.0 - (-observed.max(1.0) / decay_time).exp());
        self.work_seconds[class as usize] * (-elapsed / decay_time).exp() / window
    }

    /// Fraction of the time of `engines` engines that short prompts take. Zero
    /// for a short prompt.
    pub(crate) fn short_load_fraction(
        &self,
        now: Instant,
        class: LengthClass,
        engines: usize,
    ) -> f64 {
        if class == LengthClass::Short {
            return 0.0;
        }
        let busy = self.busy_engines(now, LengthClass::Short);
        let engines = f64::from(u32::try_from(engines.max(1)).unwrap_or(u32::MAX));
        (busy / engines).min(SHORT_LOAD_MAX)
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let remaining = (-elapsed / DECAY_TIME.as_secs_f64()).exp();
        for work_seconds in &mut self.work_seconds {
            *work_seconds *= remaining;
        }
        self.updated_at = self.updated_at.max(now);
    }
}
