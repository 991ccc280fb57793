//! Messages between nodes as nodes of format 1 know them, copied when that format ended.
//! This file never changes; a new format gets a copy of its own.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PeerDatagram {
    Report(NodeReport),
    Sums(AggregateChunk),
    News(RelayNews),
    PrefillStarted {
        node: String,
        notice: PrefillNotice,
        passed_on: bool,
    },
    UpstreamCrashed(CrashReport),
    Part(u64, PartStanding),
    Rate(String, RateNotice),
    UpstreamLeaving(String, Option<u64>),
    NodeLeft(String, u64),
    // Not known to 342c025.
    ReachQuestion(ReachQuestion),
    ReachAnswer(ReachAnswer),
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RosterEntry {
    pub node: String,
    pub zone: String,
    pub caller_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub incarnation: u64,
    pub ready: bool,
    pub capacity: u32,
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct NewsCursor {
    pub log: u64,
    pub sequence: u64,
    pub listing: bool,
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RelayQuestion {
    pub wants_sums: bool,
    pub cursor: NewsCursor,
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ReportedLoad {
    pub engine: u32,
    pub strict: u32,
    pub relaxed: u32,
    pub relaxed_event_gap: Option<Duration>,
    pub unanswered: u32,
    pub memory: u64,
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct NodeReport {
    pub entry: RosterEntry,
    pub store_age_ms: Option<u32>,
    pub question: Option<RelayQuestion>,
    pub loads: Vec<ReportedLoad>,
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AggregateChunk {
    pub aggregate: u64,
    pub index: u16,
    pub count: u16,
    pub loads: Vec<ReportedLoad>,
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum UpstreamState {
    Ready,
    Draining,
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct UpstreamEntry {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub state: UpstreamState,
    pub started_ms: Option<u64>,
    pub version: u64,
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SuspectPart {
    pub part: u64,
    pub was_sound: bool,
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CrashReport {
    pub upstream: String,
    pub started_ms: Option<u64>,
    pub together_with: Option<String>,
    pub fingerprint: u64,
    pub parts: Vec<SuspectPart>,
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PartStanding {
    SoundBefore,
    Sound(u64),
    Lifted(u64),
    Quarantined(u64),
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RateNotice {
    pub started_ms: Option<u64>,
    pub stamp: u64,
    pub limit: Option<u32>,
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum NewsItem {
    Node(RosterEntry, bool),
    Upstream(UpstreamEntry),
    UpstreamGone(String, u64),
    UpstreamLeaving(String, Option<u64>),
    Crash(CrashReport),
    Part(u64, PartStanding),
    Rate(String, RateNotice),
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct NewsPage {
    pub log: u64,
    pub restarts: bool,
    pub after: u64,
    pub until: u64,
    pub complete: bool,
    pub items: Vec<NewsItem>,
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RelayNews {
    pub entry: RosterEntry,
    pub desired: Option<u64>,
    pub desired_age_ms: Option<u32>,
    pub upstreams_age_ms: Option<u32>,
    pub upstreams_source: Option<u64>,
    pub upstreams_digest: u64,
    pub page: NewsPage,
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PrefillNotice {
    pub engines: Vec<String>,
    pub shard_time: Duration,
    pub decode_delay: Duration,
    pub memory: u64,
    pub event_gap: Duration,
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ReachQuestion {
    pub number: u64,
    pub upstreams: Vec<String>,
    pub contact_age_ms: u32,
    pub needs_proof: bool,
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum ProbeOutcome {
    Reached,
    Refused,
    Unknown,
}

#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ReachAnswer {
    pub number: u64,
    pub node: String,
    pub outcomes: Vec<ProbeOutcome>,
    pub tunnels: u32,
}

/// Answer to the call by which a node gets another one's desired state.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DesiredRow {
    pub key: String,
    pub value: Vec<u8>,
}
