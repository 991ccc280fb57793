//! What callers make a process hold: a budget for its memory, places for connections and
//! requests, and the decision who gives way when they run out.
//!
//! This crate does no I/O and reads no clock.

mod budget;
mod holders;
mod limits;
mod segment;

pub use budget::{ChargeKind, MemoryBudget, MemoryCharge};
pub use holders::{
    Holder, HolderId, HolderStage, OverdueReason, RoomClaim, StageLimits, WriteMark, find_overdue,
    find_unread, find_victim, is_within_share,
};
pub use limits::{CONNECTION_BYTES, CallerLimits, ORDINARY_BODY_BYTES, REQUEST_BYTES};
pub use segment::SegmentBuffer;
