//! Calls between nodes over TCP.
//!
//! One connection a call. Both sides prove that they hold a cluster key: the
//! called node sends a nonce, the caller signs it, and the called node signs
//! the caller's nonce in return.

mod client;
mod handshake;
mod message;
mod server;

pub use client::{PeerClient, PromptExchange};
pub use message::{DeathsAcknowledged, ForwardedPrompt, PeerReply, PeerRequest};
pub use server::{PeerHandler, PeerServer};
