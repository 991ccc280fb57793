//! State of a model engine, and the messages between it and the nodes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    AdapterId, AttemptId, EngineId, FencingNumber, IncarnationNumber, ModelId, ModelVersion,
    PrefixHash, RequestId, TokenCount, ZoneId,
};

/// Prompt lengths that an engine serves by preference.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EngineRole {
    /// Serves short prompts first; runs long prompts only while idle and preempts
    /// them as soon as a short one arrives.
    Short,
    /// Serves long prompts first, alone or together with other engines.
    Long,
    /// Serves all lengths without preference.
    #[default]
    Mixed,
}

/// Properties of one engine process that don't change while it runs.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineProfile {
    /// Engine id from the host list.
    pub engine: EngineId,
    /// Number of this process among those that ran under the engine id; a restart
    /// raises it.
    pub incarnation: IncarnationNumber,
    /// Availability zone that the engine runs in.
    pub zone: ZoneId,
    /// Capacity of the KV cache memory, in tokens.
    pub kv_capacity: TokenCount,
    /// Prefill speed for short prompts, in tokens per second.
    pub prefill_tokens_s: f64,
    /// Context length, in tokens, at which attention doubles the prefill cost of a
    /// token.
    pub attention_tokens: f64,
    /// Duration of a decode step with a single sequence.
    pub decode_step: Duration,
    /// Maximum number of sequences in one decode batch.
    pub batch_limit: u32,
}

/// A model with the version of its weights and its adapters, as an engine has it
/// loaded or should load it.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct ModelSpec {
    /// Model id from the release note.
    pub model: ModelId,
    /// Version of the weights.
    pub version: ModelVersion,
    /// Adapters on top of the model.
    pub adapters: Vec<AdapterId>,
}

/// KV cache memory that an engine holds for a reservation, or for the export or
/// import of a KV cache.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MemoryHold {
    /// Request that the memory is held for.
    pub request: RequestId,
    /// Attempt of the request.
    pub attempt: AttemptId,
    /// Id of the node that asked for the memory.
    pub holder: String,
    /// Amount of held memory, in tokens.
    pub tokens: TokenCount,
    /// Time until the engine frees the memory by itself.
    pub expires_in: Duration,
}

/// An engine's report of its load; it reaches nodes with a delay, so its figures
/// may be outdated.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineReport {
    /// Properties of the engine process that sent the report.
    pub profile: EngineProfile,
    /// Role that the engine works under.
    pub role: EngineRole,
    /// Models that are loaded and ready.
    pub models: Vec<ModelSpec>,
    /// Age of the figures when the report was sent.
    pub age: Duration,
    /// KV cache memory in use, in tokens, including reservations.
    pub kv_used: TokenCount,
    /// Number of sequences in decode.
    pub decoding: u32,
    /// Number of sequences queued for prefill or in prefill.
    pub waiting: u32,
    /// Number of prompt tokens that remain to be prefilled.
    pub prefill_backlog: TokenCount,
    /// Number of tokens generated since the process started.
    pub generated: TokenCount,
    /// KV cache memory held for reservations, exports and imports.
    pub holds: Vec<MemoryHold>,
    /// Highest fencing number among the orders the engine accepted.
    pub fencing: FencingNumber,
}

/// A change of an engine's prefix cache; events arrive with a delay, and some are
/// lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheEvent {
    /// The prefix was added to the cache.
    Stored {
        /// Hash of the prefix, as `prefix_hashes` returns it.
        prefix: PrefixHash,
    },
    /// The prefix was removed from the cache.
    Evicted {
        /// Hash of the prefix, as `prefix_hashes` returns it.
        prefix: PrefixHash,
    },
}

/// Desired state of an engine, sent by the node that owns it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineOrder {
    /// Id of the owning node, which sends the order.
    pub owner: String,
    /// The owner's fencing number for this engine; the engine refuses orders with
    /// a lower number than it has seen.
    pub fencing: FencingNumber,
    /// Role that the engine should work under.
    pub role: EngineRole,
    /// Models that should be loaded; the engine may unload all others.
    pub models: Vec<ModelSpec>,
}
