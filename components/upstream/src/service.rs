//! The edge to a plain service.

use std::time::Duration;

use async_trait::async_trait;
use errors::UpstreamError;
use serde::{Deserialize, Serialize};
use types::FencingNumber;

/// What a plain service answered.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Body as text.
    pub body: String,
}

/// One order to a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderCall {
    /// Path below the service, without a leading slash.
    pub path: String,
    /// Media type of the body.
    pub content_type: String,
    /// Body.
    pub body: String,
    /// Key for services that deduplicate; organisation and caller's key.
    pub dedup_key: Option<String>,
    /// Fencing number for services that check one.
    pub fencing: Option<FencingNumber>,
    /// Time after which the caller has no more use for the answer.
    pub deadline_in: Duration,
    /// W3C trace context of the hop.
    pub traceparent: String,
}

/// A plain service beside the model engines.
#[async_trait]
pub trait PlainService: Send + Sync {
    /// An idempotent read.
    ///
    /// # Errors
    /// `UpstreamError`.
    async fn read(
        &self,
        path: &str,
        limit: Duration,
        traceparent: &str,
    ) -> Result<ServiceResponse, UpstreamError>;

    /// An order; sent at most once by this call.
    ///
    /// # Errors
    /// `UpstreamError`; `effect_unknown` tells whether it may have run.
    async fn order(&self, call: OrderCall) -> Result<ServiceResponse, UpstreamError>;
}
