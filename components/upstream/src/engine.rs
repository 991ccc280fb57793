//! Interface to a model engine.

use std::{pin::Pin, time::Duration};

use async_trait::async_trait;
use errors::UpstreamError;
use futures_lite::Stream;
use serde::{Deserialize, Serialize};
use types::{
    AdapterId, AttemptId, CacheEvent, EngineId, EngineOrder, EngineReport, ModelId, ModelVersion,
    RequestId, TokenCount,
};

/// Engine of a gang that holds a shard of a long sequence's KV cache.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct GangMember {
    /// Id of the engine.
    pub engine: EngineId,
    /// IP address and port for calls to the engine.
    pub address: String,
    /// KV cache reserved on the engine for this attempt, in tokens.
    pub tokens: TokenCount,
}

/// Call that runs one attempt of a prompt on an engine.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineCall {
    /// Id of the request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt within the request.
    pub attempt: AttemptId,
    /// Model to run.
    pub model: ModelId,
    /// Version of the model's weights.
    pub version: ModelVersion,
    /// Adapter to apply to the model, if any.
    pub adapter: Option<AdapterId>,
    /// Text of the prompt.
    pub prompt: String,
    /// Maximum length of the output in tokens, including those before `resume_at`.
    pub output_tokens: TokenCount,
    /// Number of output tokens that the caller has already received; generation
    /// resumes after them.
    pub resume_at: TokenCount,
    /// Priority; a lower value runs first and may preempt higher ones.
    pub priority: u32,
    /// Time left until the request's deadline.
    pub deadline_in: Duration,
    /// The other engines of the gang that share the sequence with the called one.
    pub members: Vec<GangMember>,
    /// W3C trace context to forward.
    pub traceparent: String,
}

/// Event on the stream of a running attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase", tag = "event")]
pub enum EngineEvent {
    /// Prefill has started.
    Started {
        /// Attempt that the event belongs to.
        attempt: AttemptId,
        /// Length of the prompt in tokens, as counted by the engine.
        prompt_tokens: TokenCount,
        /// Prompt tokens found in the prefix cache.
        cached_tokens: TokenCount,
    },
    /// One output token.
    Token {
        /// Attempt that the event belongs to.
        attempt: AttemptId,
        /// Index in the complete output, from 0, so that of the first token is the
        /// call's `resume_at`.
        index: TokenCount,
        /// Decoded text of the token.
        text: String,
    },
    /// The output is complete.
    Finished {
        /// Attempt that the event belongs to.
        attempt: AttemptId,
        /// Length of the complete output in tokens.
        tokens: TokenCount,
    },
    /// The engine could not complete the attempt.
    Failed {
        /// Attempt that the event belongs to.
        attempt: AttemptId,
        /// The engine's error message.
        cause: String,
    },
}

/// Events of a running attempt. Ends after `Finished`, `Failed` or an error.
pub type TokenStream = Pin<Box<dyn Stream<Item = Result<EngineEvent, UpstreamError>> + Send>>;

/// Consecutive entries of the engine's log of cache events.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CacheBatch {
    /// Sequence number of the first event; higher than the number asked for when older
    /// events are no longer available.
    pub first: u64,
    /// Sequence number to ask for in the next call.
    pub next: u64,
    /// Events in log order.
    pub events: Vec<CacheEvent>,
}

/// Reservation of KV cache memory ahead of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct KvReservation {
    /// Id of the request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt; `release` identifies the reservation by it.
    pub attempt: AttemptId,
    /// Node that owns the reservation.
    pub holder: String,
    /// Size of the reserved KV cache in tokens.
    pub tokens: TokenCount,
    /// Time after which the engine frees the reservation unless it is renewed.
    pub lifetime: Duration,
}

/// KV cache of a sequence that another engine can import.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct KvExport {
    /// Name of the export on the engine that holds it.
    pub export: String,
    /// Size of the exported KV cache in tokens.
    pub tokens: TokenCount,
}

/// Call that makes an engine fetch an export from another engine.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct KvImport {
    /// Id of the request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt that will use the KV cache.
    pub attempt: AttemptId,
    /// IP address and port of the engine that holds the export.
    pub source: String,
    /// Name of the export on that engine.
    pub export: String,
    /// Node that owns the imported KV cache.
    pub holder: String,
    /// Time after which the engine frees the imported KV cache.
    pub lifetime: Duration,
}

/// Operations of a model engine.
#[async_trait]
pub trait ModelEngine: Send + Sync {
    /// Starts an attempt and streams its events.
    ///
    /// # Errors
    /// `UpstreamError` when the stream does not start.
    async fn submit(&self, call: EngineCall) -> Result<TokenStream, UpstreamError>;

    /// Stops an attempt and frees its memory; an unknown attempt is not an error.
    ///
    /// # Errors
    /// `UpstreamError` when the engine does not confirm.
    async fn cancel(&self, request: &RequestId, attempt: AttemptId) -> Result<(), UpstreamError>;

    /// Reads the engine's report of its state and load.
    ///
    /// # Errors
    /// `UpstreamError` when no valid report arrives.
    async fn report(&self) -> Result<EngineReport, UpstreamError>;

    /// Reads the cache events whose sequence number is `first` or higher.
    ///
    /// # Errors
    /// `UpstreamError` when no valid batch arrives.
    async fn cache_events(&self, first: u64) -> Result<CacheBatch, UpstreamError>;

    /// Sets the engine's desired state.
    ///
    /// # Errors
    /// `UpstreamError::Fenced` from an engine that checks fencing numbers and has
    /// accepted a newer one.
    async fn order(&self, order: EngineOrder) -> Result<(), UpstreamError>;

    /// Creates or renews a reservation of KV cache memory.
    ///
    /// # Errors
    /// `UpstreamError::Refused` when not enough memory is free.
    async fn reserve(&self, reservation: KvReservation) -> Result<(), UpstreamError>;

    /// Frees the memory reserved for an attempt; an unknown attempt is not an error.
    ///
    /// # Errors
    /// `UpstreamError` when the engine does not confirm.
    async fn release(&self, request: &RequestId, attempt: AttemptId) -> Result<(), UpstreamError>;

    /// Keeps an attempt's KV cache for `lifetime`, so that another engine can import
    /// it.
    ///
    /// # Errors
    /// `UpstreamError` when the engine does not confirm.
    async fn export_kv(
        &self,
        request: &RequestId,
        attempt: AttemptId,
        lifetime: Duration,
    ) -> Result<KvExport, UpstreamError>;

    /// Makes the engine fetch an export, so that the attempt's prompt is in its cache.
    ///
    /// # Errors
    /// `UpstreamError` when the engine does not confirm.
    async fn import_kv(&self, import: KvImport) -> Result<(), UpstreamError>;
}
