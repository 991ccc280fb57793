//! Messages between members and their encoded sizes.

use std::net::SocketAddr;

use postcard::experimental::serialized_size;
use serde::{Deserialize, Serialize};
use types::{IncarnationNumber, NodeId, NoteVersion};

use crate::MemberRecord;

/// Estimate of the bytes that the headers and the authentication tag add to a message:
/// 28 for IPv4 and UDP, 16 for the tag, and 28 for the datagram header. The last varies
/// with the length of the node's identifier and the size of its numbers.
pub const DATAGRAM_OVERHEAD_BYTES: usize = 72;

/// Subject of published bodies; of each topic only the newest body per node counts.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GossipTopic {
    /// Load of the engines that the node owns.
    NodeSummary,
    /// Usage of the organisations that the node has served.
    OrganisationUsage,
    /// Evidence of requests that crash upstreams.
    CrashEvidence,
    /// Evidence from calls to upstreams: answered, failed or leaving.
    EngineEvidence,
}

/// How the bodies of a topic are disseminated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GossipStrategy {
    /// Only the origin sends the body, more often to members of its zone than to others.
    OriginOnly,
    /// Each member relays the body a limited number of times, chosen so that all members
    /// are likely to get it.
    Epidemic,
}

impl GossipTopic {
    /// Returns how bodies of this topic are disseminated.
    #[must_use]
    pub fn strategy(self) -> GossipStrategy {
        match self {
            Self::NodeSummary | Self::OrganisationUsage => GossipStrategy::OriginOnly,
            Self::CrashEvidence | Self::EngineEvidence => GossipStrategy::Epidemic,
        }
    }
}

/// Body of a topic that one node published.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TopicRecord {
    /// Topic of the body.
    pub topic: GossipTopic,
    /// Node that published the body.
    pub origin: NodeId,
    /// Incarnation of the origin's process.
    pub incarnation: IncarnationNumber,
    /// Sequence number within that incarnation; a body with a higher one is newer.
    pub sequence: u64,
    /// Encoded body of at most `MAX_TOPIC_BODY_BYTES`.
    pub body: Vec<u8>,
}

/// Purpose of a message.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum MessageKind {
    /// Probe that requests an `Ack` with the same number.
    Ping {
        /// Number that the requesting member gave the probe.
        probe: u64,
    },
    /// Answer to `Ping` or `PingRequest`.
    Ack {
        /// Number that the requesting member gave the probe.
        probe: u64,
    },
    /// Asks the recipient to ping another member and to relay its `Ack`.
    PingRequest {
        /// Number that the requesting member gave the probe.
        probe: u64,
        /// Member to ping.
        target: NodeId,
        /// Datagram address of that member.
        address: SocketAddr,
    },
    /// Requests the records of the buckets whose digests differ.
    SyncRequest {
        /// Bucket digests of the sender's member table.
        buckets: Vec<u32>,
    },
    /// Answer to `SyncRequest`, with the records in `updates`.
    SyncReply {
        /// Whether more records differ than fit into the datagram.
        truncated: bool,
    },
    /// No request: carries only updates and topic bodies.
    Gossip,
    /// Tells the recipient that its incarnation is stale and that it must raise it above
    /// `newest`.
    IncarnationTooOld {
        /// Newest incarnation that the sender has seen from the recipient.
        newest: IncarnationNumber,
    },
}

/// Message between two members.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PeerMessage {
    /// Purpose of the message.
    pub kind: MessageKind,
    /// Digest of the sender's member table, to detect tables that differ.
    pub digest: u32,
    /// Version of the release note in force on the sender.
    pub note_version: NoteVersion,
    /// Highest version of a release note that the sender knows of.
    pub highest_note_version: NoteVersion,
    /// Records of members that changed.
    pub updates: Vec<MemberRecord>,
    /// Topic bodies that are relayed or published.
    pub topics: Vec<TopicRecord>,
}

/// Returns the length of `value` in bytes when encoded with postcard.
#[must_use]
pub fn encoded_size<T: Serialize>(value: &T) -> usize {
    serialized_size(value).unwrap_or(usize::MAX)
}
