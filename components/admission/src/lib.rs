//! Rate limits, fairness between organisations and admission by deadline.
//!
//! Everything here is in-memory state without I/O; callers pass in the time.
//! `FairQueue` orders queued prompts, `ShareTable` counts the cost charged to each
//! organisation, `LimitTable` enforces rate and concurrency limits,
//! `TrialBudget` guarantees engine time to trial work, and `DeadlineGate` refuses
//! prompts that are not expected to be answered by their deadline.

mod cost;
mod gate;
mod lane;
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
