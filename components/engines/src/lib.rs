//! What engines should hold, and which prompts crash them: pure decisions.

mod crash;
mod evidence;
mod fingerprint;
mod plan;

pub use crash::{CrashSettings, CrashTracker, CrashVerdict, QuarantineEntry};
pub use evidence::{DeathCause, DeathId, DeathRecord};
pub use fingerprint::{PromptFingerprint, fingerprint_of};
pub use plan::{ModelPlan, ModelPlanner, ModelRequirement};
