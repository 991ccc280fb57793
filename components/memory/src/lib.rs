//! What callers make a process hold: a budget for its memory.
//!
//! This crate does no I/O and reads no clock.

mod budget;
mod limits;
mod segment;

pub use budget::{ChargeKind, MemoryBudget, MemoryCharge};
pub use limits::{CONNECTION_BYTES, CallerLimits, ORDINARY_BODY_BYTES, REQUEST_BYTES};
pub use segment::SegmentBuffer;
