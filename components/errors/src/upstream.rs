//! Errors of the two edges to upstreams.

use std::{error::Error, fmt, time::Duration};

/// How far a call had got when it failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendPhase {
    /// No byte was written: the upstream can't have run it.
    BeforeFirstByte,
    /// At least one byte was written: the upstream may have run it.
    AfterFirstByte,
}

/// Why a call to an upstream did not succeed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UpstreamError {
    /// The connection failed or was cut.
    Broken {
        /// What was tried.
        step: String,
        /// Whom it was tried on.
        peer: String,
        /// How far the call had got.
        phase: SendPhase,
        /// What came back.
        cause: String,
    },
    /// No answer within the time given.
    Overdue {
        /// What was tried.
        step: String,
        /// Whom it was tried on.
        peer: String,
        /// How far the call had got.
        phase: SendPhase,
    },
    /// The upstream answered that it did not and will not run the call.
    Refused {
        /// What was tried.
        step: String,
        /// Whom it was tried on.
        peer: String,
        /// HTTP status of the answer.
        status: u16,
        /// What the upstream said.
        cause: String,
        /// When to try again, if the upstream said so.
        retry_after: Option<Duration>,
    },
    /// The fencing number of the order is older than one the upstream took.
    Fenced {
        /// What was tried.
        step: String,
        /// Whom it was tried on.
        peer: String,
        /// Highest number the upstream took.
        newest: u64,
    },
    /// The answer could not be understood, or ended before it was whole.
    Malformed {
        /// What was tried.
        step: String,
        /// Whom it was tried on.
        peer: String,
        /// What came back.
        cause: String,
    },
}

impl UpstreamError {
    /// Whether the upstream may have run the call.
    #[must_use]
    pub fn effect_unknown(&self) -> bool {
        match self {
            Self::Broken { phase, .. } | Self::Overdue { phase, .. } => {
                *phase == SendPhase::AfterFirstByte
            }
            Self::Malformed { .. } => true,
            Self::Refused { .. } | Self::Fenced { .. } => false,
        }
    }
}

impl fmt::Display for UpstreamError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken {
                step,
                peer,
                phase,
                cause,
            } => {
                write!(formatter, "{step} on {peer}: broken ({phase:?}): {cause}")
            }
            Self::Overdue { step, peer, phase } => {
                write!(formatter, "{step} on {peer}: no answer in time ({phase:?})")
            }
            Self::Refused {
                step,
                peer,
                status,
                cause,
                ..
            } => {
                write!(
                    formatter,
                    "{step} on {peer}: refused with {status}: {cause}"
                )
            }
            Self::Fenced { step, peer, newest } => {
                write!(formatter, "{step} on {peer}: fenced, newest is {newest}")
            }
            Self::Malformed { step, peer, cause } => {
                write!(
                    formatter,
                    "{step} on {peer}: answer not understood: {cause}"
                )
            }
        }
    }
}

impl Error for UpstreamError {}
