//! Calls between nodes over TCP.
//!
//! Each call opens one connection. Both sides prove that they hold a cluster
//! key: the callee sends a nonce, the caller signs it, and the callee signs the
//! caller's nonce in return.

mod client;
mod handshake;
mod message;
mod server;

pub use client::{PeerClient, PromptExchange};
pub use message::{DeathsAcknowledged, ForwardedPrompt, PeerReply, PeerRequest};
pub use server::{PeerHandler, PeerServer};
