//! Orders that run at most once: pure decisions.
//!
//! The table service is the only memory. A submission is an [`OrderAttempt`];
//! what it could not record is an [`PendingSettlement`]; what dead nodes left is
//! found by [`sweep_step`] and [`purge_step`].

mod attempt;
mod event;
mod guard;
mod name;
mod outcome;
mod reads;
mod row;
mod settle;
mod sweep;

pub use attempt::OrderAttempt;
pub use event::{AttemptAction, AttemptEnd, AttemptEvent, AttemptPlan, SendResult};
pub use guard::{GuardSet, OrderGuard};
pub use name::{OrderName, request_digest};
pub use outcome::{DoubtCause, OrderOutcome, RefusalCause, RefusalScope, StatusReply};
pub use reads::{BreakerState, CircuitBreaker, RetryBudget};
pub use row::{
    AttemptTag, MAX_RECORDED_BODY_BYTES, OrderPhase, OrderRow, OrderVerdict, OrderWrite,
    RecordedAnswer, ResendRule, RowCondition, VersionedRow,
};
pub use settle::{ManualSettleError, PendingSettlement, SettleStep, settle_manually, settle_step};
pub use sweep::{PurgeStep, RETENTION, SWEEP_AGE, purge_step, status_read_step, sweep_step};
