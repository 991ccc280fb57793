//! What operators are told about release notes.

use entry::{ApiFailure, FailureKind};
use notes::AcceptedNote;
use serde::{Deserialize, Serialize};
use types::NoteVersion;

use crate::notes::{NoteConflict, PublishOutcome};

/// The answer to a release note that is in force.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PublishAnswer {
    /// Its version.
    pub version: NoteVersion,
    /// Its content's id.
    pub id: String,
    /// Whether it had been accepted before and nothing changed now.
    pub repeated: bool,
}

/// One accepted release note.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HistoryEntry {
    /// Its version.
    pub version: NoteVersion,
    /// Its content's id.
    pub id: String,
    /// What it is for, in the operator's words.
    pub summary: String,
}

impl HistoryEntry {
    /// The entry of an accepted note.
    #[must_use]
    pub fn of(note: &AcceptedNote) -> Self {
        Self {
            version: note.version,
            id: note.id.clone(),
            summary: note.document.summary.clone(),
        }
    }
}

/// The answer to an attempt to publish.
///
/// # Errors
/// `ApiFailure` when the note is not known to be in force.
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
            format!("refused whole: {}", joined(&faults)),
        )),
        PublishOutcome::Conflicted(conflict) => Err(lost(&conflict)),
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

fn lost(conflict: &NoteConflict) -> ApiFailure {
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
            joined(&conflict.overlaps),
            joined(&conflict.faults)
        )
    };
    let message = format!(
        "made for release note {}, lost to {}; {advice}",
        conflict.base,
        between.join(", ")
    );
    ApiFailure::new(FailureKind::Conflict, "note_lost", message)
}

fn joined<T: ToString>(parts: &[T]) -> String {
    let texts: Vec<String> = parts.iter().map(ToString::to_string).collect();
    texts.join("; ")
}
