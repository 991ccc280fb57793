//! Errors of documents in JSON with comments.

use std::{error::Error, fmt};

/// One fault of a document, with its place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DocumentFault {
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    /// Path of the field, such as `node.addresses.callers`.
    pub field: String,
    /// What is wrong and what is expected.
    pub cause: String,
}

/// Why a document was not taken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SettingsError {
    /// The file could not be read.
    Unreadable {
        /// Path of the file.
        file: String,
        /// What came back.
        cause: String,
    },
    /// The document has faults; all of them are listed.
    Faulty {
        /// Path of the file.
        file: String,
        /// The faults, in the order of their places.
        faults: Vec<DocumentFault>,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { file, cause } => {
                write!(formatter, "{file}: cannot be read: {cause}")
            }
            Self::Faulty { file, faults } => {
                let lines: Vec<String> = faults
                    .iter()
                    .map(|fault| {
                        format!(
                            "{file}:{}:{}: {}: {}",
                            fault.line, fault.column, fault.field, fault.cause
                        )
                    })
                    .collect();
                formatter.write_str(&lines.join("\n"))
            }
        }
    }
}

impl Error for SettingsError {}
