//! The daemon of an entry host, composed of services that run on the kernel.

pub mod api;
pub mod daemon;
pub mod directory;
pub mod drain;
pub mod engines;
mod failure;
pub mod fleet;
pub mod knobs;
pub mod limits;
pub mod links;
pub mod members;
pub mod notes;
pub mod orders;
pub mod peers;
pub mod prompts;
pub mod quarantine;
pub mod sockets;
pub mod watch;

pub use daemon::NodeDaemon;
pub use failure::NodeError;
