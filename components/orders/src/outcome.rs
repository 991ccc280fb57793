//! The four possible outcomes of an order, with their HTTP status, code and
//! advice to the caller.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use crate::{OrderPhase, OrderRow, OrderVerdict, RecordedAnswer};

/// Delay before a status read or a resend of an order in progress or in doubt.
const PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Delay before a resend after a refusal that may be temporary.
const REFUSAL_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Why an order was refused without being run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "code")]
pub enum RefusalCause {
    /// The table service could not record the order.
    StoreUnavailable,
    /// No byte of the order could be written to the service.
    ServiceUnreachable,
    /// The service answered that it did not and will not run the order.
    ServiceRefused {
        /// HTTP status of its answer.
        status: u16,
    },
    /// The service has seen a newer fencing number.
    Fenced,
    /// The idempotency key was used with another request (path, media type or
    /// body).
    KeyConflict,
    /// The caller's deadline passed before anything was sent.
    DeadlinePassed,
    /// The node is draining and accepts no new orders.
    Draining,
    /// The release note in force has no such service.
    ServiceUnknown,
    /// The attempt ended before it sent anything.
    Abandoned,
    /// An operator settled the order as not run.
    SettledByHand,
}

/// Which requests a refusal covers.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RefusalScope {
    /// All requests with this key up to this one: none was or will be run.
    Order,
    /// Only this request, which was not and will not be run. Other requests with
    /// the same key may have been.
    Request,
}

/// Why it is unknown whether an order ran.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "code")]
pub enum DoubtCause {
    /// The order was sent and no answer arrived.
    AnswerLost,
    /// The answer could not be parsed.
    AnswerMalformed,
    /// The service answered with an error that does not tell whether it ran the
    /// order.
    ServiceFailed {
        /// HTTP status of its answer.
        status: u16,
    },
    /// The attempt that may have sent the order never settled it.
    SenderSilent,
}

/// Outcome of an order, as returned to the caller.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum OrderOutcome {
    /// The service answered with a status below 500, or an operator settled the
    /// order as done. Every resend gets the recorded answer, without the body if
    /// it was too long to store.
    Done {
        /// Answer of the service.
        answer: RecordedAnswer,
        /// Whether the answer was read from the row instead of the service.
        replayed: bool,
    },
    /// The order was refused and not run.
    Refused {
        /// Why the order was refused.
        cause: RefusalCause,
        /// Which requests the refusal covers.
        scope: RefusalScope,
    },
    /// The order may have run.
    InDoubt {
        /// Why it is unknown whether the order ran.
        cause: DoubtCause,
    },
    /// An attempt claimed the order and has not settled it. The attempt may have
    /// died since.
    InProgress,
}

impl OrderOutcome {
    /// HTTP status of the response to the caller.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Self::Done { answer, .. } => answer.status,
            Self::Refused { cause, .. } => refusal_status(*cause),
            Self::InDoubt { .. } => 504,
            Self::InProgress => 409,
        }
    }

    /// Machine-readable code, on which callers rely; it must not change.
    #[must_use]
    pub fn code(&self) -> &'static str {
        match self {
            Self::Done { .. } => "order_done",
            Self::Refused { cause, .. } => refusal_code(*cause),
            Self::InDoubt { .. } => "order_in_doubt",
            Self::InProgress => "order_in_progress",
        }
    }

    /// Delay before a status read or a resend with the same key; `None` if
    /// neither can change the outcome.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Done { .. } => None,
            Self::Refused { cause, .. } => match cause {
                RefusalCause::KeyConflict | RefusalCause::ServiceUnknown => None,
                _ => Some(REFUSAL_RETRY_AFTER),
            },
            Self::InDoubt { .. } | Self::InProgress => Some(PROGRESS_RETRY_AFTER),
        }
    }

    /// One sentence on what the caller should do next.
    #[must_use]
    pub fn advice(&self) -> &'static str {
        match self {
            Self::Done { .. } => "The service answered; the order needs nothing more.",
            Self::Refused {
                cause: RefusalCause::KeyConflict,
                ..
            } => "This request was not run: its key stands for another body; use a new key.",
            Self::Refused {
                scope: RefusalScope::Order,
                ..
            } => "The order was not run; send it again with the same key.",
            Self::Refused {
                scope: RefusalScope::Request,
                ..
            } => "This request was not run; send it again with the same key.",
            Self::InDoubt { .. } => {
                "The order may have run; ask for its state or resend with the same key, never a new one."
            }
            Self::InProgress => "The order is under way; ask for its state with the same key.",
        }
    }
}

fn refusal_status(cause: RefusalCause) -> u16 {
    match cause {
        RefusalCause::KeyConflict => 422,
        RefusalCause::ServiceUnknown => 404,
        RefusalCause::ServiceRefused { .. } | RefusalCause::Fenced => 502,
        RefusalCause::StoreUnavailable
        | RefusalCause::ServiceUnreachable
        | RefusalCause::DeadlinePassed
        | RefusalCause::Draining
        | RefusalCause::Abandoned
        | RefusalCause::SettledByHand => 503,
    }
}

fn refusal_code(cause: RefusalCause) -> &'static str {
    match cause {
        RefusalCause::StoreUnavailable => "order_not_run_store_unavailable",
        RefusalCause::ServiceUnreachable => "order_not_run_service_unreachable",
        RefusalCause::ServiceRefused { .. } => "order_not_run_service_refused",
        RefusalCause::Fenced => "order_not_run_fenced",
        RefusalCause::KeyConflict => "order_key_conflict",
        RefusalCause::DeadlinePassed => "order_not_run_deadline_passed",
        RefusalCause::Draining => "order_not_run_draining",
        RefusalCause::ServiceUnknown => "order_not_run_service_unknown",
        RefusalCause::Abandoned => "order_not_run_abandoned",
        RefusalCause::SettledByHand => "order_not_run_settled_by_hand",
    }
}

/// Reply to a status read of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum StatusReply {
    /// The order is recorded.
    Known {
        /// Outcome so far.
        outcome: OrderOutcome,
    },
    /// No order is recorded under the key; a submission may still be in flight.
    Unrecorded,
    /// The table service can't be read.
    StoreUnavailable,
}

impl StatusReply {
    /// HTTP status of the status read itself, not of the order.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Self::Known { .. } => 200,
            Self::Unrecorded => 404,
            Self::StoreUnavailable => 503,
        }
    }

    /// Machine-readable code, on which callers rely; it must not change.
    #[must_use]
    pub fn code(&self) -> &'static str {
        match self {
            Self::Known { outcome } => outcome.code(),
            Self::Unrecorded => "order_unrecorded",
            Self::StoreUnavailable => "order_state_unavailable",
        }
    }
}

impl OrderRow {
    /// Outcome for a read-only caller. A send that outlasted its limit counts as
    /// in doubt.
    #[must_use]
    pub fn outcome(&self, now: SystemTime) -> OrderOutcome {
        match &self.phase {
            OrderPhase::Sending if self.unchanged_for(self.send_limit, now) => {
                OrderOutcome::InDoubt {
                    cause: DoubtCause::SenderSilent,
                }
            }
            OrderPhase::Claimed | OrderPhase::Sending => OrderOutcome::InProgress,
            OrderPhase::Settled(verdict) => verdict.outcome(true),
        }
    }
}

impl OrderVerdict {
    /// Converts the verdict to an outcome; `replayed` tells whether it was read
    /// from the row.
    #[must_use]
    pub fn outcome(&self, replayed: bool) -> OrderOutcome {
        match self {
            Self::Done { answer } => OrderOutcome::Done {
                answer: answer.clone(),
                replayed,
            },
            Self::NotRun { cause } => OrderOutcome::Refused {
                cause: *cause,
                scope: RefusalScope::Order,
            },
            Self::InDoubt { cause } => OrderOutcome::InDoubt { cause: *cause },
        }
    }
}
