//! Guaranteed minimum share of engine time for queued trial work.

use std::time::{Duration, Instant};

/// Time in which an unused budget fills up; what accrues after that is lost.
const MAX_ACCRUAL_TIME: Duration = Duration::from_secs(20);

/// Budget of engine time that trial work may use ahead of paying work.
///
/// It accrues at a fixed fraction of the engines' time.
#[derive(Debug)]
pub struct TrialBudget {
    fraction: f64,
    balance: Duration,
    accrued_until: Option<Instant>,
}

impl TrialBudget {
    /// Creates a budget that accrues `fraction` (0 to 1) of the engines' time.
    #[must_use]
    pub fn new(fraction: f64) -> Self {
        Self {
            fraction: fraction.clamp(0.0, 1.0),
            balance: Duration::ZERO,
            accrued_until: None,
        }
    }

    /// Adds the trial fraction of the time of `engines` engines since the last
    /// call, up to the maximum; the first call fills the budget.
    pub fn accrue(&mut self, now: Instant, engines: usize) {
        let engines = f64::from(u32::try_from(engines).unwrap_or(u32::MAX));
        let max_balance = MAX_ACCRUAL_TIME.mul_f64(self.fraction * engines);
        let accrued = match self.accrued_until {
            Some(accrued_until) => now
                .saturating_duration_since(accrued_until)
                .min(MAX_ACCRUAL_TIME)
                .mul_f64(self.fraction * engines),
            None => max_balance,
        };
        self.accrued_until = self.accrued_until.max(Some(now));
        self.balance = self.balance.saturating_add(accrued).min(max_balance);
    }

    /// Engine time that trial work may use now.
    #[must_use]
    pub fn available(&self) -> Duration {
        self.balance
    }

    /// Deducts `engine_time` from the budget, down to zero.
    pub fn spend(&mut self, engine_time: Duration) {
        self.balance = self.balance.saturating_sub(engine_time);
    }
}
