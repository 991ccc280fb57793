//! What can be wrong with a release note.

use std::{error::Error, fmt};

use serde::{Deserialize, Serialize};

/// What an entry of a release note describes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EntryKind {
    /// An organisation.
    Organisation,
    /// A model.
    Model,
    /// An adapter.
    Adapter,
    /// A plain service.
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

/// One entry's kind and name.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct EntryName {
    /// Kind.
    pub kind: EntryKind,
    /// Name.
    pub name: String,
}

impl EntryName {
    /// The name of an entry of `kind`.
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
    /// The text is no release note.
    Malformed {
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
        /// What was found.
        cause: String,
    },
    /// Nothing is added, changed or withdrawn.
    Empty,
    /// The note is longer than a row may be.
    TooLong {
        /// Length in bytes.
        bytes: usize,
        /// Most bytes.
        limit: usize,
    },
    /// More entries of a kind than the fleet may have.
    TooMany {
        /// Kind.
        kind: EntryKind,
        /// Entries after the note.
        count: usize,
        /// Most entries.
        limit: usize,
    },
    /// The name is empty, too long or holds control characters.
    BadName(EntryName),
    /// The note names the entry more than once.
    Doubled(EntryName),
    /// An entry to add exists.
    Exists(EntryName),
    /// An entry to change or withdraw does not exist.
    Missing(EntryName),
    /// An entry refers to one that is not in force after the note.
    UnknownReference {
        /// The entry.
        entry: EntryName,
        /// What it refers to.
        reference: EntryName,
    },
    /// A withdrawn entry is still referred to.
    StillUsed {
        /// The withdrawn entry.
        entry: EntryName,
        /// What refers to it.
        user: EntryName,
    },
    /// An organisation has an adapter but not the adapter's model.
    AdapterWithoutModel {
        /// The organisation.
        organisation: String,
        /// The adapter.
        adapter: String,
        /// The adapter's model.
        model: String,
    },
    /// A key digest is not 64 lower-case hexadecimal digits.
    BadDigest {
        /// The organisation.
        organisation: String,
        /// Place in its list, from 0.
        index: usize,
    },
    /// Two organisations, or one twice, have the same key.
    SharedKey {
        /// The organisation.
        organisation: String,
        /// The other one.
        other: String,
    },
    /// A number is out of bounds.
    OutOfBounds {
        /// The entry.
        entry: EntryName,
        /// The field.
        field: String,
        /// The number.
        value: u64,
        /// Least allowed.
        least: u64,
        /// Most allowed.
        most: u64,
    },
    /// A list holds the same name twice.
    Repeated {
        /// The entry.
        entry: EntryName,
        /// What it names twice.
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
            Self::BadName(entry) => write!(formatter, "{entry}: not a valid name"),
            Self::Doubled(entry) => write!(formatter, "{entry}: named more than once"),
            Self::Exists(entry) => write!(formatter, "{entry}: added, but in force already"),
            Self::Missing(entry) => write!(formatter, "{entry}: not in force"),
            Self::UnknownReference { entry, reference } => {
                write!(formatter, "{entry}: refers to unknown {reference}")
            }
            Self::StillUsed { entry, user } => {
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
            Self::BadDigest {
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
            Self::OutOfBounds {
                entry,
                field,
                value,
                least,
                most,
            } => write!(
                formatter,
                "{entry}: {field} is {value}, allowed are {least} to {most}"
            ),
            Self::Repeated { entry, reference } => {
                write!(formatter, "{entry}: names {reference} twice")
            }
        }
    }
}

impl Error for NoteError {}
