//! Plain error enums that every component uses.
//!
//! Each variant that arises between processes carries the step that was tried
//! and the peer it was tried on.

mod platform;
mod settings;
mod upstream;

pub use platform::PlatformError;
pub use settings::{DocumentFault, SettingsError};
pub use upstream::{SendPhase, UpstreamError};
