//! Admission control: refuses prompts that are not expected to be answered by
//! their deadline, with a safety factor on the estimated wait.

use std::time::{Duration, Instant};

use types::PromptJob;

/// Lower bound of the retry delay given to a refused caller.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// Upper bound of the retry delay given to a refused caller.
const RETRY_AFTER_MAX: Duration = Duration::from_mins(2);

/// Estimated waiting and service time of a prompt on this node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitEstimate {
    /// Time in the queue until the prompt starts on an engine.
    pub wait: Duration,
    /// Time from the start to the end of the answer.
    pub service: Duration,
}

impl WaitEstimate {
    /// Time until the end of the answer: wait plus service.
    #[must_use]
    pub fn total(&self) -> Duration {
        self.wait.saturating_add(self.service)
    }
}

/// Result of the deadline check of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateVerdict {
    /// The answer is expected by the deadline, with the wait multiplied by
    /// `wait_margin`.
    Admit,
    /// The answer is expected after the deadline, with the wait multiplied by
    /// `wait_margin`.
    Refuse {
        /// Suggested retry delay, 1 second to 2 minutes: the time by which the
        /// answer would be late.
        retry_after: Duration,
    },
}

/// Admission check that compares wait estimates with deadlines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeadlineGate {
    /// Safety factor on the estimated wait; values below 1 count as 1. A higher
    /// factor admits fewer prompts, and fewer of those miss their deadline.
    pub wait_margin: f64,
}

impl DeadlineGate {
    /// Decides whether `job` is expected to be answered by its deadline, with the
    /// wait multiplied by `wait_margin`.
    #[must_use]
    pub fn check(&self, now: Instant, job: &PromptJob, estimate: WaitEstimate) -> GateVerdict {
        let remaining = job.deadline.saturating_duration_since(now);
        let wait = estimate.wait.mul_f64(self.wait_margin.max(1.0));
        let needed = wait.saturating_add(estimate.service);
        if needed <= remaining {
            return GateVerdict::Admit;
        }
        GateVerdict::Refuse {
            retry_after: Self::retry_after(needed.saturating_sub(remaining)),
        }
    }

    /// Retry delay for a caller whose answer would be `excess` late: 1 second to
    /// 2 minutes.
    #[must_use]
    pub fn retry_after(excess: Duration) -> Duration {
        excess.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }
}
