//! Which node and which engines a prompt goes to: pure decisions.
//!
//! `NodeScheduler` is the one place where a node decides about prompts. It is
//! a state machine: events go in with the time, actions come out. The node
//! and the bench drive the same code.

mod message;
mod scheduler;

pub use message::{
    NodeSummary, OrganisationUsage, PoolSummary, RefusalReason, SchedulerAction, SchedulerEvent,
};
pub use scheduler::{NodeScheduler, SchedulerSettings};
