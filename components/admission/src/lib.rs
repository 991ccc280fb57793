//! Rate limits, fairness between organisations and admission by deadline.
//!
//! Everything here is in-memory state without I/O; callers pass in the time.
//! `FairQueue` orders queued prompts, `WaitingLine` the requests that wait for room at
//! the upstreams of a service, `ShareTable` counts the cost charged to each
//! organisation, `LimitTable` enforces rate and concurrency limits,
//! `TrialBudget` guarantees engine time to trial work, and `DeadlineGate` refuses
//! prompts that are not expected to be answered by their deadline.

mod cost;
mod drain;
mod forecast;
mod gate;
mod lane;
mod length;
mod limits;
mod line;
mod line_news;
mod queue;
mod shares;
mod trial_budget;

pub use cost::job_cost;
pub use forecast::{LinePace, ReturnSchedule};
pub use gate::{DeadlineGate, GateVerdict, WaitEstimate};
pub use length::LengthClass;
pub use limits::{DemandReport, LimitSettings, LimitTable};
pub use line::{EntryId, LineBounds, LineEntry, WaitingLine, WaitingWork};
pub use line_news::{LineNews, LineStatus, ServiceKey, class_number};
pub use queue::{FairQueue, PoolIndex, QueueBounds, QueuedJob};
pub use shares::{OrganisationIndex, ShareTable, UsageReport, VirtualTokens};
pub use trial_budget::TrialBudget;
