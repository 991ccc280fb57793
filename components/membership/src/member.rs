//! Records of members as nodes exchange and report them.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use types::{IncarnationNumber, NodeId, NoteVersion, RegionId, ZoneId};

/// State of a member. Within one incarnation a later variant replaces an earlier one.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// The member answers probes and takes new work.
    Alive,
    /// The member drains: it is left out of new address answers and releases its engines,
    /// but still accepts callers with older answers at first.
    Leaving,
    /// The member didn't answer a probe; it may refute with a higher incarnation.
    Suspect,
    /// The member was suspected and didn't refute within the suspicion timeout.
    Dead,
    /// The member announced that its process exits.
    Left,
}

impl MemberState {
    /// Returns whether the member's process may still be running.
    #[must_use]
    pub fn is_present(self) -> bool {
        match self {
            Self::Alive | Self::Leaving | Self::Suspect => true,
            Self::Dead | Self::Left => false,
        }
    }
}

/// Addresses that a member listens on.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MemberAddresses {
    /// UDP address for membership datagrams.
    pub datagram: SocketAddr,
    /// TCP address for connections from other nodes.
    pub peer: SocketAddr,
    /// HTTP address for callers.
    pub callers: SocketAddr,
}

/// State of one member as nodes exchange it by gossip.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MemberRecord {
    /// Node that the record describes.
    pub node: NodeId,
    /// Starts at the incarnation of the process and grows with each refutation and
    /// each change of the member's own state.
    pub incarnation: IncarnationNumber,
    /// State within that incarnation.
    pub state: MemberState,
    /// Availability zone of the member.
    pub zone: ZoneId,
    /// Region of the member.
    pub region: RegionId,
    /// Addresses that the member listens on.
    pub addresses: MemberAddresses,
    /// Highest version of a release note that the member is known to have in force.
    pub note_version: NoteVersion,
}

impl MemberRecord {
    /// Returns whether this record replaces `known`: a higher incarnation, or a later
    /// state in the same one.
    #[must_use]
    pub fn supersedes(&self, known: &Self) -> bool {
        (self.incarnation, self.state) > (known.incarnation, known.state)
    }
}

/// Record of a member in a snapshot, with the time since it was last heard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberView {
    /// Newest known record of the member.
    pub record: MemberRecord,
    /// Time since the last datagram from the member itself; `None` if there was none.
    /// For this node it is the time since a release note last came into force.
    pub last_heard_age: Option<Duration>,
}
