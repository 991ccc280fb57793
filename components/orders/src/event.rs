//! What an attempt is told and what it asks for.

use std::time::{Duration, SystemTime};

use types::{FencingNumber, NodeId, RowVersion};

use crate::{
    AttemptTag, DoubtCause, OrderOutcome, OrderVerdict, OrderWrite, PendingSettlement,
    RecordedAnswer, RefusalCause, ResendRule, VersionedRow,
};

/// What an attempt is to do.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct AttemptPlan {
    /// Names the attempt.
    pub tag: AttemptTag,
    /// Node that makes it.
    pub node: NodeId,
    /// Digest of path, media type and body.
    pub digest: String,
    /// What the service promises.
    pub rule: ResendRule,
    /// Time within which a send counts as under way.
    pub send_limit: Duration,
    /// Nothing is sent after this.
    pub deadline: SystemTime,
}

/// How a send ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SendResult {
    /// The service answered.
    Answered(RecordedAnswer),
    /// It is known that the service did not and will not run it.
    NotRun(RefusalCause),
    /// It may have run.
    Unknown(DoubtCause),
}

impl SendResult {
    /// The result as a verdict on this send alone.
    #[must_use]
    pub fn verdict(self) -> OrderVerdict {
        match self {
            // A service that failed does not say whether it ran the order.
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

/// What happened to an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptEvent {
    /// The caller submitted the order.
    Submitted,
    /// The write took effect; the row has this version.
    RowWritten(RowVersion),
    /// The row was not as expected; nothing took effect.
    WriteConflicted,
    /// Nothing took effect, and nothing will.
    WriteFailed,
    /// No answer: the write may have taken effect, or may yet.
    WriteUnknown,
    /// The row as a latest read found it.
    RowRead(Option<VersionedRow>),
    /// The row could not be read.
    ReadFailed,
    /// The send ended.
    SendEnded(SendResult),
}

/// How an attempt ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptEnd {
    /// The caller's answer.
    pub outcome: OrderOutcome,
    /// What the store must still be told.
    pub pending: Option<PendingSettlement>,
}

/// What to do next; exactly one action at a time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptAction {
    /// Change the row.
    Write(OrderWrite),
    /// Read the row, latest.
    Read,
    /// Send the order, once.
    Send {
        /// Number for a service that checks one.
        fencing: FencingNumber,
    },
    /// Answer the caller.
    Finish(AttemptEnd),
    /// Nothing: the event came too late to matter.
    Ignore,
}
