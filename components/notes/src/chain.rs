//! The chain of accepted notes as it is stored and sent.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use types::NoteVersion;

use crate::{FleetState, NoteDocument};

/// Names a note by its content: SHA-256 in hexadecimal.
pub type NoteId = String;

/// The id of `document`. Equal notes have equal ids.
#[must_use]
pub fn note_id(document: &NoteDocument) -> NoteId {
    let text = serde_json::to_vec(document).unwrap_or_default();
    hex::encode(Sha256::digest(text))
}

/// An accepted note.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AcceptedNote {
    /// Its version.
    pub version: NoteVersion,
    /// Id of the note; that of `document`.
    pub id: NoteId,
    /// Id of the note of the version before; empty for the first.
    pub previous: NoteId,
    /// The note.
    pub document: NoteDocument,
}

impl AcceptedNote {
    /// The note that follows `head`.
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

/// The newest accepted note.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChainHead {
    /// Its version; 0 before the first.
    pub version: NoteVersion,
    /// Its id; empty before the first.
    pub id: NoteId,
}

/// The state in force under the newest note of a chain.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChainState {
    /// Id of the newest note.
    pub id: NoteId,
    /// What is in force.
    pub state: FleetState,
}

/// Why a note does not follow a state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChainFault {
    /// A version is missing, or was applied before.
    Gap {
        /// Version expected.
        expected: NoteVersion,
        /// Version found.
        found: NoteVersion,
    },
    /// The note names another note before it.
    Fork {
        /// Version of the note.
        version: NoteVersion,
    },
    /// The note's id is not that of its content.
    Forged {
        /// Version of the note.
        version: NoteVersion,
    },
}

impl std::fmt::Display for ChainFault {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Gap { expected, found } => {
                write!(formatter, "expected note {expected}, found {found}")
            }
            Self::Fork { version } => write!(formatter, "note {version} follows another note"),
            Self::Forged { version } => write!(formatter, "note {version} has a wrong id"),
        }
    }
}

impl std::error::Error for ChainFault {}

impl ChainState {
    /// The newest note.
    #[must_use]
    pub fn head(&self) -> ChainHead {
        ChainHead {
            version: self.state.version,
            id: self.id.clone(),
        }
    }

    /// Applies `note`.
    ///
    /// # Errors
    /// `ChainFault` when it is not the next one; the state stays as it is.
    pub fn apply(&mut self, note: &AcceptedNote) -> Result<(), ChainFault> {
        let expected = self.state.version + 1;
        if note.version != expected {
            return Err(ChainFault::Gap {
                expected,
                found: note.version,
            });
        }
        if note.previous != self.id {
            return Err(ChainFault::Fork {
                version: note.version,
            });
        }
        if note_id(&note.document) != note.id {
            return Err(ChainFault::Forged {
                version: note.version,
            });
        }
        self.state = self.state.after(&note.document);
        self.id.clone_from(&note.id);
        Ok(())
    }
}

/// Asks a node for the notes after `after`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct NotesRequest {
    /// Version the asker has; 0 for none.
    pub after: NoteVersion,
}

/// What a node has.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct NotesReply {
    /// Whether the node serves; if not, the rest is empty.
    pub serves: bool,
    /// Version in force there.
    pub in_force: NoteVersion,
    /// The whole state, when the notes in between are not at hand.
    pub snapshot: Option<ChainState>,
    /// Notes to apply in order, after the snapshot if there is one.
    pub notes: Vec<AcceptedNote>,
}
