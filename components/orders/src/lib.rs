//! At-most-once execution of orders: the state machines, without I/O.
//!
//! An order's state is stored only in its row of the table service. Each
//! submission is an [`OrderAttempt`]. A result that an attempt could not record
//! is a [`PendingSettlement`]. [`sweep_step`] settles rows that have not changed
//! for too long and [`purge_step`] deletes old rows.

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
