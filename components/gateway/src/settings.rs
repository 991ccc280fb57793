//! Settings of a gateway, independent of the platform's settings file.

use std::{net::SocketAddr, time::Duration};

use dispatch::{ColdTolerance, RegionMap};
use types::{NodeId, ZoneId};

/// Settings that a gateway gets at its start.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Id of this node, unique in the fleet.
    pub node: NodeId,
    /// Availability zone of the entry host.
    pub zone: ZoneId,
    /// Region of each zone; nothing outside a request's homes serves it.
    pub regions: RegionMap,
    /// Processor and network share of the entry host; nodes with more of it gather and
    /// pass on what others report.
    pub capacity: u32,
    /// Memory that the host grants the process, in bytes; callers may make it hold a part.
    pub memory_bytes: u64,
    /// File descriptors that the host grants the process.
    pub descriptors: u64,
    /// Listen address for callers' requests.
    pub callers: SocketAddr,
    /// Listen address for the platform's readiness checks; `None` for no listener.
    pub readiness: Option<SocketAddr>,
    /// Listen address where callers look up nodes; `None` for no listener.
    pub directory: Option<SocketAddr>,
    /// Listen address for other nodes, both UDP datagrams and HTTP calls.
    pub peers: SocketAddr,
    /// Listen address for metrics; `None` for no listener.
    pub metrics: Option<SocketAddr>,
    /// Peer addresses of nodes that may be up, asked by a node that knows no other, so
    /// that the fleet is found even while the store is unavailable.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Time to live of an address answer.
    pub address_lifetime: Duration,
    /// Time from SIGTERM until the platform kills the process.
    pub grace_period: Duration,
    /// Length of the sliding window over which the retry budget holds.
    pub retry_window: Duration,
    /// Retries allowed per request in a window, over all nodes.
    pub retry_ratio: f64,
    /// Retries allowed in a window in addition to the ratio, over all nodes.
    pub retry_allowance: f64,
    /// Whether requests are still served while the desired state can't be confirmed.
    pub revoke_policy: RevokePolicy,
    /// How far the load of upstreams that warm up may exceed their rate; `None` if it is
    /// not limited.
    pub cold_tolerance: Option<ColdTolerance>,
    /// Longest time for which an engine holds a memory reservation.
    pub reservation_lifetime_max: Duration,
    /// Time after the last use of reserved memory within which engines must have it back.
    pub memory_free_time: Duration,
}

/// What happens to requests while the store doesn't confirm the desired state, which
/// holds the valid API keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RevokePolicy {
    /// Requests are served by the last known state, so its API keys stay valid.
    KeepServing,
    /// All requests, anonymous ones too, are refused once the state was last confirmed
    /// longer ago than this.
    RefuseAfter(Duration),
}
