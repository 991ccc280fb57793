//! Errors in settings and other documents, which are JSON with comments.

use std::{error::Error, fmt};

/// One fault in a document, with its position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DocumentFault {
    /// Line number, starting at 1.
    pub line: usize,
    /// Column number, starting at 1.
    pub column: usize,
    /// Path of the field, such as `node.addresses.callers`.
    pub field: String,
    /// What is wrong, and which value is expected.
    pub cause: String,
}

/// Error of reading a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SettingsError {
    /// The file could not be read.
    Unreadable {
        /// Path of the document, as it was passed in.
        file: String,
        /// Error from reading the file.
        cause: String,
    },
    /// The document has faults; `faults` lists all of them.
    Faulty {
        /// Path of the document, as it was passed in.
        file: String,
        /// The faults, sorted by position.
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
