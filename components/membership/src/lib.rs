//! Membership of the fleet by gossip, as in the SWIM protocol, and what depends on
//! it: address answers, drain, ownership of engines and health of upstreams.
//!
//! The crate does no I/O: it takes events with the time and returns actions.

mod address;
mod drain;
mod event;
mod machine;
mod member;
mod message;
mod own_bodies;
mod probe;
mod rendezvous;
mod settings;
mod snapshot;
mod spread;
mod table;
mod upstream;

pub use address::{
    AddressAnswer, AddressCandidate, AddressPlanner, AddressRequest, AddressSettings, NodeAddress,
};
pub use drain::{DrainAction, DrainPhase, DrainPlan, DrainSettings, RemainingWork};
pub use event::{MemberAction, MemberEvent, MemberIdentity};
pub use machine::{MAX_TOPIC_BODY_BYTES, MembershipProtocol, max_suspicion_delay};
pub use member::{MemberAddresses, MemberRecord, MemberState, MemberView};
pub use message::{
    DATAGRAM_OVERHEAD_BYTES, GossipStrategy, GossipTopic, MessageKind, PeerMessage, TopicRecord,
    encoded_size,
};
pub use rendezvous::{OwnerCandidate, group_owner_of, owner_of};
pub use settings::MemberSettings;
pub use snapshot::MemberSnapshot;
pub use table::{DIGEST_BUCKETS, MemberEntry, MemberTable};
pub use upstream::{
    CallEvidence, ListedUpstream, UpstreamChange, UpstreamEvent, UpstreamEvidence,
    UpstreamSettings, UpstreamState, UpstreamTable,
};
