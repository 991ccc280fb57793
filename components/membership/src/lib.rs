//! Which nodes are alive, leaving or gone, and what follows from it: pure decisions.

mod address;
mod drain;
mod event;
mod machine;
mod member;
mod message;
mod probe;
mod rendezvous;
mod sample;
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
pub use machine::{MAX_TOPIC_BODY_BYTES, MembershipProtocol, suspicion_delay};
pub use member::{MemberAddresses, MemberRecord, MemberState, MemberView};
pub use message::{
    DATAGRAM_OVERHEAD_BYTES, GossipTopic, MessageKind, PeerMessage, SpreadRule, TopicRecord,
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
