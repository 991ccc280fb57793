//! Interface to a plain service.

use std::time::Duration;

use async_trait::async_trait;
use errors::UpstreamError;
use serde::{Deserialize, Serialize};
use types::FencingNumber;

/// Response of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceResponse {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Body of the response as text.
    pub body: String,
}

/// Call that sends an order to a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderCall {
    /// Path on the service, without a leading slash.
    pub path: String,
    /// Media type of the body.
    pub content_type: String,
    /// Body of the order as text.
    pub body: String,
    /// Deduplication key, made of the organisation and the caller's key, for services
    /// that support one.
    pub dedup_key: Option<String>,
    /// Fencing number, for services that check it.
    pub fencing: Option<FencingNumber>,
    /// Time left until the caller's deadline.
    pub deadline_in: Duration,
    /// W3C trace context to forward.
    pub traceparent: String,
}

/// Operations of a plain service, an upstream that is not a model engine.
#[async_trait]
pub trait PlainService: Send + Sync {
    /// Sends an idempotent read with at most `limit` for the whole call.
    ///
    /// # Errors
    /// `UpstreamError` when no valid response arrives.
    async fn read(
        &self,
        path: &str,
        limit: Duration,
        traceparent: &str,
    ) -> Result<ServiceResponse, UpstreamError>;

    /// Sends an order at most once.
    ///
    /// # Errors
    /// `UpstreamError`; its `effect_unknown` tells whether the order may have run.
    async fn order(&self, call: OrderCall) -> Result<ServiceResponse, UpstreamError>;
}
