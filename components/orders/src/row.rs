//! The table row that stores the state of an order.

use std::time::{Duration, SystemTime};

use notes::ServiceGuarantee;
use serde::{Deserialize, Serialize};
use types::{FencingNumber, NodeId, RowVersion};

use crate::{DoubtCause, RefusalCause};

/// Identifies an attempt; unique across the fleet and never reused.
pub type AttemptTag = String;

/// Maximum size of an answer body that a row stores, in bytes.
pub const MAX_RECORDED_BODY_BYTES: usize = 65_536;

/// Whether an order may be sent again when the result of an earlier send is
/// unknown.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ResendRule {
    /// No: the service runs every order it receives.
    Never,
    /// Yes, with the same key: the service runs one order per key.
    Keyed,
    /// Yes: the order is idempotent.
    Free,
}

impl From<ServiceGuarantee> for ResendRule {
    /// Fenced services allow no resend: fencing stops late orders, but not a
    /// second one with a newer number.
    fn from(guarantee: ServiceGuarantee) -> Self {
        match guarantee {
            ServiceGuarantee::Idempotent => Self::Free,
            ServiceGuarantee::Deduplicated => Self::Keyed,
            ServiceGuarantee::Fenced | ServiceGuarantee::None => Self::Never,
        }
    }
}

impl ResendRule {
    /// Whether a send may follow one whose result is unknown.
    #[must_use]
    pub fn allows_resend(self) -> bool {
        self != Self::Never
    }
}

/// The service's answer. In a row, a body over the limit is empty and
/// `truncated` is set.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RecordedAnswer {
    /// HTTP status that the service returned.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Body as text.
    pub body: String,
    /// Whether the body was dropped because it was longer than
    /// [`MAX_RECORDED_BODY_BYTES`].
    pub truncated: bool,
}

impl RecordedAnswer {
    /// Copies the answer for storage; a body over the limit is dropped and the
    /// copy marked as truncated.
    #[must_use]
    pub fn without_oversized_body(&self) -> Self {
        if self.body.len() <= MAX_RECORDED_BODY_BYTES {
            return self.clone();
        }
        Self {
            status: self.status,
            content_type: self.content_type.clone(),
            body: String::new(),
            truncated: true,
        }
    }
}

/// Result of an order, as far as is known. In a row it covers all attempts; in
/// a [`PendingSettlement`](crate::PendingSettlement) or as the verdict of a
/// [`SendResult`](crate::SendResult), one attempt.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "verdict")]
pub enum OrderVerdict {
    /// The service answered with a status below 500, or an operator settled the
    /// order as done.
    Done {
        /// Answer to replay to later requests with the same key.
        answer: RecordedAnswer,
    },
    /// The service did not and will not run the order.
    NotRun {
        /// Why the order was not run.
        cause: RefusalCause,
    },
    /// The service may or may not have run the order.
    InDoubt {
        /// Why the result is unknown.
        cause: DoubtCause,
    },
}

/// Progress of an order.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "phase")]
pub enum OrderPhase {
    /// An attempt holds the order and has sent nothing.
    Claimed,
    /// The attempt may have sent the order.
    Sending,
    /// The order has this verdict, from its attempt, the sweep, a status read or
    /// an operator.
    Settled(OrderVerdict),
}

/// Content of an order's row.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OrderRow {
    /// Digest of path, media type and body, to detect another request under the
    /// same key.
    pub digest: String,
    /// Attempt that claimed the order last.
    pub attempt: AttemptTag,
    /// Node that runs that attempt, for an operator who looks for its process.
    pub node: NodeId,
    /// Resend rule under the service's guarantee at the time of the claim.
    pub rule: ResendRule,
    /// Progress of the order.
    pub phase: OrderPhase,
    /// Time of the last claim, from which the retention counts.
    pub claimed_at: SystemTime,
    /// Time of the last change of the row.
    pub changed_at: SystemTime,
    /// How long after `changed_at` a send counts as in flight.
    pub send_limit: Duration,
    /// Fencing number for services that check one; grows with each attempt.
    pub fencing: FencingNumber,
    /// Earlier attempts whose sends have an unknown result.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub earlier: Vec<AttemptTag>,
}

impl OrderRow {
    /// Copies the row with another phase, changed at `now`.
    #[must_use]
    pub fn with_phase(&self, phase: OrderPhase, now: SystemTime) -> Self {
        Self {
            phase,
            changed_at: now,
            ..self.clone()
        }
    }

    /// Whether the row has not changed for longer than `age`.
    #[must_use]
    pub fn unchanged_for(&self, age: Duration, now: SystemTime) -> bool {
        now.duration_since(self.changed_at)
            .is_ok_and(|passed| passed > age)
    }

    /// Whether the order is settled as in doubt.
    #[must_use]
    pub fn in_doubt(&self) -> bool {
        matches!(
            self.phase,
            OrderPhase::Settled(OrderVerdict::InDoubt { .. })
        )
    }
}

/// A row together with the version at which it was read.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct VersionedRow {
    /// Version to name in a compare-and-set.
    pub version: RowVersion,
    /// Content at that version.
    pub row: OrderRow,
}

/// Precondition of a write to the row.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RowCondition {
    /// The row does not exist.
    Absent,
    /// The row exists at this version.
    Version(RowVersion),
    /// No precondition; used only when a test disables the version check.
    Any,
}

/// A compare-and-set of an order's row.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct OrderWrite {
    /// Precondition; if it is not met, nothing is written.
    pub expected: RowCondition,
    /// New content of the row.
    pub row: OrderRow,
    /// Whether the order was in doubt before, and so is in the index of orders
    /// in doubt.
    pub was_in_doubt: bool,
    /// Whether this is a claim, which is added to the index of claims.
    pub is_claim: bool,
}
