//! Settings of a gateway, in its own terms.

use std::{net::SocketAddr, time::Duration};

use types::{NodeId, ZoneId};

/// Everything a gateway is told at its start.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Unique among nodes.
    pub node: NodeId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Where callers' requests arrive.
    pub callers: SocketAddr,
    /// Where the platform asks whether the node takes callers.
    pub readiness: Option<SocketAddr>,
    /// Where callers ask for addresses.
    pub directory: Option<SocketAddr>,
    /// Where other nodes' datagrams and calls arrive.
    pub peers: SocketAddr,
    /// Where metrics are served.
    pub metrics: Option<SocketAddr>,
    /// Other nodes that may be up, to ask when the store is away.
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// Longest life of an address answer.
    pub address_lifetime: Duration,
    /// Time between a request to stop and the end by force.
    pub grace_period: Duration,
    /// Any span of this length is held to the bound of repeats.
    pub retry_window: Duration,
    /// Repeats for each request, over all nodes.
    pub retry_ratio: f64,
    /// Further repeats in a window, over all nodes.
    pub retry_allowance: f64,
    /// What happens to keys while the desired state can't be read.
    pub revoke_policy: RevokePolicy,
    /// Longest time for which engines set memory aside.
    pub reservation_lifetime_max: Duration,
}

/// What happens to keys while the desired state can't be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RevokePolicy {
    /// Known keys stay valid.
    KeepServing,
    /// No key is trusted once the state has been unread for this long.
    RefuseAfter(Duration),
}
