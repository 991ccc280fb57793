//! Authenticated datagrams between nodes, with replay protection.

use std::collections::BTreeMap;

use postcard::{take_from_bytes, to_extend};
use serde::{Deserialize, Serialize};
use types::{IncarnationNumber, NodeId};

use crate::key_ring::{KeyRing, TAG_BYTES};

/// Version of the datagram layout; datagrams of another version are dropped.
const FORMAT_VERSION: u8 = 1;

/// Width of the replay window in datagrams: one whose sequence number is this far or
/// further behind the newest is dropped.
const REPLAY_WINDOW: u64 = 128;

#[derive(Deserialize, Serialize)]
struct DatagramHeader {
    format_version: u8,
    key_id: u32,
    sender: NodeId,
    incarnation: IncarnationNumber,
    sequence: u64,
    has_recipient: bool,
}

/// Reason for which a received datagram was dropped.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DatagramError {
    /// The datagram is too short, has another format version or doesn't decode.
    Malformed,
    /// This node doesn't hold the key that signed the datagram.
    UnknownKey,
    /// The authentication tag is wrong; it also covers the recipient, so a
    /// datagram for another node fails in the same way.
    Forged,
    /// The sequence number was seen before or lies behind the replay window.
    Replayed,
    /// The sender's process has an older incarnation number than one seen
    /// before, for instance because its clock was set back.
    StaleIncarnation {
        /// Node that signed the datagram.
        sender: NodeId,
        /// Newest incarnation seen from that node, which must raise its own above it.
        newest: IncarnationNumber,
    },
}

/// Authenticated contents of a datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VerifiedDatagram {
    /// Node that signed the datagram.
    pub sender: NodeId,
    /// Incarnation of the sending process.
    pub incarnation: IncarnationNumber,
    /// Encoded message, still to be decoded by the caller.
    pub body: Vec<u8>,
}

/// Signs and numbers the outgoing datagrams of one process of a node.
#[derive(Debug)]
pub struct DatagramSigner {
    ring: KeyRing,
    node: NodeId,
    incarnation: IncarnationNumber,
    sequence: u64,
}

impl DatagramSigner {
    /// Creates a signer for `node`. `incarnation` must exceed that of every
    /// earlier process of the node, or receivers drop its datagrams.
    #[must_use]
    pub fn new(ring: KeyRing, node: NodeId, incarnation: IncarnationNumber) -> Self {
        Self {
            ring,
            node,
            incarnation,
            sequence: 0,
        }
    }

    /// Incarnation that is written into new datagrams.
    #[must_use]
    pub fn incarnation(&self) -> IncarnationNumber {
        self.incarnation
    }

    /// Raises the incarnation to `incarnation` and restarts the sequence numbers; ignored
    /// unless it is higher. Called when a peer reports that it has seen a higher one.
    pub fn raise_incarnation(&mut self, incarnation: IncarnationNumber) {
        if incarnation > self.incarnation {
            self.incarnation = incarnation;
            self.sequence = 0;
        }
    }

    /// Signs `body` for `recipient`, or for any recipient when `None`, as is needed
    /// while the identifier of the node at an address is unknown.
    ///
    /// # Panics
    /// Never: postcard can encode every header.
    pub fn sign(&mut self, recipient: Option<&NodeId>, body: &[u8]) -> Vec<u8> {
        self.sequence += 1;
        let header = DatagramHeader {
            format_version: FORMAT_VERSION,
            key_id: self.ring.signing_id(),
            sender: self.node.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            has_recipient: recipient.is_some(),
        };
        let bytes = to_extend(&header, Vec::with_capacity(body.len() + 64));
        let mut bytes = bytes.expect("postcard can encode every datagram header");
        bytes.extend_from_slice(body);
        let recipient = recipient.map_or("", String::as_str);
        let tag = self.ring.sign(&[recipient.as_bytes(), &bytes]);
        bytes.extend_from_slice(&tag);
        bytes
    }
}

/// Verifies incoming datagrams and drops those it has seen before.
#[derive(Debug)]
pub struct DatagramVerifier {
    ring: KeyRing,
    node: NodeId,
    replay_windows: BTreeMap<NodeId, ReplayWindow>,
}

impl DatagramVerifier {
    /// Creates a verifier for datagrams addressed to `node` or to any recipient.
    #[must_use]
    pub fn new(ring: KeyRing, node: NodeId) -> Self {
        Self {
            ring,
            node,
            replay_windows: BTreeMap::new(),
        }
    }

    /// Verifies the datagram `bytes` and returns its contents.
    ///
    /// # Errors
    /// `DatagramError` when the datagram is invalid; the caller drops and counts it.
    pub fn verify(&mut self, bytes: &[u8]) -> Result<VerifiedDatagram, DatagramError> {
        let tag_start = bytes.len().checked_sub(TAG_BYTES);
        let (signed, tag) = bytes.split_at(tag_start.ok_or(DatagramError::Malformed)?);
        let (header, body) =
            take_from_bytes::<DatagramHeader>(signed).map_err(|_| DatagramError::Malformed)?;
        if header.format_version != FORMAT_VERSION {
            return Err(DatagramError::Malformed);
        }
        let recipient = if header.has_recipient { &self.node } else { "" };
        match self
            .ring
            .verify(header.key_id, &[recipient.as_bytes(), signed], tag)
        {
            None => return Err(DatagramError::UnknownKey),
            Some(false) => return Err(DatagramError::Forged),
            Some(true) => {}
        }
        self.check_replay(&header)?;
        Ok(VerifiedDatagram {
            sender: header.sender,
            incarnation: header.incarnation,
            body: body.to_vec(),
        })
    }

    /// Frees the replay window of a node that left the fleet.
    pub fn forget(&mut self, node: &NodeId) {
        self.replay_windows.remove(node);
    }

    fn check_replay(&mut self, header: &DatagramHeader) -> Result<(), DatagramError> {
        let Some(window) = self.replay_windows.get_mut(&header.sender) else {
            let window = ReplayWindow::starting_at(header.incarnation, header.sequence);
            self.replay_windows.insert(header.sender.clone(), window);
            return Ok(());
        };
        if header.incarnation < window.incarnation {
            return Err(DatagramError::StaleIncarnation {
                sender: header.sender.clone(),
                newest: window.incarnation,
            });
        }
        if header.incarnation > window.incarnation {
            *window = ReplayWindow::starting_at(header.incarnation, header.sequence);
            return Ok(());
        }
        if window.accept(header.sequence) {
            Ok(())
        } else {
            Err(DatagramError::Replayed)
        }
    }
}

/// Recently seen sequence numbers of one sender's incarnation.
#[derive(Debug)]
struct ReplayWindow {
    incarnation: IncarnationNumber,
    newest: u64,
    // Bit k is set when sequence number `newest - k` was seen.
    seen: u128,
}

impl ReplayWindow {
    /// Marks all earlier sequence numbers as seen: a datagram that is older than
    /// the first one received may be a replay.
    fn starting_at(incarnation: IncarnationNumber, sequence: u64) -> Self {
        Self {
            incarnation,
            newest: sequence,
            seen: u128::MAX,
        }
    }

    fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.newest {
            let shift = sequence - self.newest;
            self.seen = if shift >= REPLAY_WINDOW {
                0
            } else {
                self.seen << shift
            };
            self.seen |= 1;
            self.newest = sequence;
            return true;
        }
        let distance = self.newest - sequence;
        if distance >= REPLAY_WINDOW || self.seen >> distance & 1 == 1 {
            return false;
        }
        self.seen |= 1 << distance;
        true
    }
}
