//! Runs prompts: on engines of this node, or forwarded to other nodes.

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
