//! Rules for idempotent reads: a retry budget and a circuit breaker. Orders
//! use neither.

use std::time::{Duration, Instant};

/// Share of first tries that may be repeated, in hundredths.
const RETRY_PERCENT: u32 = 10;
/// Most retries saved up, in hundredths of one.
const MAX_SAVED: u32 = 1_000;
/// Failures in a row that open a breaker.
const OPEN_AFTER_FAILURES: u32 = 5;
/// Time an open breaker refuses before it lets one try through.
const OPEN_TIME: Duration = Duration::from_secs(1);

/// Retries that the first tries have earned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RetryBudget {
    saved: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MAX_SAVED }
    }
}

impl RetryBudget {
    /// Counts a first try.
    pub fn deposit(&mut self) {
        self.saved = MAX_SAVED.min(self.saved + RETRY_PERCENT);
    }

    /// Takes one retry; false when none is left.
    pub fn try_withdraw(&mut self) -> bool {
        let left = self.saved.checked_sub(100);
        self.saved = left.unwrap_or(self.saved);
        left.is_some()
    }
}

/// What a breaker lets through.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BreakerState {
    /// Everything.
    Closed,
    /// Nothing until then.
    Open(Instant),
    /// One try, which is under way.
    Probing(Instant),
}

/// Stops calls to a peer that fails again and again.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CircuitBreaker {
    state: BreakerState,
    failures: u32,
}

impl Default for CircuitBreaker {
    fn default() -> Self {
        Self {
            state: BreakerState::Closed,
            failures: 0,
        }
    }
}

impl CircuitBreaker {
    /// Whether a call may go out now; a probe that is never reported is
    /// followed by another.
    pub fn admit(&mut self, now: Instant) -> bool {
        match self.state {
            BreakerState::Closed => true,
            BreakerState::Open(until) | BreakerState::Probing(until) if now < until => false,
            BreakerState::Open(_) | BreakerState::Probing(_) => {
                self.state = BreakerState::Probing(now + OPEN_TIME);
                true
            }
        }
    }

    /// Counts a call that the peer answered.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Counts a call that the peer did not answer.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        let probing = matches!(self.state, BreakerState::Probing(_));
        if probing || self.failures >= OPEN_AFTER_FAILURES {
            self.state = BreakerState::Open(now + OPEN_TIME);
        }
    }

    /// What the breaker lets through.
    #[must_use]
    pub fn state(&self) -> BreakerState {
        self.state
    }
}
