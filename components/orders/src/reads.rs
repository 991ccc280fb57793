//! Retry budget and circuit breaker for idempotent reads. Orders are not sent
//! through either.

use std::time::{Duration, Instant};

/// Deposit for each first attempt, in hundredths of a retry: 10 % of first
/// attempts may be retried.
const DEPOSIT_HUNDREDTHS: u32 = 10;
/// Maximum balance, in hundredths of a retry.
const MAX_BALANCE_HUNDREDTHS: u32 = 1_000;
/// Consecutive failures that open a breaker.
const FAILURES_TO_OPEN: u32 = 5;
/// Time that an open breaker rejects calls before it allows a probe.
const OPEN_TIME: Duration = Duration::from_secs(1);

/// Limits retries to 10 % of first attempts, plus up to 10 saved retries; starts
/// with all 10.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RetryBudget {
    balance_hundredths: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance_hundredths: MAX_BALANCE_HUNDREDTHS,
        }
    }
}

impl RetryBudget {
    /// Adds the deposit for one first attempt, up to the maximum balance.
    pub fn deposit(&mut self) {
        self.balance_hundredths =
            MAX_BALANCE_HUNDREDTHS.min(self.balance_hundredths + DEPOSIT_HUNDREDTHS);
    }

    /// Withdraws one retry; returns `false` if the balance is too low.
    pub fn try_withdraw(&mut self) -> bool {
        let left = self.balance_hundredths.checked_sub(100);
        self.balance_hundredths = left.unwrap_or(self.balance_hundredths);
        left.is_some()
    }
}

/// State of a circuit breaker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BreakerState {
    /// All calls are allowed.
    Closed,
    /// All calls are rejected until this time.
    Open(Instant),
    /// A probe is in flight; if it is not reported by this time, another one is
    /// allowed.
    HalfOpen(Instant),
}

/// Rejects calls to a peer that has failed several times in a row.
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
    /// Admits or rejects a call. When the open time has passed, admits one call
    /// as a probe and makes the breaker half-open. Admits another probe if the
    /// result of the last one is not reported within the open time.
    pub fn admit(&mut self, now: Instant) -> bool {
        match self.state {
            BreakerState::Closed => true,
            BreakerState::Open(until) | BreakerState::HalfOpen(until) if now < until => false,
            BreakerState::Open(_) | BreakerState::HalfOpen(_) => {
                self.state = BreakerState::HalfOpen(now + OPEN_TIME);
                true
            }
        }
    }

    /// Records a call that the peer answered and closes the breaker.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failed call, and opens the breaker after a failed probe or
    /// enough consecutive failures.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        let half_open = matches!(self.state, BreakerState::HalfOpen(_));
        if half_open || self.failures >= FAILURES_TO_OPEN {
            self.state = BreakerState::Open(now + OPEN_TIME);
        }
    }

    /// Current state of the breaker.
    #[must_use]
    pub fn state(&self) -> BreakerState {
        self.state
    }
}
