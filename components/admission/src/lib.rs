//! Rate limits, fairness between organisations and admission by deadline.
//!
//! Everything here is in-memory state without I/O; callers pass in the time.
//! `FairQueue` orders queued prompts, `ShareTable` counts the tokens served to
//! each organisation, `LimitTable` enforces their limits, and `DeadlineGate`
//! decides whether a prompt can be answered by its deadline.

mod cost;
mod gate;
mod length;
mod limits;
mod queue;
mod shares;
mod trial_budget;

pub use cost::job_cost;
pub use gate::{DeadlineGate, GateVerdict, WaitEstimate};
pub use length::LengthClass;
pub use limits::{DemandReport, LimitSettings, LimitTable};
pub use queue::{FairQueue, PoolIndex, QueueBounds, QueuedJob};
pub use shares::{OrganisationIndex, ShareTable, UsageReport, VirtualTokens};
pub use trial_budget::TrialBudget;
