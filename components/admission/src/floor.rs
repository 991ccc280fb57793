//! The least part of the service that waiting trial work gets.

use std::time::{Duration, Instant};

/// Time over which unused parts of the floor are saved up.
const SAVED_TIME: Duration = Duration::from_secs(20);

/// Engine time that trial work may take ahead of paying work.
#[derive(Debug)]
pub struct TrialFloor {
    part: f64,
    saved: Duration,
    at: Option<Instant>,
}

impl TrialFloor {
    /// A floor of `part` of the engines' time, 0 to 1.
    #[must_use]
    pub fn new(part: f64) -> Self {
        Self {
            part: part.clamp(0.0, 1.0),
            saved: Duration::ZERO,
            at: None,
        }
    }

    /// Earns what the time since the last call gives on `engines` engines.
    pub fn earn(&mut self, now: Instant, engines: usize) {
        let engines = f64::from(u32::try_from(engines).unwrap_or(u32::MAX));
        let most = SAVED_TIME.mul_f64(self.part * engines);
        let earned = match self.at {
            Some(at) => now
                .saturating_duration_since(at)
                .min(SAVED_TIME)
                .mul_f64(self.part * engines),
            None => most,
        };
        self.at = self.at.max(Some(now));
        self.saved = self.saved.saturating_add(earned).min(most);
    }

    /// Engine time that trial work may take now.
    #[must_use]
    pub fn available(&self) -> Duration {
        self.saved
    }

    /// Takes engine time.
    pub fn spend(&mut self, work: Duration) {
        self.saved = self.saved.saturating_sub(work);
    }
}
