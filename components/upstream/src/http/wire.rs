//! JSON bodies of calls to engines and of their error responses.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use types::{AttemptId, FencingNumber, RequestId};

/// Body of `POST /engine/cancel` and `POST /engine/release`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AttemptRequest {
    /// Id of the request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt within the request.
    pub attempt: AttemptId,
}

/// Body of `POST /engine/export`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ExportRequest {
    /// Id of the request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt whose KV cache is exported.
    pub attempt: AttemptId,
    /// Time after which the engine frees the export.
    pub lifetime: Duration,
}

/// Body of a 409 response: the fencing number of the order is too old.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct FencedResponse {
    /// Highest fencing number that the engine has accepted.
    pub newest: FencingNumber,
}

/// Body of the response of an engine that did not run a call and will not run it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RefusedResponse {
    /// The engine's reason for the refusal.
    pub cause: String,
}
