//! Settings document of a node and its validation.

use std::{fmt, fs};

use errors::SettingsError;
use serde::{Deserialize, Serialize};
use types::{NodeId, RegionId, UpstreamId, ZoneId};

use crate::{FaultList, ParsedDocument, SchedulingSettings, parse_document};

/// Name and location of the node.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HostIdentity {
    /// Unique id of the node in the cluster.
    pub id: NodeId,
    /// Availability zone that the node runs in.
    pub zone: ZoneId,
    /// Region that the zone belongs to.
    pub region: RegionId,
}

/// Addresses that the node listens on; with port 0 the operating system assigns one.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AddressSettings {
    /// HTTP address for callers and operators.
    pub callers: String,
    /// Address for other nodes: TCP for calls and UDP for membership gossip, on the
    /// same port number.
    pub peers: String,
}

/// Addresses and timeout of the platform's services.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the transactional table service.
    pub table: String,
    /// Address of the object store.
    pub objects: String,
    /// Address of the rate-limited weight store.
    pub weights: String,
    /// Address of the host list.
    pub hosts: String,
    /// Timeout of one call in milliseconds, 10 to 60000.
    #[serde(default = "default_platform_timeout_ms")]
    pub timeout_ms: u64,
}

/// Key that the nodes share. The first key of the list signs messages; every key of
/// the list is accepted.
#[derive(Clone, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClusterKey {
    /// Id that identifies the key in messages; unique in the list.
    pub id: u32,
    /// Secret of at least 32 bytes, in hexadecimal; left out of debug output.
    pub secret: String,
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ClusterKey")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// Limits on connections and request bodies that bound the memory of the node.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Maximum size of a request body in bytes, 1024 to 1 GiB.
    pub body_bytes: u64,
    /// Maximum number of open connections from callers, 1 to 1000000.
    pub connections: u32,
    /// Maximum total size of the request bodies in memory, in bytes; at least
    /// `body_bytes`.
    pub held_body_bytes: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_bytes: 16 * 1024 * 1024,
            connections: 4_096,
            held_body_bytes: 512 * 1024 * 1024,
        }
    }
}

/// Timeouts and lifetimes in milliseconds. One day is 86400000.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimeoutSettings {
    /// Time within which a caller must send its request head, 1 ms to one day.
    pub head_ms: u64,
    /// Time limit for a single read of a caller's connection, 1 ms to one day; a whole
    /// body may take 6 times as long.
    pub body_ms: u64,
    /// Time within which a caller must accept the next bytes of its response, 1 ms to
    /// one day.
    pub write_ms: u64,
    /// Deadline of a request that does not set one, 1 to `longest_deadline_ms`.
    pub default_deadline_ms: u64,
    /// Maximum deadline that a caller may set, 1 ms to one day.
    pub longest_deadline_ms: u64,
    /// Time for which callers may cache an address answer, 100 to 60000.
    pub address_lifetime_ms: u64,
    /// Time after which a drain cancels the requests that still run; at least
    /// `address_lifetime_ms`.
    pub drain_ms: u64,
}

impl Default for TimeoutSettings {
    fn default() -> Self {
        Self {
            head_ms: 10_000,
            body_ms: 20_000,
            write_ms: 20_000,
            default_deadline_ms: 600_000,
            longest_deadline_ms: 3_600_000,
            address_lifetime_ms: 5_000,
            drain_ms: 900_000,
        }
    }
}

/// Upstreams that deviate from the protocol.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct UpstreamSettings {
    /// Engines that ignore fencing numbers. The node repeats its order to them sooner
    /// when their state differs from it, because a node that owned the engine earlier
    /// may have overwritten the order.
    pub fencing_ignored: Vec<UpstreamId>,
}

/// Settings document of a node.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name and location of the node.
    pub node: HostIdentity,
    /// Addresses that the node listens on.
    pub addresses: AddressSettings,
    /// Addresses and timeout of the platform's services.
    pub platform: PlatformSettings,
    /// Keys that authenticate messages between nodes; the first one signs.
    pub cluster_keys: Vec<ClusterKey>,
    /// SHA-256 digests of the operators' bearer keys, in hexadecimal.
    pub operator_key_digests: Vec<String>,
    /// Peer addresses of nodes to join through, in addition to the host list.
    #[serde(default)]
    pub seeds: Vec<String>,
    /// Limits on connections and request bodies.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Timeouts and lifetimes.
    #[serde(default)]
    pub timeouts: TimeoutSettings,
    /// Settings of routing and admission.
    #[serde(default)]
    pub scheduling: SchedulingSettings,
    /// Upstreams that deviate from the protocol.
    #[serde(default)]
    pub upstreams: UpstreamSettings,
}

/// Reads and validates a node's settings file.
///
/// # Errors
/// `SettingsError::Unreadable`, or `Faulty` as from `parse_node_settings`.
pub fn load_node_settings(file: &str) -> Result<NodeSettings, SettingsError> {
    let text = fs::read_to_string(file).map_err(|error| SettingsError::Unreadable {
        file: file.to_owned(),
        cause: error.to_string(),
    })?;
    parse_node_settings(file, &text)
}

/// Parses and validates a node's settings; `file` is their name in errors.
///
/// # Errors
/// `SettingsError::Faulty` with the faults of the first stage that fails: syntax
/// (one), decoding (at most 100) or value checks (all).
pub fn parse_node_settings(file: &str, text: &str) -> Result<NodeSettings, SettingsError> {
    let document: ParsedDocument<NodeSettings> = parse_document(file, text)?;
    let faults = check_settings(&document);
    if !faults.is_empty() {
        return Err(SettingsError::Faulty {
            file: file.to_owned(),
            faults,
        });
    }
    Ok(document.value)
}

fn check_settings(document: &ParsedDocument<NodeSettings>) -> Vec<errors::DocumentFault> {
    let settings = &document.value;
    let mut list = FaultList::new(&document.positions);
    check_identity(&mut list, settings);
    check_addresses(&mut list, settings);
    check_keys(&mut list, settings);
    check_limits(&mut list, settings);
    check_timeouts(&mut list, settings);
    settings.scheduling.check(&mut list);
    list.into_faults()
}

fn check_identity(list: &mut FaultList<'_>, settings: &NodeSettings) {
    list.require_name(&settings.node.id, "node.id");
    list.require_name(&settings.node.zone, "node.zone");
    list.require_name(&settings.node.region, "node.region");
}

fn check_addresses(list: &mut FaultList<'_>, settings: &NodeSettings) {
    list.require_address(&settings.addresses.callers, "addresses.callers");
    list.require_address(&settings.addresses.peers, "addresses.peers");
    list.require_address(&settings.platform.table, "platform.table");
    list.require_address(&settings.platform.objects, "platform.objects");
    list.require_address(&settings.platform.weights, "platform.weights");
    list.require_address(&settings.platform.hosts, "platform.hosts");
    list.require_range(
        settings.platform.timeout_ms,
        10,
        60_000,
        "platform.timeout_ms",
    );
    for (position, seed) in settings.seeds.iter().enumerate() {
        list.require_address(seed, &format!("seeds[{position}]"));
    }
}

fn check_keys(list: &mut FaultList<'_>, settings: &NodeSettings) {
    list.require(
        !settings.cluster_keys.is_empty(),
        "cluster_keys",
        "expected at least one key",
    );
    for (position, key) in settings.cluster_keys.iter().enumerate() {
        let path = format!("cluster_keys[{position}]");
        let is_hex = key.secret.bytes().all(|byte| byte.is_ascii_hexdigit());
        list.require(
            is_hex && key.secret.len() >= 64 && key.secret.len().is_multiple_of(2),
            &format!("{path}.secret"),
            "expected at least 32 bytes in hexadecimal",
        );
        let is_duplicate = settings.cluster_keys[..position]
            .iter()
            .any(|earlier| earlier.id == key.id);
        list.require(
            !is_duplicate,
            &format!("{path}.id"),
            "another key has this id",
        );
    }
    list.require(
        !settings.operator_key_digests.is_empty(),
        "operator_key_digests",
        "expected at least one digest",
    );
    for (position, digest) in settings.operator_key_digests.iter().enumerate() {
        list.require_digest(digest, &format!("operator_key_digests[{position}]"));
    }
}

fn check_limits(list: &mut FaultList<'_>, settings: &NodeSettings) {
    let limits = &settings.limits;
    list.require_range(limits.body_bytes, 1_024, 1 << 30, "limits.body_bytes");
    list.require_range(
        limits.connections.into(),
        1,
        1_000_000,
        "limits.connections",
    );
    list.require(
        limits.held_body_bytes >= limits.body_bytes,
        "limits.held_body_bytes",
        "must be at least limits.body_bytes",
    );
}

fn check_timeouts(list: &mut FaultList<'_>, settings: &NodeSettings) {
    let timeouts = &settings.timeouts;
    let day_ms = 86_400_000;
    list.require_range(timeouts.head_ms, 1, day_ms, "timeouts.head_ms");
    list.require_range(timeouts.body_ms, 1, day_ms, "timeouts.body_ms");
    list.require_range(timeouts.write_ms, 1, day_ms, "timeouts.write_ms");
    list.require_range(
        timeouts.default_deadline_ms,
        1,
        timeouts.longest_deadline_ms,
        "timeouts.default_deadline_ms",
    );
    list.require_range(
        timeouts.longest_deadline_ms,
        1,
        day_ms,
        "timeouts.longest_deadline_ms",
    );
    list.require_range(
        timeouts.address_lifetime_ms,
        100,
        60_000,
        "timeouts.address_lifetime_ms",
    );
    list.require(
        timeouts.drain_ms >= timeouts.address_lifetime_ms,
        "timeouts.drain_ms",
        "must be at least timeouts.address_lifetime_ms",
    );
}

fn default_platform_timeout_ms() -> u64 {
    2_000
}
