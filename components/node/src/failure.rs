//! Errors of starting a node.

use std::{error::Error, fmt, io};

use kernel::KernelError;

/// Error of starting a node.
#[derive(Debug)]
pub enum NodeError {
    /// A listening address could not be bound.
    Bind {
        /// Operation that was tried.
        step: String,
        /// Address that was tried.
        peer: String,
        /// Error of the operating system.
        cause: String,
    },
    /// A service could not be registered or found in the kernel.
    Kernel(KernelError),
}

impl fmt::Display for NodeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { step, peer, cause } => write!(
                formatter,
                "{step} {peer}: {cause}; choose another address in the settings, or end the \
                 process that uses it"
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
    /// Builds the error of listening on `address`.
    pub(crate) fn bind(address: &str, error: &io::Error) -> Self {
        Self::Bind {
            step: "listen on".to_owned(),
            peer: address.to_owned(),
            cause: error.to_string(),
        }
    }
}
