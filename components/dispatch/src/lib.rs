//! Decisions about forwarded requests: which route and upstream serve a
//! request, when it is retried, and how long received state stays valid.
//!
//! This crate does no I/O and reads no clock: it takes state, the time and an
//! event, and returns a decision.

mod budget;
mod cold;
mod contact;
mod crash_log;
mod desired;
mod engine;
mod evacuation;
mod fleet;
mod freshness;
mod homes;
mod load;
mod load_sums;
mod news;
mod pick;
mod placement;
mod prefill_queue;
mod quarantine;
mod rate_limit;
mod reach;
mod relays;
mod reservation;
mod roster;
mod routes;
mod row_schedule;
mod store_polls;
mod unreported;
mod upstreams;

pub use budget::{LineNumber, RetryBudget, RetryLimit, RetryVerdict};
pub use cold::{ColdChange, ColdClaim, ColdSource, ColdSpec, ColdTolerance};
pub use contact::FleetContact;
pub use crash_log::{CrashFingerprint, CrashLog, CrashReport, SuspectPart};
pub use desired::{
    CallKind, DesiredState, EngineSpec, ForwardRoute, OrganisationEntry, RequestLimits,
    ServiceSpec, ServiceWeight,
};
pub use engine::{PromptSize, prefill_time};
pub use evacuation::{EvacuationNotice, EvacuationTable};
pub use fleet::{ContactLevel, FleetView, ReportPlan, ReportTarget};
pub use freshness::{TableFreshness, VersionSource};
pub use homes::{HomeRegions, RegionMap};
pub use load::{
    AggregateChunk, EngineKey, EngineLoad, InFlightId, InFlightRequest, LoadTracker, MemoryShare,
    PrefillNotice, ReportedLoad, engine_key,
};
pub use news::{AcceptedNews, NewsCursor, NewsItem, NewsLog, NewsPage, NewsReader, NewsSubject};
pub use pick::fastest_prefill;
pub use placement::{
    LatencyGoals, Placement, PlacementRefusal, PlacementRequest, PlacementWait,
    needs_several_engines, place_plain_request, place_prompt,
};
pub use quarantine::{PartStanding, QuarantineList, QuarantineRow};
pub use rate_limit::{FleetShare, FleetStanding, RateNotice};
pub use reach::{HelperNode, ProbeOutcome, ReachCheck, ReachTable, ReachVerdict, select_sample};
pub use relays::{RelayWatch, find_lost_relays, is_better_relay, select_relays};
pub use reservation::{EngineSign, ORDER_TIMEOUT, RenewalPlan, RenewalStep, ReservationTerms};
pub use roster::{NodeRoster, RosterEntry};
pub use routes::{RouteMatch, RouteTable};
pub use row_schedule::{LISTING_PAUSE, RowSchedule};
pub use store_polls::{
    DESIRED_WAIT, PROBES_PER_SECOND, UPSTREAM_PAUSE, UPSTREAM_WAIT, probe_pause,
    store_poller_timeout,
};
pub use upstreams::{UpstreamEntry, UpstreamHealth, UpstreamState, UpstreamTable};
