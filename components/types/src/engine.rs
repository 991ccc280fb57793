//! What nodes know of a model engine.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    AdapterId, AttemptId, EngineId, FencingNumber, IncarnationNumber, ModelId, ModelVersion,
    PrefixHash, RequestId, TokenCount, ZoneId,
};

/// Which lengths an engine serves by preference.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EngineRole {
    /// Short prompts first; long work only while idle, preempted at once.
    Short,
    /// Long prompts first, alone or several engines together.
    Long,
    /// No preference.
    #[default]
    Mixed,
}

/// The fixed properties of one engine process.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineProfile {
    /// The engine.
    pub engine: EngineId,
    /// Life of the process behind the id.
    pub incarnation: IncarnationNumber,
    /// Availability zone it runs in.
    pub zone: ZoneId,
    /// KV memory in tokens.
    pub kv_capacity: TokenCount,
    /// Prefill speed of a short prompt, tokens a second.
    pub prefill_tokens_s: f64,
    /// Context length in tokens at which attention doubles the prefill cost.
    pub attention_tokens: f64,
    /// Time of one decode step with one sequence.
    pub decode_step: Duration,
    /// Most sequences decoded together.
    pub batch_limit: u32,
}

/// A model that an engine holds ready.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct LoadedModel {
    /// The model.
    pub model: ModelId,
    /// Version of its weights.
    pub version: ModelVersion,
    /// Adapters loaded on top.
    pub adapters: Vec<AdapterId>,
}

/// KV memory that an engine holds for a reservation, export or import.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MemoryHold {
    /// The request it is held for.
    pub request: RequestId,
    /// The attempt of the request.
    pub attempt: AttemptId,
    /// Node that asked for it.
    pub holder: String,
    /// Size in tokens.
    pub tokens: TokenCount,
    /// Time left until the engine frees it by itself.
    pub expires_in: Duration,
}

/// An engine's own report of its load; it reaches nodes late.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineReport {
    /// Fixed properties of the process that reports.
    pub profile: EngineProfile,
    /// Role in force on the engine.
    pub role: EngineRole,
    /// Models it holds ready.
    pub models: Vec<LoadedModel>,
    /// Age of the figures when they were sent.
    pub age: Duration,
    /// KV memory in use, in tokens, reservations included.
    pub kv_used: TokenCount,
    /// Sequences being decoded.
    pub decoding: u32,
    /// Sequences waiting for, or in, prefill.
    pub waiting: u32,
    /// Prompt tokens still to prefill.
    pub prefill_backlog: TokenCount,
    /// Tokens generated since the process started.
    pub generated: TokenCount,
    /// Memory held for reservations, exports and imports.
    pub holds: Vec<MemoryHold>,
    /// Highest fencing number of an order it took.
    pub fencing: FencingNumber,
}

/// One change of an engine's prefix cache; events come late and with gaps.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheEvent {
    /// The prefix is in the cache.
    Stored {
        /// Hash of the prefix.
        prefix: PrefixHash,
    },
    /// The prefix left the cache.
    Evicted {
        /// Hash of the prefix.
        prefix: PrefixHash,
    },
}

/// The state an owner wants an engine to be in.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineOrder {
    /// Node that gives the order.
    pub owner: String,
    /// The owner's fencing number for this engine.
    pub fencing: FencingNumber,
    /// Role wanted.
    pub role: EngineRole,
    /// Models wanted; those not named may be unloaded.
    pub models: Vec<LoadedModel>,
}
