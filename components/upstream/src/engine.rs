//! The edge to a model engine.

use std::{pin::Pin, time::Duration};

use async_trait::async_trait;
use errors::UpstreamError;
use futures_lite::Stream;
use serde::{Deserialize, Serialize};
use types::{
    AdapterId, AttemptId, CacheEvent, EngineId, EngineOrder, EngineReport, ModelId, ModelVersion,
    RequestId, TokenCount,
};

/// Another engine that shares the KV memory of one long sequence.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SequenceMember {
    /// The engine.
    pub engine: EngineId,
    /// Address for calls.
    pub address: String,
    /// Tokens reserved there for this attempt.
    pub tokens: TokenCount,
}

/// One attempt of a prompt on an engine.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EngineCall {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// Model to run.
    pub model: ModelId,
    /// Version of the model.
    pub version: ModelVersion,
    /// Adapter, if any.
    pub adapter: Option<AdapterId>,
    /// The prompt's text.
    pub prompt: String,
    /// Most tokens to generate, counted from the first of the answer.
    pub output_tokens: TokenCount,
    /// Number of answer tokens the caller has already: generation goes on
    /// after them.
    pub resume_at: TokenCount,
    /// Lower runs first; may pause higher ones.
    pub priority: u32,
    /// Time left until the answer has no more use.
    pub deadline_in: Duration,
    /// The engines that share the sequence beside the one called.
    pub members: Vec<SequenceMember>,
    /// W3C trace context of the hop.
    pub traceparent: String,
}

/// What an engine sends back on a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase", tag = "event")]
pub enum EngineEvent {
    /// Prefill has begun.
    Started {
        /// The attempt it belongs to.
        attempt: AttemptId,
        /// Length of the prompt as the engine counts it.
        prompt_tokens: TokenCount,
        /// Prompt tokens found in the prefix cache.
        cached_tokens: TokenCount,
    },
    /// One token of the answer.
    Token {
        /// The attempt it belongs to.
        attempt: AttemptId,
        /// Place in the answer, from 0.
        index: TokenCount,
        /// Text of the token.
        text: String,
    },
    /// The answer is whole.
    Finished {
        /// The attempt it belongs to.
        attempt: AttemptId,
        /// Tokens in the whole answer.
        tokens: TokenCount,
    },
    /// The engine gave up.
    Failed {
        /// The attempt it belongs to.
        attempt: AttemptId,
        /// What went wrong.
        cause: String,
    },
}

/// Events of a streaming attempt; ends after `Finished`, `Failed` or an error.
pub type TokenStream = Pin<Box<dyn Stream<Item = Result<EngineEvent, UpstreamError>> + Send>>;

/// Cache events after a place in the engine's log.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CacheBatch {
    /// Place of the first event.
    pub first: u64,
    /// Place to ask from next time.
    pub next: u64,
    /// The events; those before `first` are lost.
    pub events: Vec<CacheEvent>,
}

/// A request to hold KV memory ahead of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct KvReservation {
    /// The request.
    pub request: RequestId,
    /// The attempt; a release names it too.
    pub attempt: AttemptId,
    /// Node that holds it.
    pub holder: String,
    /// Size in tokens.
    pub tokens: TokenCount,
    /// The engine frees it by itself after this time, unless renewed.
    pub lifetime: Duration,
}

/// A sequence's KV cache, named for another engine to import.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct KvExport {
    /// Names the export on the engine that holds it.
    pub export: String,
    /// Size in tokens.
    pub tokens: TokenCount,
}

/// An order to fetch an export from another engine.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct KvImport {
    /// The request.
    pub request: RequestId,
    /// The attempt that will use it.
    pub attempt: AttemptId,
    /// Address of the engine that holds the export.
    pub source: String,
    /// The export's name there.
    pub export: String,
    /// Node that asks.
    pub holder: String,
    /// The engine frees it by itself after this time.
    pub lifetime: Duration,
}

/// A model engine.
#[async_trait]
pub trait ModelEngine: Send + Sync {
    /// Starts an attempt and streams its events.
    ///
    /// # Errors
    /// `UpstreamError`.
    async fn submit(&self, call: EngineCall) -> Result<TokenStream, UpstreamError>;

    /// Ends an attempt and frees its memory; unknown attempts are no error.
    ///
    /// # Errors
    /// `UpstreamError`.
    async fn cancel(&self, request: &RequestId, attempt: AttemptId) -> Result<(), UpstreamError>;

    /// The engine's own report of its load.
    ///
    /// # Errors
    /// `UpstreamError`.
    async fn report(&self) -> Result<EngineReport, UpstreamError>;

    /// Cache events from place `after` on.
    ///
    /// # Errors
    /// `UpstreamError`.
    async fn cache_events(&self, after: u64) -> Result<CacheBatch, UpstreamError>;

    /// Gives the engine its desired state.
    ///
    /// # Errors
    /// `UpstreamError::Fenced` from engines that check the number.
    async fn order(&self, order: EngineOrder) -> Result<(), UpstreamError>;

    /// Holds or renews KV memory.
    ///
    /// # Errors
    /// `UpstreamError::Refused` when there is not enough.
    async fn reserve(&self, reservation: KvReservation) -> Result<(), UpstreamError>;

    /// Frees what an attempt holds; unknown attempts are no error.
    ///
    /// # Errors
    /// `UpstreamError`.
    async fn release(&self, request: &RequestId, attempt: AttemptId) -> Result<(), UpstreamError>;

    /// Keeps an attempt's KV cache for another engine to import.
    ///
    /// # Errors
    /// `UpstreamError`.
    async fn export_kv(
        &self,
        request: &RequestId,
        attempt: AttemptId,
        lifetime: Duration,
    ) -> Result<KvExport, UpstreamError>;

    /// Fetches an export; the attempt's prompt is then found in the cache.
    ///
    /// # Errors
    /// `UpstreamError`.
    async fn import_kv(&self, import: KvImport) -> Result<(), UpstreamError>;
}
