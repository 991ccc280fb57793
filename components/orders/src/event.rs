//! Inputs and outputs of an order attempt.

use std::time::{Duration, SystemTime};

use types::{FencingNumber, NodeId, RowVersion};

use crate::{
    AttemptTag, DoubtCause, OrderOutcome, OrderVerdict, OrderWrite, PendingSettlement,
    RecordedAnswer, RefusalCause, ResendRule, VersionedRow,
};

/// Parameters of one attempt.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct AttemptPlan {
    /// Unique tag of the attempt.
    pub tag: AttemptTag,
    /// Node that runs the attempt.
    pub node: NodeId,
    /// Digest of path, media type and body, to detect another request under the
    /// same key.
    pub digest: String,
    /// Whether the service's guarantee allows a resend.
    pub rule: ResendRule,
    /// How long a send counts as in flight.
    pub send_limit: Duration,
    /// Time after which the attempt sends nothing.
    pub deadline: SystemTime,
}

/// Result of a send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SendResult {
    /// The service answered.
    Answered(RecordedAnswer),
    /// The service certainly did not and will not run the order.
    NotRun(RefusalCause),
    /// The service may have run the order.
    Unknown(DoubtCause),
}

impl SendResult {
    /// Converts the result to a verdict on this send alone.
    #[must_use]
    pub fn verdict(self) -> OrderVerdict {
        match self {
            // A 5xx status does not tell whether the service ran the order.
            Self::Answered(answer) if answer.status >= 500 => OrderVerdict::InDoubt {
                cause: DoubtCause::ServiceFailed {
                    status: answer.status,
                },
            },
            Self::Answered(answer) => OrderVerdict::Done { answer },
            Self::NotRun(cause) => OrderVerdict::NotRun { cause },
            Self::Unknown(cause) => OrderVerdict::InDoubt { cause },
        }
    }
}

/// Input of an attempt: the submission, or the result of its last action.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptEvent {
    /// The caller submitted the order.
    Submitted,
    /// The write took effect and the row now has this version.
    RowWritten(RowVersion),
    /// The write's precondition was not met and nothing was written.
    WriteConflicted,
    /// The write did not take effect and never will.
    WriteFailed,
    /// The write got no response; it may have taken effect or still may.
    WriteUnknown,
    /// The row as returned by a read at the latest version, if it exists.
    RowRead(Option<VersionedRow>),
    /// The row could not be read.
    ReadFailed,
    /// The send ended with this result.
    SendEnded(SendResult),
}

/// Result of a finished attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptEnd {
    /// Outcome to return to the caller.
    pub outcome: OrderOutcome,
    /// Settlement that must still be written to the row.
    pub pending: Option<PendingSettlement>,
}

/// Next action of an attempt, whose result is its next event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptAction {
    /// Write the row.
    Write(OrderWrite),
    /// Read the latest version of the row.
    Read,
    /// Send the order exactly once, without retries.
    Send {
        /// Fencing number for a service that checks one.
        fencing: FencingNumber,
    },
    /// Return the outcome to the caller.
    Finish(AttemptEnd),
    /// Do nothing, since the attempt has already finished.
    Ignore,
}
