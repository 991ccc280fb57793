//! The prompt service: feeds events to the scheduler and executes its actions.

mod attempt;
mod delivery;
mod forward;
mod gang;
mod open;
mod patience;
mod service;
mod ticker;
mod trial;

pub use open::{PromptHandle, PromptUpdate};
pub use service::{PromptDependencies, PromptService, PromptSubmission, refusal_code};
