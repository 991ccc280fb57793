//! Decisions about forwarded requests: which route and upstream serve one,
//! when it is tried again, and what a node may believe.
//!
//! Everything here is pure: state, time and an event in, a decision out.

mod budget;
mod desired;
mod engine;
mod feed;
mod growth;
mod load;
mod pick;
mod placement;
mod quarantine;
mod reading;
mod relays;
mod roster;
mod routes;
mod upstreams;

pub use budget::RetryBudget;
pub use desired::{
    CallKind, DesiredState, EngineSpec, ForwardRoute, OrganisationEntry, RequestLimits,
    ServiceSpec, ServiceWeight,
};
pub use engine::{PromptSize, prefill_time};
pub use feed::{FeedSource, TableFreshness};
pub use load::{
    EngineKey, EngineLoad, InFlightId, InFlightRequest, LoadTracker, MemoryShare, PeerLoad,
    PrefillNotice, engine_key,
};
pub use placement::{
    LatencyGoals, Placement, PlacementRefusal, PlacementRequest, PlacementWait,
    place_plain_request, place_prompt,
};
pub use quarantine::{CrashFingerprint, QuarantineList};
pub use relays::{RelaySelector, select_relays};
pub use roster::{NodeRoster, RosterEntry};
pub use routes::{RouteMatch, RouteTable};
pub use upstreams::{UpstreamEntry, UpstreamHealth, UpstreamState, UpstreamTable};
