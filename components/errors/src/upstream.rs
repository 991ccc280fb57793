//! Errors of calls to upstreams, both model engines and plain services.

use std::{error::Error, fmt, time::Duration};

/// How far a call had been sent when it failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendPhase {
    /// No byte was written, so the upstream cannot have run the call.
    BeforeFirstByte,
    /// At least one byte was written, so the upstream may have run the call.
    AfterFirstByte,
}

/// Error of a call to an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UpstreamError {
    /// The connection failed, or was closed in the middle of an HTTP message or of
    /// a line of an event stream.
    Broken {
        /// Operation that was tried.
        step: String,
        /// Peer that was called.
        peer: String,
        /// Whether any byte of the call was written before the failure.
        phase: SendPhase,
        /// Error of the connection.
        cause: String,
    },
    /// No answer came before the timeout.
    Overdue {
        /// Operation that was tried.
        step: String,
        /// Peer that was called.
        peer: String,
        /// Whether any byte of the call was written before the failure.
        phase: SendPhase,
    },
    /// The upstream answered that it did not and will not run the call.
    Refused {
        /// Operation that was tried.
        step: String,
        /// Peer that was called.
        peer: String,
        /// HTTP status of the answer.
        status: u16,
        /// Message of the upstream's answer.
        cause: String,
        /// Delay after which to retry, if the upstream gave one.
        retry_after: Option<Duration>,
    },
    /// The upstream refused the order because it accepted one with a higher
    /// fencing number before.
    Fenced {
        /// Operation that was tried.
        step: String,
        /// Peer that was called.
        peer: String,
        /// Highest fencing number that the upstream accepted.
        newest: u64,
    },
    /// The connection held, but the answer could not be parsed, was too long, had an
    /// unexpected status or lacked content, such as the end event of a stream.
    Malformed {
        /// Operation that was tried.
        step: String,
        /// Peer that was called.
        peer: String,
        /// Why the answer was not accepted.
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
                write!(
                    formatter,
                    "{step} on {peer}: connection broken ({phase:?}): {cause}"
                )
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
                write!(
                    formatter,
                    "{step} on {peer}: refused, a higher fencing number was accepted before: {newest}"
                )
            }
            Self::Malformed { step, peer, cause } => {
                write!(formatter, "{step} on {peer}: invalid answer: {cause}")
            }
        }
    }
}

impl Error for UpstreamError {}
