//! Responses to operators about release notes.

use entry::{ApiFailure, FailureKind};
use notes::AcceptedNote;
use serde::{Deserialize, Serialize};
use types::NoteVersion;

use crate::notes::{NoteConflict, PublishOutcome};

/// Response to the publication of a release note that was accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PublishAnswer {
    /// Version of the note.
    pub version: NoteVersion,
    /// Id of the note, derived from its content.
    pub id: String,
    /// Whether the note had been accepted before, so that nothing changed.
    pub repeated: bool,
}

/// One accepted release note in the history.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HistoryEntry {
    /// Version of the note.
    pub version: NoteVersion,
    /// Id of the note, derived from its content.
    pub id: String,
    /// Purpose of the note, as written by its author.
    pub summary: String,
}

impl HistoryEntry {
    /// Builds the history entry of an accepted note.
    #[must_use]
    pub fn from_note(note: &AcceptedNote) -> Self {
        Self {
            version: note.version,
            id: note.id.clone(),
            summary: note.document.summary.clone(),
        }
    }
}

/// Converts the outcome of a publication into its response.
///
/// # Errors
/// `ApiFailure` when the note was not accepted, or may not have been.
pub fn publish_answer(outcome: PublishOutcome) -> Result<PublishAnswer, ApiFailure> {
    match outcome {
        PublishOutcome::Accepted(note) => Ok(PublishAnswer {
            version: note.version,
            id: note.id,
            repeated: false,
        }),
        PublishOutcome::AlreadyPublished { id, version } => Ok(PublishAnswer {
            version,
            id,
            repeated: true,
        }),
        PublishOutcome::Refused(faults) => Err(ApiFailure::new(
            FailureKind::Unprocessable,
            "note_refused",
            format!("refused whole: {}", join_texts(&faults)),
        )),
        PublishOutcome::Conflicted(conflict) => Err(conflict_failure(&conflict)),
        PublishOutcome::Unknown { id } => Err(ApiFailure::new(
            FailureKind::DeadlineExceeded,
            "note_in_doubt",
            format!(
                "the store did not tell whether note {id} was accepted; publish the same note \
                 again to learn it"
            ),
        )),
    }
}

fn conflict_failure(conflict: &NoteConflict) -> ApiFailure {
    let between: Vec<String> = conflict
        .between
        .iter()
        .map(|note| format!("{} ({})", note.version, note.document.summary))
        .collect();
    let advice = if conflict.can_rebase() {
        "it touches none of their entries; publish it with --rebase".to_owned()
    } else {
        format!(
            "both touch {}; {}",
            join_texts(&conflict.overlaps),
            join_texts(&conflict.faults)
        )
    };
    let message = format!(
        "made for release note {}, lost to {}; {advice}",
        conflict.base,
        between.join(", ")
    );
    ApiFailure::new(FailureKind::Conflict, "note_lost", message)
}

fn join_texts<T: ToString>(items: &[T]) -> String {
    let texts: Vec<String> = items.iter().map(ToString::to_string).collect();
    texts.join("; ")
}
