//! Which node and which engines a prompt goes to: pure decisions.
//!
//! `NodeScheduler` is the one place where a node decides about prompts. It is
//! a state machine: events go in with the time, actions come out. The node
//! and the bench drive the same code.

mod arrival;
mod claims;
mod dispatch;
mod estimate;
mod forwarding;
mod gang;
mod load;
mod message;
mod outcome;
mod peers;
mod placement;
mod pool;
mod prefix;
mod retry;
mod roles;
mod scheduler;
mod settings;
mod summary;
mod suspects;
mod view;

pub use admission::LimitSettings;
pub use message::{
    EngineClaim, EngineDigest, NodeSummary, OrganisationDemand, OrganisationUsage, PoolSummary,
    RefusalReason, SchedulerAction, SchedulerEvent,
};
pub use scheduler::{NodeScheduler, PromptCounts};
pub use settings::SchedulerSettings;
