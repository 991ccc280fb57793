//! What goes into the member machine and what comes out.

use std::net::SocketAddr;

use types::{IncarnationNumber, NodeId, NoteVersion, RegionId, ZoneId};

use crate::{GossipTopic, MemberAddresses, MemberRecord, PeerMessage, TopicRecord};

/// What a node is told of itself by its settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberIdentity {
    /// The node.
    pub node: NodeId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Where it listens.
    pub addresses: MemberAddresses,
    /// Life of this process.
    pub incarnation: IncarnationNumber,
}

/// Something that happened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberEvent {
    /// Time has passed; sent at least every `MemberSettings::tick`.
    Tick,
    /// A message came whose seal was valid.
    Received {
        /// The node that sealed it.
        sender: NodeId,
        /// Address it came from.
        from: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// A message came from an older incarnation of its sender than one heard of.
    StaleIncarnation {
        /// The node that sealed it.
        sender: NodeId,
        /// Address it came from.
        from: SocketAddr,
        /// The sender's newest incarnation.
        newest: IncarnationNumber,
    },
    /// Datagram addresses of nodes that may be members.
    SeedsUpdated(Vec<SocketAddr>),
    /// A service of this node has a new body for a topic.
    Publish {
        /// Topic.
        topic: GossipTopic,
        /// At most `MAX_TOPIC_BODY_BYTES`.
        body: Vec<u8>,
    },
    /// A release note came into force on this node.
    NoteInForce(NoteVersion),
    /// This node takes no more new work.
    Leave,
    /// This process ends.
    Exit,
}

/// Something to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberAction {
    /// Seal and send a message.
    Send {
        /// Address to send to.
        to: SocketAddr,
        /// Node it is meant for; `None` while its id is unknown.
        recipient: Option<NodeId>,
        /// The message.
        message: PeerMessage,
    },
    /// A member's state or incarnation is new.
    Changed(MemberRecord),
    /// A newer body of a topic came from another node.
    TopicUpdated(TopicRecord),
    /// A higher release note exists than any told of before.
    NoteDiscovered {
        /// Its version.
        version: NoteVersion,
        /// Node that has it in force; `None` when it is only known of.
        holder: Option<NodeId>,
    },
    /// Seal as this newer incarnation from now on.
    RaiseIncarnation(IncarnationNumber),
    /// A gone member was dropped.
    MemberRemoved(NodeId),
}
