//! Authenticated datagrams between nodes, with protection against replay.

use std::collections::BTreeMap;

use postcard::{take_from_bytes, to_extend};
use serde::{Deserialize, Serialize};
use types::{IncarnationNumber, NodeId};

use crate::seal::{KeyRing, TAG_BYTES};

/// Layout of the datagram; another number is dropped.
const FORMAT: u8 = 1;

/// Sequence numbers behind the newest that may still arrive.
const REPLAY_WINDOW: u64 = 128;

#[derive(Deserialize, Serialize)]
struct DatagramHeader {
    format: u8,
    key: u32,
    sender: NodeId,
    incarnation: IncarnationNumber,
    sequence: u64,
    addressed: bool,
}

/// Why a datagram was dropped.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DatagramError {
    /// Too short, of another format, or not decodable.
    Malformed,
    /// Signed with a key this node doesn't hold.
    UnknownKey,
    /// The tag is wrong, or the datagram was meant for another node.
    Forged,
    /// It came before, or is older than the window.
    Replayed,
    /// From an older incarnation of the sender than one heard of before.
    StaleIncarnation {
        /// The sender.
        sender: NodeId,
        /// Its newest incarnation.
        newest: IncarnationNumber,
    },
}

/// What a valid datagram held.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OpenedDatagram {
    /// The node that sent it.
    pub sender: NodeId,
    /// The sender's incarnation.
    pub incarnation: IncarnationNumber,
    /// The message.
    pub body: Vec<u8>,
}

/// Seals datagrams of one incarnation of a node.
#[derive(Debug)]
pub struct DatagramSealer {
    ring: KeyRing,
    node: NodeId,
    incarnation: IncarnationNumber,
    sequence: u64,
}

impl DatagramSealer {
    /// A sealer for `node`; `incarnation` is above that of every earlier process.
    #[must_use]
    pub fn new(ring: KeyRing, node: NodeId, incarnation: IncarnationNumber) -> Self {
        Self {
            ring,
            node,
            incarnation,
            sequence: 0,
        }
    }

    /// The incarnation it seals for.
    #[must_use]
    pub fn incarnation(&self) -> IncarnationNumber {
        self.incarnation
    }

    /// Goes on as a newer incarnation, after another node heard of a later one.
    pub fn raise_incarnation(&mut self, incarnation: IncarnationNumber) {
        if incarnation > self.incarnation {
            self.incarnation = incarnation;
            self.sequence = 0;
        }
    }

    /// Seals `body` for `recipient`, or for whoever gets it when `None`.
    ///
    /// # Panics
    /// Never: the header has a postcard form whatever the ids are.
    pub fn seal(&mut self, recipient: Option<&NodeId>, body: &[u8]) -> Vec<u8> {
        self.sequence += 1;
        let header = DatagramHeader {
            format: FORMAT,
            key: self.ring.signing_id(),
            sender: self.node.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            addressed: recipient.is_some(),
        };
        let bytes = to_extend(&header, Vec::with_capacity(body.len() + 64));
        let mut bytes = bytes.expect("the header has a postcard form");
        bytes.extend_from_slice(body);
        let recipient = recipient.map_or("", String::as_str);
        let tag = self.ring.sign(&[recipient.as_bytes(), &bytes]);
        bytes.extend_from_slice(&tag);
        bytes
    }
}

/// Opens datagrams and remembers which came before.
#[derive(Debug)]
pub struct DatagramOpener {
    ring: KeyRing,
    node: NodeId,
    windows: BTreeMap<NodeId, ReplayWindow>,
}

impl DatagramOpener {
    /// An opener for datagrams to `node`.
    #[must_use]
    pub fn new(ring: KeyRing, node: NodeId) -> Self {
        Self {
            ring,
            node,
            windows: BTreeMap::new(),
        }
    }

    /// Checks `bytes` and takes the message out.
    ///
    /// # Errors
    /// `DatagramError`; the datagram must be dropped and counted.
    pub fn open(&mut self, bytes: &[u8]) -> Result<OpenedDatagram, DatagramError> {
        let split = bytes.len().checked_sub(TAG_BYTES);
        let (signed, tag) = bytes.split_at(split.ok_or(DatagramError::Malformed)?);
        let (header, body) =
            take_from_bytes::<DatagramHeader>(signed).map_err(|_| DatagramError::Malformed)?;
        if header.format != FORMAT {
            return Err(DatagramError::Malformed);
        }
        let recipient = if header.addressed { &self.node } else { "" };
        match self
            .ring
            .verify(header.key, &[recipient.as_bytes(), signed], tag)
        {
            None => return Err(DatagramError::UnknownKey),
            Some(false) => return Err(DatagramError::Forged),
            Some(true) => {}
        }
        self.check_replay(&header)?;
        Ok(OpenedDatagram {
            sender: header.sender,
            incarnation: header.incarnation,
            body: body.to_vec(),
        })
    }

    /// Forgets a node that left for good.
    pub fn forget(&mut self, node: &NodeId) {
        self.windows.remove(node);
    }

    fn check_replay(&mut self, header: &DatagramHeader) -> Result<(), DatagramError> {
        let Some(window) = self.windows.get_mut(&header.sender) else {
            let window = ReplayWindow::starting(header.incarnation, header.sequence);
            self.windows.insert(header.sender.clone(), window);
            return Ok(());
        };
        if header.incarnation < window.incarnation {
            return Err(DatagramError::StaleIncarnation {
                sender: header.sender.clone(),
                newest: window.incarnation,
            });
        }
        if header.incarnation > window.incarnation {
            *window = ReplayWindow::starting(header.incarnation, header.sequence);
            return Ok(());
        }
        if window.accept(header.sequence) {
            Ok(())
        } else {
            Err(DatagramError::Replayed)
        }
    }
}

/// Which of the last sequence numbers of one incarnation were seen.
#[derive(Debug)]
struct ReplayWindow {
    incarnation: IncarnationNumber,
    newest: u64,
    // Bit k stands for `newest - k`.
    seen: u128,
}

impl ReplayWindow {
    /// Nothing from before the first datagram is taken: it may be a replay.
    fn starting(incarnation: IncarnationNumber, sequence: u64) -> Self {
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
        let behind = self.newest - sequence;
        if behind >= REPLAY_WINDOW || self.seen >> behind & 1 == 1 {
            return false;
        }
        self.seen |= 1 << behind;
        true
    }
}
