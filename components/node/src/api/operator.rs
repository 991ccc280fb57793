//! `/v1/operator/...`: status, release notes and traces for operators.

use std::{sync::Arc, time::Duration};

use entry::{ApiFailure, EntryRequest, FailureKind};
use errors::PlatformError;
use notes::NoteDocument;
use types::NoteVersion;

use super::{
    ApiContext,
    access::require_operator,
    answer::{ApiResult, json_response},
    note_answer::{HistoryEntry, publish_answer},
    status::FleetStatus,
};
use crate::notes::PublishOptions;

const HISTORY_LIMIT: usize = 100;
const STORE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Returns the status of this node and its view of the fleet.
///
/// # Errors
/// `ApiFailure` without an operator's key.
pub fn status(context: &Arc<ApiContext>, request: &EntryRequest) -> ApiResult {
    require_operator(context, request)?;
    Ok(json_response(&FleetStatus::from_context(context)))
}

/// Publishes a release note. `base` in the query is the version that the note is
/// based on; with `rebase=true` the note is applied on top of later notes if they
/// change other entries.
///
/// # Errors
/// `ApiFailure` without an operator's key, or when the note was not accepted or
/// may not have been.
pub async fn publish(context: Arc<ApiContext>, mut request: EntryRequest) -> ApiResult {
    require_operator(&context, &request)?;
    let options = PublishOptions {
        base: query_number(&request, "base")?,
        rebase: request.query("rebase").is_some_and(|text| text == "true"),
    };
    let held_body = request.body().await?;
    let text = String::from_utf8_lossy(held_body.bytes());
    let document: settings::ParsedDocument<NoteDocument> = settings::parse_document("note", &text)
        .map_err(|error| malformed_note(&error.to_string()))?;
    let outcome = context
        .notes
        .publish(&document.value, &options)
        .await
        .map_err(|error| store_failure(&error))?;
    publish_answer(outcome).map(|answer| json_response(&answer))
}

/// Returns the state in force; with `after` in the query, the notes accepted after
/// that version; with `from` and `to`, the changes between two versions.
///
/// # Errors
/// `ApiFailure` without an operator's key, or when the store can't be read.
pub async fn read_notes(context: Arc<ApiContext>, request: EntryRequest) -> ApiResult {
    require_operator(&context, &request)?;
    if let Some(after) = query_number(&request, "after")? {
        let notes = context.notes.history(after, HISTORY_LIMIT).await;
        let notes = notes.map_err(|error| store_failure(&error))?;
        let entries: Vec<HistoryEntry> = notes.iter().map(HistoryEntry::from_note).collect();
        return Ok(json_response(&entries));
    }
    let from = query_number(&request, "from")?;
    let to = query_number(&request, "to")?;
    if let (Some(from), Some(to)) = (from, to) {
        let changes = context.notes.diff(from, to).await;
        let changes = changes.map_err(|error| store_failure(&error))?;
        return Ok(json_response(&changes));
    }
    Ok(json_response(&*context.notes.current()))
}

fn query_number(request: &EntryRequest, name: &str) -> Result<Option<NoteVersion>, ApiFailure> {
    let Some(text) = request.query(name) else {
        return Ok(None);
    };
    text.parse().map(Some).map_err(|_| {
        let message = format!("{name} must be a release note's version");
        ApiFailure::new(FailureKind::BadRequest, "bad_query", message).with_param(name)
    })
}

fn malformed_note(cause: &str) -> ApiFailure {
    ApiFailure::new(FailureKind::Unprocessable, "malformed_note", cause)
}

fn store_failure(error: &PlatformError) -> ApiFailure {
    ApiFailure::new(
        FailureKind::Unavailable,
        "store_unavailable",
        format!("{error}; nothing changed"),
    )
    .with_retry_after(STORE_RETRY_AFTER)
}

/// Returns the spans of one request or trace that this node has kept.
///
/// # Errors
/// `ApiFailure` without an operator's key.
pub fn trace(context: &Arc<ApiContext>, request: &EntryRequest, id: &str) -> ApiResult {
    require_operator(context, request)?;
    Ok(json_response(&context.tracer.find(id)))
}
