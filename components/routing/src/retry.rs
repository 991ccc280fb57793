//! Retry budget of a node.

/// Token bucket that arrivals fill and retries empty. It bounds retries to a
/// fixed fraction of the load, however many attempts fail at once.
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

    /// Adds the tokens of one arrival, up to the burst.
    pub(crate) fn deposit(&mut self) {
        self.tokens = (self.tokens + self.tokens_per_arrival).min(self.burst);
    }

    /// Takes the token for one retry; false if the budget is exhausted.
    pub(crate) fn try_withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
