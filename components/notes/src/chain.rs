//! The chain of accepted notes, as stored and as sent between nodes.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use types::NoteVersion;

use crate::{FleetState, NoteDocument};

/// Identifies a note by its content: SHA-256 in hexadecimal.
pub type NoteId = String;

/// Computes the id of `document`. Equal notes have equal ids.
#[must_use]
pub fn note_id(document: &NoteDocument) -> NoteId {
    let text = serde_json::to_vec(document).unwrap_or_default();
    hex::encode(Sha256::digest(text))
}

/// An accepted note with its position in the chain.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AcceptedNote {
    /// Version of the state after this note; the first note has version 1.
    pub version: NoteVersion,
    /// Id of `document`.
    pub id: NoteId,
    /// Id of the previous note; empty for the first.
    pub previous: NoteId,
    /// Content of the note.
    pub document: NoteDocument,
}

impl AcceptedNote {
    /// Builds the accepted note that follows `head`.
    #[must_use]
    pub fn following(head: &ChainHead, document: NoteDocument) -> Self {
        Self {
            version: head.version + 1,
            id: note_id(&document),
            previous: head.id.clone(),
            document,
        }
    }
}

/// Version and id of the newest accepted note.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChainHead {
    /// Version of the newest note; 0 before the first.
    pub version: NoteVersion,
    /// Id of the newest note; empty before the first.
    pub id: NoteId,
}

/// The state in force under the newest note of a chain.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChainState {
    /// Id of the newest note; empty before the first.
    pub id: NoteId,
    /// Entries in force after that note.
    pub state: FleetState,
}

/// Why a note can't be applied to a chain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChainError {
    /// The note is not the next version: one is missing, or it was applied
    /// before.
    WrongVersion {
        /// Next version of the chain.
        expected: NoteVersion,
        /// Version of the note.
        found: NoteVersion,
    },
    /// The note follows another note than the newest one of the chain.
    Fork {
        /// Version of the note.
        version: NoteVersion,
    },
    /// The note's id does not match its content.
    IdMismatch {
        /// Version of the note.
        version: NoteVersion,
    },
}

impl std::fmt::Display for ChainError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::WrongVersion { expected, found } => {
                write!(formatter, "expected version {expected}, found {found}")
            }
            Self::Fork { version } => write!(
                formatter,
                "note {version} does not follow the newest note of the chain"
            ),
            Self::IdMismatch { version } => write!(
                formatter,
                "the id of note {version} does not match its content"
            ),
        }
    }
}

impl std::error::Error for ChainError {}

impl ChainState {
    /// Version and id of the newest note.
    #[must_use]
    pub fn head(&self) -> ChainHead {
        ChainHead {
            version: self.state.version,
            id: self.id.clone(),
        }
    }

    /// Applies `note`, which must be the next one of the chain.
    ///
    /// # Errors
    /// `ChainError` if it is not; the state is left unchanged.
    pub fn apply(&mut self, note: &AcceptedNote) -> Result<(), ChainError> {
        let expected = self.state.version + 1;
        if note.version != expected {
            return Err(ChainError::WrongVersion {
                expected,
                found: note.version,
            });
        }
        if note.previous != self.id {
            return Err(ChainError::Fork {
                version: note.version,
            });
        }
        if note_id(&note.document) != note.id {
            return Err(ChainError::IdMismatch {
                version: note.version,
            });
        }
        self.state = self.state.with_note(&note.document);
        self.id.clone_from(&note.id);
        Ok(())
    }
}

/// Request to another node for the notes after a version.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct NotesRequest {
    /// Version that the requesting node has; 0 for none.
    pub after: NoteVersion,
}

/// Reply of a node to a [`NotesRequest`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct NotesReply {
    /// Whether the node is serving; if not, the other fields are empty.
    pub serves: bool,
    /// Version in force on that node.
    pub in_force: NoteVersion,
    /// Complete state, if the node no longer keeps all notes in between.
    pub snapshot: Option<ChainState>,
    /// Notes to apply in order, after the snapshot if there is one.
    pub notes: Vec<AcceptedNote>,
}
