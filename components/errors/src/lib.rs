//! Error types shared by all components.
//!
//! Each error of a call between processes names the operation that was tried
//! (`step`) and the peer that was called (`peer`).

mod platform;
mod settings;
mod upstream;

pub use platform::PlatformError;
pub use settings::{DocumentFault, SettingsError};
pub use upstream::{SendPhase, UpstreamError};
