//! Decides which models engines load and which prompts are blamed for engine
//! crashes.
//!
//! Everything here is in-memory state without I/O; callers pass in the time.

mod crash;
mod death_record;
mod fingerprint;
mod pending;
mod plan;

pub use crash::{CrashSettings, CrashTracker, CrashVerdict, QuarantineEntry};
pub use death_record::{DeathCause, DeathId, DeathRecord};
pub use fingerprint::{PromptFingerprint, fingerprint_of};
pub use pending::PendingDeaths;
pub use plan::{ModelPlan, ModelPlanner, ModelRequirement};
