//! Why a bench run could not be done.

use std::{error::Error, fmt};

/// Why a bench run could not be done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BenchError {
    /// There is no scenario of that name.
    UnknownScenario {
        /// What was tried.
        step: String,
        /// The name given.
        peer: String,
    },
    /// A file could not be written.
    Output {
        /// What was tried.
        step: String,
        /// The file.
        peer: String,
        /// What came back.
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
                "{step} to {peer}: {cause}; give a file in a folder that can be written"
            ),
        }
    }
}

impl Error for BenchError {}
