//! Error of an HTTP call.

use std::{error::Error, fmt};

use errors::{PlatformError, SendPhase, UpstreamError};

/// Reason why a call returned no complete and valid response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallError {
    /// The connection failed or closed early, or the request could not be built.
    Broken {
        /// Operation that was attempted, such as `table read`.
        step: String,
        /// Address of the peer.
        peer: String,
        /// Whether any byte of the request had been written.
        phase: SendPhase,
        /// Text of the underlying error, or what is wrong with the request or response.
        cause: String,
    },
    /// The response did not arrive within the timeout.
    Overdue {
        /// Operation that was attempted, such as `table read`.
        step: String,
        /// Address of the peer.
        peer: String,
        /// Whether any byte of the request had been written.
        phase: SendPhase,
    },
    /// The response was invalid.
    Malformed {
        /// Operation that was attempted, such as `table read`.
        step: String,
        /// Address of the peer.
        peer: String,
        /// Text of the underlying error, or what is wrong with the response.
        cause: String,
    },
}

impl fmt::Display for CallError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        UpstreamError::from(self.clone()).fmt(formatter)
    }
}

impl Error for CallError {}

impl From<CallError> for UpstreamError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::Broken {
                step,
                peer,
                phase,
                cause,
            } => Self::Broken {
                step,
                peer,
                phase,
                cause,
            },
            CallError::Overdue { step, peer, phase } => Self::Overdue { step, peer, phase },
            CallError::Malformed { step, peer, cause } => Self::Malformed { step, peer, cause },
        }
    }
}

impl From<CallError> for PlatformError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::Broken {
                step,
                peer,
                phase,
                cause,
            } => phase_error(phase, step, peer, cause),
            CallError::Overdue { step, peer, phase } => {
                phase_error(phase, step, peer, "no answer in time".to_owned())
            }
            CallError::Malformed { step, peer, cause } => Self::Malformed { step, peer, cause },
        }
    }
}

fn phase_error(phase: SendPhase, step: String, peer: String, cause: String) -> PlatformError {
    match phase {
        SendPhase::BeforeFirstByte => PlatformError::Unreachable { step, peer, cause },
        SendPhase::AfterFirstByte => PlatformError::Unanswered { step, peer, cause },
    }
}
