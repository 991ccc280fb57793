//! Errors of bench runs.

use std::{error::Error, fmt};

/// Why a bench run failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BenchError {
    /// No scenario has the given name.
    UnknownScenario {
        /// What was tried, such as `bench`.
        step: String,
        /// The scenario name that was given.
        peer: String,
    },
    /// A file could not be written.
    Output {
        /// What was tried, such as `plot`.
        step: String,
        /// Path of the file that was to be written.
        peer: String,
        /// The underlying error.
        cause: String,
    },
}

impl fmt::Display for BenchError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownScenario { step, peer } => write!(
                formatter,
                "{step}: no scenario {peer}; `gentiantally bench --help` lists them"
            ),
            Self::Output { step, peer, cause } => write!(
                formatter,
                "{step} to {peer}: {cause}; choose a file in a writable folder"
            ),
        }
    }
}

impl Error for BenchError {}
