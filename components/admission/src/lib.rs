//! Limits, fairness between organisations and admission by deadline.
//!
//! Pure state: times are passed in, nothing is read or written. `FairQueue`
//! orders what waits, `ShareTable` counts what organisations were served,
//! `LimitTable` holds them to their limits, and `DeadlineGate` says whether
//! a prompt can be answered in time.

mod cost;
mod floor;
mod gate;
mod length;
mod limits;
mod queue;
mod shares;

pub use cost::job_cost;
pub use floor::TrialFloor;
pub use gate::{DeadlineGate, GateVerdict, WaitEstimate};
pub use length::LengthClass;
pub use limits::{DemandReport, LimitSettings, LimitTable};
pub use queue::{FairQueue, PoolIndex, QueueBounds, QueuedJob};
pub use shares::{OrganisationIndex, ShareTable, UsageReport, VirtualTokens};
