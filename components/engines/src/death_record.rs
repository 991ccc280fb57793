//! Records of engine deaths that nodes send to each other.

use std::{collections::BTreeSet, time::Duration};

use serde::{Deserialize, Serialize};
use types::{EngineId, IncarnationNumber};

use crate::PromptFingerprint;

/// Identifies one death of an engine: the end of one incarnation.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct DeathId {
    /// Engine that died.
    pub engine: EngineId,
    /// Incarnation of the engine process that ended; it makes repeated reports
    /// of one death equal.
    pub incarnation: IncarnationNumber,
}

/// Cause that a death is attributed to.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum DeathCause {
    /// Not attributed yet; all suspects of the death stay under suspicion. It
    /// counts towards a quarantine unless it is part of a mass failure.
    Unknown,
    /// The prompt with this fingerprint, which is quarantined.
    Prompt(PromptFingerprint),
    /// An operator cleared a suspect, so the death counts against no prompt.
    Cleared,
}

/// A death with the prompts that ran on the engine, as one node knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DeathRecord {
    /// Identity of the death, the same on all nodes.
    pub death: DeathId,
    /// Time since the sending node first learned of the death.
    pub age: Duration,
    /// Some or all of the prompts that ran on the engine when it died and have not
    /// succeeded since, as far as the sending node knows.
    pub suspects: BTreeSet<PromptFingerprint>,
    /// Cause that the sending node attributes the death to.
    pub cause: DeathCause,
}
