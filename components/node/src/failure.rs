//! Why a node does not start.

use std::{error::Error, fmt, io};

use kernel::KernelError;

/// Why a node could not start.
#[derive(Debug)]
pub enum NodeError {
    /// An address could not be bound.
    Bind {
        /// What was tried.
        step: String,
        /// The address.
        peer: String,
        /// What came back.
        cause: String,
    },
    /// Services could not be composed.
    Kernel(KernelError),
}

impl fmt::Display for NodeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { step, peer, cause } => write!(
                formatter,
                "{step} {peer}: {cause}; choose another address in the settings, or end the \
                 process that has it"
            ),
            Self::Kernel(error) => error.fmt(formatter),
        }
    }
}

impl Error for NodeError {}

impl From<KernelError> for NodeError {
    fn from(error: KernelError) -> Self {
        Self::Kernel(error)
    }
}

impl NodeError {
    /// The error of listening on `address`.
    pub(crate) fn bind(address: &str, error: &io::Error) -> Self {
        Self::Bind {
            step: "listen on".to_owned(),
            peer: address.to_owned(),
            cause: error.to_string(),
        }
    }
}
