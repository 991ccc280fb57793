//! Reads messages between nodes and writes them again, so that a check can compare them with
//! recorded ones: of what this version writes, older ones read all that they know.

use serde::{Serialize, de::DeserializeOwned};

use crate::{datagrams::PeerDatagram, peers::DesiredRow, supplements::DatagramTrailer};

pub use crate::supplements::FORMAT;

/// A message between nodes that has a format of its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MessageKind {
    /// A datagram, without its trailer.
    Datagram,
    /// What follows a datagram since format 2.
    Trailer,
    /// A node's row in the store.
    NodeRow,
    /// Row of a part of prompts in quarantine: since when, in Unix milliseconds.
    QuarantineRow,
    /// Answer to the call for the desired state.
    DesiredRow,
}

/// Reads a message as a node does, and writes it again as a node does; also returns the
/// bytes that follow the message.
///
/// # Errors
///
/// Describes why a node could not read the message.
pub fn rewrite_message(kind: MessageKind, bytes: &[u8]) -> Result<(Vec<u8>, &[u8]), String> {
    match kind {
        MessageKind::Datagram => rewrite::<PeerDatagram>(bytes),
        MessageKind::Trailer => rewrite::<DatagramTrailer>(bytes),
        MessageKind::NodeRow => rewrite::<dispatch::RosterEntry>(bytes),
        MessageKind::QuarantineRow => rewrite::<u64>(bytes),
        MessageKind::DesiredRow => rewrite::<DesiredRow>(bytes),
    }
}

fn rewrite<T: DeserializeOwned + Serialize>(bytes: &[u8]) -> Result<(Vec<u8>, &[u8]), String> {
    let (message, rest) =
        postcard::take_from_bytes::<T>(bytes).map_err(|error| error.to_string())?;
    let written = postcard::to_stdvec(&message).map_err(|error| error.to_string())?;
    Ok((written, rest))
}
