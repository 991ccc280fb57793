//! Admission by deadline.

use std::time::{Duration, Instant};

use types::PromptJob;

/// Shortest time a refused caller is told to wait.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// Longest time a refused caller is told to wait.
const RETRY_AFTER_MAX: Duration = Duration::from_mins(2);

/// What a prompt would meet here.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitEstimate {
    /// Time until it starts.
    pub wait: Duration,
    /// Time from its start to its whole answer.
    pub service: Duration,
}

impl WaitEstimate {
    /// Time to the whole answer.
    #[must_use]
    pub fn total(&self) -> Duration {
        self.wait.saturating_add(self.service)
    }
}

/// Whether a prompt is let in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateVerdict {
    /// Its answer is expected by the deadline.
    Admit,
    /// Its answer would be late.
    Refuse {
        /// Time after which the same prompt would be let in, if nothing else
        /// came.
        retry_after: Duration,
    },
}

/// Compares estimates with deadlines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeadlineGate {
    /// Factor on the estimated wait, at least 1: above it, fewer prompts are
    /// let in and fewer of those expire.
    pub wait_margin: f64,
}

impl DeadlineGate {
    /// Whether `job` can be answered in time.
    #[must_use]
    pub fn check(&self, now: Instant, job: &PromptJob, estimate: WaitEstimate) -> GateVerdict {
        let left = job.deadline.saturating_duration_since(now);
        let wait = estimate.wait.mul_f64(self.wait_margin.max(1.0));
        let needed = wait.saturating_add(estimate.service);
        if needed <= left {
            return GateVerdict::Admit;
        }
        GateVerdict::Refuse {
            retry_after: Self::retry_after(needed.saturating_sub(left)),
        }
    }

    /// Time to tell a caller whose prompt is `excess` too late.
    #[must_use]
    pub fn retry_after(excess: Duration) -> Duration {
        excess.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }
}
