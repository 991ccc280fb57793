//! The budget that bounds retries.

/// Tokens earned by arrivals and spent by retries, so that retries stay a
/// fixed part of the load whatever fails at once.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
    tokens_per_arrival: f64,
    burst: f64,
}

impl RetryBudget {
    pub(crate) fn new(tokens_per_arrival: f64, burst: f64) -> Self {
        Self {
            tokens: burst,
            tokens_per_arrival,
            burst,
        }
    }

    /// Earns for one arrival.
    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + self.tokens_per_arrival).min(self.burst);
    }

    /// Spends for one retry; false when the budget is used up.
    pub(crate) fn try_withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
