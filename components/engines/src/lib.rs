//! Decides which models engines load and which prompts crash engines.
//!
//! Everything here is in-memory state without I/O; callers pass in the time.

mod crash;
mod evidence;
mod fingerprint;
mod plan;

pub use crash::{CrashSettings, CrashTracker, CrashVerdict, QuarantineEntry};
pub use evidence::{DeathCause, DeathId, DeathRecord};
pub use fingerprint::{PromptFingerprint, fingerprint_of};
pub use plan::{ModelPlan, ModelPlanner, ModelRequirement};
