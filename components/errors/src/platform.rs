//! Errors of the four edges to the platform.

use std::{error::Error, fmt, time::Duration};

use types::RowVersion;

/// Why a call to the platform did not succeed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformError {
    /// Nothing was sent: no connection could be made.
    Unreachable {
        /// What was tried.
        step: String,
        /// Whom it was tried on.
        peer: String,
        /// What came back.
        cause: String,
    },
    /// The call was sent and no answer came: a write may have taken effect.
    Unanswered {
        /// What was tried.
        step: String,
        /// Whom it was tried on.
        peer: String,
        /// What came back.
        cause: String,
    },
    /// The platform answered that it can't serve now; nothing took effect.
    Refused {
        /// What was tried.
        step: String,
        /// Whom it was tried on.
        peer: String,
        /// When to try again, if the platform said so.
        retry_after: Option<Duration>,
    },
    /// A row did not have the expected version; nothing took effect.
    Conflict {
        /// What was tried.
        step: String,
        /// Whom it was tried on.
        peer: String,
        /// Key of the first row that differed.
        key: String,
        /// Version the row has; `None` when it is absent.
        found: Option<RowVersion>,
    },
    /// The answer could not be understood: a write may have taken effect.
    Malformed {
        /// What was tried.
        step: String,
        /// Whom it was tried on.
        peer: String,
        /// What came back.
        cause: String,
    },
}

impl PlatformError {
    /// Whether a write that ended in this error may have taken effect.
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
                    "{step} on {peer}: no answer, effect unknown: {cause}"
                )
            }
            Self::Refused {
                step,
                peer,
                retry_after,
            } => match retry_after {
                Some(delay) => write!(
                    formatter,
                    "{step} on {peer}: refused, try again in {} ms",
                    delay.as_millis()
                ),
                None => write!(formatter, "{step} on {peer}: refused"),
            },
            Self::Conflict {
                step,
                peer,
                key,
                found,
            } => match found {
                Some(version) => {
                    write!(formatter, "{step} on {peer}: {key} is at version {version}")
                }
                None => write!(formatter, "{step} on {peer}: {key} is absent"),
            },
            Self::Malformed { step, peer, cause } => {
                write!(
                    formatter,
                    "{step} on {peer}: answer not understood: {cause}"
                )
            }
        }
    }
}

impl Error for PlatformError {}
