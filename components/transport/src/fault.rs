//! Why a call brought no whole answer.

use std::{error::Error, fmt};

use errors::{PlatformError, SendPhase, UpstreamError};

/// Why a call brought no whole answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallError {
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
    /// The answer could not be understood.
    Malformed {
        /// What was tried.
        step: String,
        /// Whom it was tried on.
        peer: String,
        /// What came back.
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
    fn from(fault: CallError) -> Self {
        match fault {
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
    fn from(fault: CallError) -> Self {
        match fault {
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
