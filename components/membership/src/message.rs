//! Messages between members and their sizes.

use std::net::SocketAddr;

use postcard::experimental::serialized_size;
use serde::{Deserialize, Serialize};
use types::{IncarnationNumber, NodeId, NoteVersion};

use crate::MemberRecord;

/// Bytes that IP, UDP and the seal add to a message.
pub const DATAGRAM_OVERHEAD_BYTES: usize = 72;

/// What a topic's bodies are about.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GossipTopic {
    /// Load of the engines a node owns.
    NodeSummary,
    /// What organisations were served by a node.
    OrganisationUsage,
    /// Requests that crashed upstreams.
    CrashEvidence,
    /// Upstreams that answered or failed.
    EngineEvidence,
}

/// How far and by whom a topic's bodies are spread.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SpreadRule {
    /// The origin alone sends, to near members more often than to far ones.
    Sampled,
    /// Every member passes it on until the fleet has it.
    Epidemic,
}

impl GossipTopic {
    /// How bodies of this topic are spread.
    #[must_use]
    pub fn spread(self) -> SpreadRule {
        match self {
            Self::NodeSummary | Self::OrganisationUsage => SpreadRule::Sampled,
            Self::CrashEvidence | Self::EngineEvidence => SpreadRule::Epidemic,
        }
    }
}

/// The newest body of one topic from one node.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TopicRecord {
    /// Topic.
    pub topic: GossipTopic,
    /// Node that published it.
    pub origin: NodeId,
    /// The origin's incarnation.
    pub incarnation: IncarnationNumber,
    /// Grows with each body of the topic in that incarnation.
    pub sequence: u64,
    /// The body.
    pub body: Vec<u8>,
}

/// What a message asks or answers.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum MessageKind {
    /// Asks for `Ack` with the same number.
    Ping {
        /// Number of the probe at its sender.
        probe: u64,
    },
    /// The answer to `Ping` or `PingRequest`.
    Ack {
        /// Number of the probe at its sender.
        probe: u64,
    },
    /// Asks to ping another member and to pass its answer back.
    PingRequest {
        /// Number of the probe at its sender.
        probe: u64,
        /// The member.
        target: NodeId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Asks for the records of the buckets that differ.
    SyncRequest {
        /// Digests of the sender's buckets.
        buckets: Vec<u32>,
    },
    /// Records of buckets that differ, in `updates`.
    SyncReply {
        /// Whether some did not fit.
        more: bool,
    },
    /// Carries only what is piggybacked.
    Share,
    /// The receiver's incarnation is not its newest; it must go on above `newest`.
    IncarnationTooOld {
        /// The newest incarnation heard of.
        newest: IncarnationNumber,
    },
}

/// One message between two members.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PeerMessage {
    /// What it asks or answers.
    pub kind: MessageKind,
    /// Digest of the sender's present members.
    pub digest: u32,
    /// Release note in force at the sender.
    pub note: NoteVersion,
    /// Highest release note the sender heard of.
    pub note_heard: NoteVersion,
    /// News of members.
    pub updates: Vec<MemberRecord>,
    /// Bodies of topics.
    pub topics: Vec<TopicRecord>,
}

/// Size of `value` as it is encoded, in bytes.
#[must_use]
pub fn encoded_size<T: Serialize>(value: &T) -> usize {
    serialized_size(value).unwrap_or(usize::MAX)
}
