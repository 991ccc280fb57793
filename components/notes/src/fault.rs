//! Errors of a release note.

use std::{error::Error, fmt};

use serde::{Deserialize, Serialize};

/// Kind of an entry of a release note.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EntryKind {
    /// Customer organisation with its keys and limits.
    Organisation,
    /// Language model.
    Model,
    /// Adapter of a model.
    Adapter,
    /// Plain service that runs orders.
    Service,
}

impl fmt::Display for EntryKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Organisation => "organisation",
            Self::Model => "model",
            Self::Adapter => "adapter",
            Self::Service => "service",
        })
    }
}

/// Identifies an entry by kind and name.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct EntryName {
    /// Kind of the entry; names are unique only within a kind.
    pub kind: EntryKind,
    /// Id or name that the note uses for the entry.
    pub name: String,
}

impl EntryName {
    /// Creates the identifier of the entry `name` of `kind`.
    #[must_use]
    pub fn new(kind: EntryKind, name: &str) -> Self {
        Self {
            kind,
            name: name.to_owned(),
        }
    }
}

impl fmt::Display for EntryName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {:?}", self.kind, self.name)
    }
}

/// One reason why a note is refused.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum NoteError {
    /// The text can't be parsed as a release note.
    Malformed {
        /// Line of the error, from 1.
        line: usize,
        /// Column of the error, from 1.
        column: usize,
        /// Message of the parser.
        cause: String,
    },
    /// The note adds, changes and withdraws nothing.
    Empty,
    /// The note is too long to be stored in a row.
    TooLong {
        /// Length of the note as JSON, in bytes.
        bytes: usize,
        /// Maximum length in bytes.
        limit: usize,
    },
    /// The fleet would have too many entries of a kind.
    TooMany {
        /// Kind with too many entries.
        kind: EntryKind,
        /// Number of entries after the note.
        count: usize,
        /// Maximum number of entries.
        limit: usize,
    },
    /// The name is empty, too long or contains control characters.
    InvalidName(EntryName),
    /// The note names the entry more than once.
    Duplicate(EntryName),
    /// An entry to add is already in force.
    AlreadyExists(EntryName),
    /// An entry to change or withdraw is not in force.
    Missing(EntryName),
    /// An entry refers to one that is not in force after the note.
    UnknownReference {
        /// Entry with the reference.
        entry: EntryName,
        /// Entry that is missing.
        reference: EntryName,
    },
    /// A withdrawn entry is still referred to.
    StillReferenced {
        /// Entry to withdraw.
        entry: EntryName,
        /// Entry that refers to it.
        user: EntryName,
    },
    /// An organisation may use an adapter but not the adapter's model.
    AdapterWithoutModel {
        /// Organisation that lacks the model.
        organisation: String,
        /// Adapter that the organisation may use.
        adapter: String,
        /// Model of the adapter.
        model: String,
    },
    /// A key digest is not 64 lower-case hexadecimal digits.
    InvalidDigest {
        /// Organisation with the digest.
        organisation: String,
        /// Index in `key_digests`, from 0.
        index: usize,
    },
    /// Two organisations have the same key, or one lists it twice.
    SharedKey {
        /// Organisation with the key.
        organisation: String,
        /// Previous organisation, by id, that has the same key; the organisation
        /// itself if it lists the key twice.
        other: String,
    },
    /// A number or the length of a list is out of its range.
    OutOfRange {
        /// Entry with the field.
        entry: EntryName,
        /// Name of the field.
        field: String,
        /// Value of the field; for a list, its length.
        value: u64,
        /// Lowest valid value.
        min: u64,
        /// Highest valid value.
        max: u64,
    },
    /// A list of references names the same entry twice.
    DuplicateReference {
        /// Entry with the list.
        entry: EntryName,
        /// Entry that the list names twice.
        reference: EntryName,
    },
}

impl fmt::Display for NoteError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed {
                line,
                column,
                cause,
            } => write!(formatter, "line {line} column {column}: {cause}"),
            Self::Empty => formatter.write_str("the note changes nothing"),
            Self::TooLong { bytes, limit } => {
                write!(formatter, "the note has {bytes} bytes, at most {limit}")
            }
            Self::TooMany { kind, count, limit } => {
                write!(formatter, "{count} entries of kind {kind}, at most {limit}")
            }
            Self::InvalidName(entry) => write!(formatter, "{entry}: not a valid name"),
            Self::Duplicate(entry) => write!(formatter, "{entry}: named more than once"),
            Self::AlreadyExists(entry) => write!(formatter, "{entry}: added, but in force already"),
            Self::Missing(entry) => write!(formatter, "{entry}: not in force"),
            Self::UnknownReference { entry, reference } => {
                write!(formatter, "{entry}: refers to unknown {reference}")
            }
            Self::StillReferenced { entry, user } => {
                write!(formatter, "{entry}: withdrawn, but used by {user}")
            }
            Self::AdapterWithoutModel {
                organisation,
                adapter,
                model,
            } => write!(
                formatter,
                "organisation {organisation:?}: has adapter {adapter:?} without model {model:?}"
            ),
            Self::InvalidDigest {
                organisation,
                index,
            } => write!(
                formatter,
                "organisation {organisation:?}: key_digests[{index}] is no SHA-256 digest"
            ),
            Self::SharedKey {
                organisation,
                other,
            } => write!(
                formatter,
                "organisation {organisation:?}: shares a key with {other:?}"
            ),
            Self::OutOfRange {
                entry,
                field,
                value,
                min,
                max,
            } => write!(
                formatter,
                "{entry}: {field} is {value}, allowed are {min} to {max}"
            ),
            Self::DuplicateReference { entry, reference } => {
                write!(formatter, "{entry}: names {reference} twice")
            }
        }
    }
}

impl Error for NoteError {}
