//! Deaths of engines, as nodes tell each other.

use std::{collections::BTreeSet, time::Duration};

use serde::{Deserialize, Serialize};
use types::{EngineId, IncarnationNumber};

use crate::PromptFingerprint;

/// One life of an engine, which ended.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct DeathId {
    /// The engine.
    pub engine: EngineId,
    /// The life that ended.
    pub incarnation: IncarnationNumber,
}

/// What is held to have caused a death.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum DeathCause {
    /// Not known.
    Unknown,
    /// One prompt.
    Prompt(PromptFingerprint),
    /// An operator cleared the prompts that were there.
    Cleared,
}

/// A death and the prompts that were lost by it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DeathRecord {
    /// The life that ended.
    pub death: DeathId,
    /// Time since it was first told of.
    pub age: Duration,
    /// The prompts that ran there.
    pub suspects: BTreeSet<PromptFingerprint>,
    /// What is held to have caused it.
    pub cause: DeathCause,
}
