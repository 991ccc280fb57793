//! What nodes know of one node.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use types::{IncarnationNumber, NodeId, NoteVersion, RegionId, ZoneId};

/// State of a member. Within one incarnation a later state replaces an earlier.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// Answers probes and takes work.
    Alive,
    /// Answers probes and takes no new work.
    Leaving,
    /// A probe went unanswered; it may still refute.
    Suspect,
    /// It did not refute in time.
    Dead,
    /// It said that it exits.
    Left,
}

impl MemberState {
    /// Whether the process may still run.
    #[must_use]
    pub fn is_present(self) -> bool {
        match self {
            Self::Alive | Self::Leaving | Self::Suspect => true,
            Self::Dead | Self::Left => false,
        }
    }
}

/// Where a member listens.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MemberAddresses {
    /// UDP, for membership messages.
    pub datagram: SocketAddr,
    /// TCP, for other nodes.
    pub peer: SocketAddr,
    /// HTTP, for callers.
    pub callers: SocketAddr,
}

/// One member as nodes tell each other.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct MemberRecord {
    /// The node.
    pub node: NodeId,
    /// Grows with each incarnation and with each refutation.
    pub incarnation: IncarnationNumber,
    /// State.
    pub state: MemberState,
    /// Availability zone.
    pub zone: ZoneId,
    /// Region.
    pub region: RegionId,
    /// Where it listens.
    pub addresses: MemberAddresses,
    /// Release note in force there, as far as heard.
    pub note_version: NoteVersion,
}

impl MemberRecord {
    /// Whether this record replaces `known`.
    #[must_use]
    pub fn supersedes(&self, known: &Self) -> bool {
        (self.incarnation, self.state) > (known.incarnation, known.state)
    }
}

/// One member of a snapshot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberView {
    /// The member.
    pub record: MemberRecord,
    /// Time since it was last heard directly; `None` if never.
    pub last_heard_age: Option<Duration>,
}
