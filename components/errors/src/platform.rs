//! Errors of calls to the platform services: table service, object store, weight
//! store and host list.

use std::{error::Error, fmt, time::Duration};

use types::RowVersion;

/// Error of a call to a platform service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformError {
    /// No connection could be made, so nothing was sent.
    Unreachable {
        /// Operation that was tried.
        step: String,
        /// Peer that was called.
        peer: String,
        /// Error of the connection attempt, or that it timed out.
        cause: String,
    },
    /// The call was sent but no complete answer came; a write may have taken effect.
    Unanswered {
        /// Operation that was tried.
        step: String,
        /// Peer that was called.
        peer: String,
        /// Error of the connection, or that the call timed out.
        cause: String,
    },
    /// The platform answered that it cannot serve the call now; nothing took
    /// effect.
    Refused {
        /// Operation that was tried.
        step: String,
        /// Peer that was called.
        peer: String,
        /// Delay after which to retry, if the platform gave one.
        retry_after: Option<Duration>,
    },
    /// A row did not have the expected version; nothing took effect.
    Conflict {
        /// Operation that was tried.
        step: String,
        /// Peer that was called.
        peer: String,
        /// Key of the first row with another version.
        key: String,
        /// Current version of the row; `None` if the row does not exist.
        found: Option<RowVersion>,
    },
    /// The answer could not be parsed, was too long or had an unexpected status; a
    /// write may have taken effect.
    Malformed {
        /// Operation that was tried.
        step: String,
        /// Peer that was called.
        peer: String,
        /// Why the answer was not accepted.
        cause: String,
    },
}

impl PlatformError {
    /// Whether a write that failed with this error may have taken effect.
    #[must_use]
    pub fn effect_unknown(&self) -> bool {
        match self {
            Self::Unanswered { .. } | Self::Malformed { .. } => true,
            Self::Unreachable { .. } | Self::Refused { .. } | Self::Conflict { .. } => false,
        }
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable { step, peer, cause } => {
                write!(formatter, "{step} on {peer}: not sent: {cause}")
            }
            Self::Unanswered { step, peer, cause } => {
                write!(
                    formatter,
                    "{step} on {peer}: no complete answer, effect unknown: {cause}"
                )
            }
            Self::Refused {
                step,
                peer,
                retry_after,
            } => match retry_after {
                Some(delay) => write!(
                    formatter,
                    "{step} on {peer}: refused, cannot be served now, try again in {} ms",
                    delay.as_millis()
                ),
                None => write!(formatter, "{step} on {peer}: refused, cannot be served now"),
            },
            Self::Conflict {
                step,
                peer,
                key,
                found,
            } => match found {
                Some(version) => {
                    write!(
                        formatter,
                        "{step} on {peer}: version conflict, {key} is at version {version}"
                    )
                }
                None => write!(
                    formatter,
                    "{step} on {peer}: version conflict, {key} does not exist"
                ),
            },
            Self::Malformed { step, peer, cause } => {
                write!(formatter, "{step} on {peer}: invalid answer: {cause}")
            }
        }
    }
}

impl Error for PlatformError {}
