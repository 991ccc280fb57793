//! The row that is an order's only memory.

use std::time::{Duration, SystemTime};

use notes::ServiceGuarantee;
use serde::{Deserialize, Serialize};
use types::{FencingNumber, NodeId, RowVersion};

use crate::{DoubtCause, RefusalCause};

/// Names one attempt; unique across the fleet and for ever.
pub type AttemptTag = String;

/// Longest answer body that a row keeps, in bytes.
pub const MAX_RECORDED_BODY_BYTES: usize = 65_536;

/// Whether an order may be sent again when an earlier send is unknown.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ResendRule {
    /// Never: the service runs what it gets.
    Never,
    /// Yes, with the same key: the service runs one order for each key.
    Keyed,
    /// Yes: repeating it changes nothing.
    Free,
}

impl From<ServiceGuarantee> for ResendRule {
    /// A fence stops late orders, not a second one with a newer number, so
    /// fenced services allow no resend.
    fn from(guarantee: ServiceGuarantee) -> Self {
        match guarantee {
            ServiceGuarantee::Idempotent => Self::Free,
            ServiceGuarantee::Deduplicated => Self::Keyed,
            ServiceGuarantee::Fenced | ServiceGuarantee::None => Self::Never,
        }
    }
}

impl ResendRule {
    /// Whether a send may follow one whose outcome is unknown.
    #[must_use]
    pub fn allows_resend(self) -> bool {
        self != Self::Never
    }
}

/// What the service answered, as the row keeps it.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Body as text; empty when it was too long to keep.
    pub body: String,
    /// Whether the body was longer than [`MAX_RECORDED_BODY_BYTES`].
    pub truncated: bool,
}

impl RecordedAnswer {
    /// The answer as a row keeps it: without a body that is too long.
    #[must_use]
    pub fn for_row(&self) -> Self {
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

/// How an attempt ended, as far as is known.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "verdict")]
pub enum OrderVerdict {
    /// The service answered.
    Done {
        /// Its answer.
        answer: RecordedAnswer,
    },
    /// The service has not run it and no attempt so far ever will.
    NotRun {
        /// Why.
        cause: RefusalCause,
    },
    /// Nobody knows.
    InDoubt {
        /// Why.
        cause: DoubtCause,
    },
}

/// Where an order stands.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "phase")]
pub enum OrderPhase {
    /// An attempt has the order and has sent nothing.
    Claimed,
    /// The attempt may have sent it.
    Sending,
    /// The attempt ended.
    Settled(OrderVerdict),
}

/// One order's row.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct OrderRow {
    /// Digest of path, media type and body.
    pub digest: String,
    /// The attempt that wrote or was settled last.
    pub attempt: AttemptTag,
    /// Node of that attempt.
    pub node: NodeId,
    /// What the service promised when the attempt claimed.
    pub rule: ResendRule,
    /// Where the order stands.
    pub phase: OrderPhase,
    /// When the attempt claimed; retention counts from here.
    pub claimed_at: SystemTime,
    /// When the row last changed.
    pub changed_at: SystemTime,
    /// How long after `changed_at` a send is taken to be under way.
    pub send_limit: Duration,
    /// Number towards services that check one; grows with each attempt.
    pub fencing: FencingNumber,
    /// Earlier attempts that may have been sent and never settled.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub earlier: Vec<AttemptTag>,
}

impl OrderRow {
    /// The row with another phase.
    #[must_use]
    pub fn moved(&self, phase: OrderPhase, now: SystemTime) -> Self {
        Self {
            phase,
            changed_at: now,
            ..self.clone()
        }
    }

    /// Whether the last change is older than `age`.
    #[must_use]
    pub fn older_than(&self, age: Duration, now: SystemTime) -> bool {
        now.duration_since(self.changed_at)
            .is_ok_and(|passed| passed > age)
    }

    /// Whether the row stands in doubt.
    #[must_use]
    pub fn in_doubt(&self) -> bool {
        matches!(
            self.phase,
            OrderPhase::Settled(OrderVerdict::InDoubt { .. })
        )
    }
}

/// A row as read.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct VersionedRow {
    /// Its version.
    pub version: RowVersion,
    /// Its content.
    pub row: OrderRow,
}

/// What the row must be for a write to take effect.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RowCondition {
    /// It does not exist.
    Absent,
    /// It exists at this version.
    Version(RowVersion),
    /// Any state; no guarded step uses it.
    Any,
}

/// One change of an order's row.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct OrderWrite {
    /// Condition.
    pub expected: RowCondition,
    /// New content.
    pub row: OrderRow,
    /// Whether the row stood in doubt before.
    pub was_in_doubt: bool,
    /// Whether this is a claim, which the index of claims lists.
    pub is_claim: bool,
}
