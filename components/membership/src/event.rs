//! Events that the membership protocol takes and actions that it returns.

use std::net::SocketAddr;

use types::{IncarnationNumber, NodeId, NoteVersion, RegionId, ZoneId};

use crate::{GossipTopic, MemberAddresses, MemberRecord, PeerMessage, TopicRecord};

/// Identity of this node, from its settings and the start of its process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberIdentity {
    /// Identifier of this node, unique in the fleet.
    pub node: NodeId,
    /// Availability zone of this node; gossip prefers members of the same zone.
    pub zone: ZoneId,
    /// Region of this node.
    pub region: RegionId,
    /// Addresses that this node listens on.
    pub addresses: MemberAddresses,
    /// Incarnation of this process. It should be higher than that of every earlier
    /// process; `MemberAction::RaiseIncarnation` raises it when it isn't.
    pub incarnation: IncarnationNumber,
}

/// Input of the membership protocol.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberEvent {
    /// Time passed; sent at least once in every `MemberSettings::tick_interval`.
    Tick,
    /// A datagram with a valid authentication tag arrived.
    Received {
        /// Node that signed the datagram.
        sender: NodeId,
        /// Source address of the datagram.
        from: SocketAddr,
        /// Decoded message.
        message: PeerMessage,
    },
    /// A datagram arrived from an older incarnation of its sender than one seen
    /// before; the sender must be told to raise its own above `newest`.
    StaleIncarnation {
        /// Node that signed the datagram.
        sender: NodeId,
        /// Source address of the datagram.
        from: SocketAddr,
        /// Newest incarnation seen from that node.
        newest: IncarnationNumber,
    },
    /// Datagram addresses of nodes that may be members; replaces the earlier list.
    SeedsUpdated(Vec<SocketAddr>),
    /// A service of this node publishes a new body of a topic.
    Publish {
        /// Topic to which the body belongs.
        topic: GossipTopic,
        /// Encoded body of at most `MAX_TOPIC_BODY_BYTES`.
        body: Vec<u8>,
    },
    /// The release note of this version came into force on this node.
    NoteInForce(NoteVersion),
    /// This node starts to drain; the other members are told.
    Leave,
    /// This process exits.
    Exit,
}

/// Output of the membership protocol, which the caller carries out in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberAction {
    /// Sign a message and send it as a datagram.
    Send {
        /// Destination address.
        to: SocketAddr,
        /// Node for which the datagram is signed; `None` while its identifier is
        /// unknown.
        recipient: Option<NodeId>,
        /// Message to encode.
        message: PeerMessage,
    },
    /// Another member is new, or its state or incarnation changed.
    MemberChanged(MemberRecord),
    /// A newer body of a topic arrived from another node.
    TopicUpdated(TopicRecord),
    /// A message named a higher release note version than this node knew of, without a
    /// node that has it (`holder` is `None`); or its sender has a higher version in
    /// force than this node and all earlier senders.
    NoteDiscovered {
        /// Version of the release note.
        version: NoteVersion,
        /// Node that has it in force and can serve it; `None` while no such node is
        /// known.
        holder: Option<NodeId>,
    },
    /// Sign datagrams with this newer incarnation from now on.
    RaiseIncarnation(IncarnationNumber),
    /// A dead or left member was removed from the table.
    MemberRemoved(NodeId),
}
