//! Decides which node and which engines run a prompt.
//!
//! `NodeScheduler` makes every such decision of a node. It is a state machine
//! without I/O: it takes events with their times and returns actions. The node
//! and the bench run the same code.

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
