//! The four answers to an order, and no others.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use crate::{OrderPhase, OrderRow, OrderVerdict, RecordedAnswer};

/// When to ask again about an order that is under way.
const PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);
/// When to try again after a refusal that time may cure.
const REFUSAL_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Why an order was refused without being run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "code")]
pub enum RefusalCause {
    /// The table service could not record the order.
    StoreUnavailable,
    /// No byte could be written to the service.
    ServiceUnreachable,
    /// The service said that it did not and will not run it.
    ServiceRefused {
        /// HTTP status of its answer.
        status: u16,
    },
    /// The service took a newer fencing number.
    Fenced,
    /// The key stands for another body.
    KeyConflict,
    /// The caller's time was over before anything was sent.
    DeadlinePassed,
    /// The node is stopping.
    Draining,
    /// The release note in force names no such service.
    ServiceUnknown,
    /// The attempt's node left it before sending.
    Abandoned,
    /// An operator found that it did not run.
    SettledByHand,
}

/// What a refusal speaks of.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RefusalScope {
    /// No request with this key had been sent to the service.
    Order,
    /// This request was not and will not be sent; nothing is said of other
    /// requests with the same key.
    Request,
}

/// Why nobody knows whether an order ran.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "code")]
pub enum DoubtCause {
    /// The order was sent and no answer came.
    AnswerLost,
    /// The answer could not be understood.
    AnswerMalformed,
    /// The service answered that it failed, not whether it ran the order.
    ServiceFailed {
        /// HTTP status of its answer.
        status: u16,
    },
    /// The attempt that may have sent it was not heard of again.
    SenderSilent,
}

/// The answer to an order.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum OrderOutcome {
    /// The service answered; the same answer is given to every resend.
    Done {
        /// The service's answer.
        answer: RecordedAnswer,
        /// Whether the answer comes from the record.
        replayed: bool,
    },
    /// Refused and not run.
    Refused {
        /// Why.
        cause: RefusalCause,
        /// What the refusal speaks of.
        scope: RefusalScope,
    },
    /// It may have run.
    InDoubt {
        /// Why nobody knows.
        cause: DoubtCause,
    },
    /// An attempt is under way.
    InProgress,
}

impl OrderOutcome {
    /// HTTP status towards the caller.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Self::Done { answer, .. } => answer.status,
            Self::Refused { cause, .. } => refusal_status(*cause),
            Self::InDoubt { .. } => 504,
            Self::InProgress => 409,
        }
    }

    /// Machine-readable code; stable.
    #[must_use]
    pub fn code(&self) -> &'static str {
        match self {
            Self::Done { .. } => "order_done",
            Self::Refused { cause, .. } => refusal_code(*cause),
            Self::InDoubt { .. } => "order_in_doubt",
            Self::InProgress => "order_in_progress",
        }
    }

    /// When a resend with the same key may help; `None` when it won't.
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

    /// What the caller should do, in one sentence.
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

/// The answer to a question for an order's state.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum StatusReply {
    /// The order is recorded.
    Known {
        /// Where it stands.
        outcome: OrderOutcome,
    },
    /// No order is recorded under the key; one may be on its way.
    Unrecorded,
    /// The table service can't be read.
    StoreUnavailable,
}

impl StatusReply {
    /// HTTP status of the question, not of the order.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Self::Known { .. } => 200,
            Self::Unrecorded => 404,
            Self::StoreUnavailable => 503,
        }
    }

    /// Machine-readable code; stable.
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
    /// What the row says to a reader that changes nothing.
    #[must_use]
    pub fn outcome(&self, now: SystemTime) -> OrderOutcome {
        match &self.phase {
            OrderPhase::Sending if self.older_than(self.send_limit, now) => OrderOutcome::InDoubt {
                cause: DoubtCause::SenderSilent,
            },
            OrderPhase::Claimed | OrderPhase::Sending => OrderOutcome::InProgress,
            OrderPhase::Settled(verdict) => verdict.outcome(true),
        }
    }
}

impl OrderVerdict {
    /// The verdict as an answer.
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
