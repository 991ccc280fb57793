//! Bodies of the engine's HTTP calls.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use types::{AttemptId, FencingNumber, RequestId};

/// Body of `POST /engine/cancel` and `POST /engine/release`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AttemptRequest {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
}

/// Body of `POST /engine/export`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ExportRequest {
    /// The request.
    pub request: RequestId,
    /// The attempt whose KV cache is kept.
    pub attempt: AttemptId,
    /// The engine frees it by itself after this time.
    pub lifetime: Duration,
}

/// Answer of an engine with status 409: the order's number is too old.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct FencedResponse {
    /// Highest number the engine took.
    pub newest: FencingNumber,
}

/// Answer of an engine that did not and will not run a call.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RefusedResponse {
    /// What the engine says.
    pub cause: String,
}
