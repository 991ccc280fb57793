//! `/v1/operator/...`: what operators ask and change.

use std::sync::Arc;

use entry::{ApiFailure, EntryRequest, FailureKind};
use notes::NoteDocument;
use serde::{Deserialize, Serialize};
use types::NoteVersion;

use super::{
    ApiParts,
    access::require_operator,
    answer::{ApiResult, json_response},
    status::FleetStatus,
};

/// The answer to a release note that was accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PublishAnswer {
    /// Its version.
    pub version: NoteVersion,
}

/// The node's own status.
///
/// # Errors
/// `ApiFailure` without an operator's key.
pub fn status(parts: &Arc<ApiParts>, request: &EntryRequest) -> ApiResult {
    require_operator(parts, request)?;
    Ok(json_response(&FleetStatus::of(parts)))
}

/// Publishes a release note.
///
/// # Errors
/// `ApiFailure` when it is not accepted.
pub async fn publish(parts: Arc<ApiParts>, mut request: EntryRequest) -> ApiResult {
    require_operator(&parts, &request)?;
    let held = request.body().await?;
    let text = String::from_utf8_lossy(held.bytes()).into_owned();
    let document: settings::ParsedDocument<NoteDocument> = settings::parse_document("note", &text)
        .map_err(|error| {
            ApiFailure::new(
                FailureKind::Unprocessable,
                "malformed_note",
                error.to_string(),
            )
        })?;
    match parts.notes.publish(&document.value).await {
        Ok(version) => Ok(json_response(&PublishAnswer { version })),
        Err(error) => Err(ApiFailure::new(
            FailureKind::Conflict,
            "note_not_published",
            error.to_string(),
        )),
    }
}

/// Spans of one request or trace that this node keeps.
///
/// # Errors
/// `ApiFailure` without an operator's key.
pub fn trace(parts: &Arc<ApiParts>, request: &EntryRequest, id: &str) -> ApiResult {
    require_operator(parts, request)?;
    Ok(json_response(&parts.tracer.find(id)))
}
