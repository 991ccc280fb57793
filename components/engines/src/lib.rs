//! Engines that die, and the prompts that were there: pure decisions.

mod crash;
mod evidence;
mod fingerprint;

pub use crash::{CrashLedger, CrashSettings, CrashVerdict, QuarantineEntry};
pub use evidence::{DeathCause, DeathId, DeathRecord};
pub use fingerprint::{PromptFingerprint, fingerprint_of};
