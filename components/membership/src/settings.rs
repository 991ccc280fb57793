//! Parameters of the membership protocol.

use std::time::Duration;

/// Intervals, timeouts and send limits of the membership protocol.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberSettings {
    /// Longest time between two `Tick` events.
    pub tick_interval: Duration,
    /// Interval between probe rounds; each round probes at most two members.
    pub probe_period: Duration,
    /// Timeout of a direct probe, after which other members are asked to probe.
    pub probe_timeout: Duration,
    /// Timeout of the indirect probes, after which the target is suspected.
    pub indirect_timeout: Duration,
    /// Number of other members asked for an indirect probe.
    pub indirect_probe_count: usize,
    /// Time in which a suspected member must refute before it is declared dead.
    pub suspicion_timeout: Duration,
    /// Time between two ticks above which this process counts as paused. Pending
    /// probes are then dropped and suspicion timeouts restart, because answers missed
    /// during a pause are no evidence against other members.
    pub max_tick_gap: Duration,
    /// Interval between pings of a dead member or of a seed that isn't a present member.
    pub gone_probe_period: Duration,
    /// Time for which a dead or left member stays in the table.
    pub gone_retention: Duration,
    /// Minimum interval between two sync requests that differing digests cause. A
    /// request for the rest of a truncated reply is sent at once.
    pub min_sync_interval: Duration,
    /// Number of messages with a differing digest after which a sync is requested. One
    /// is enough until this node has joined: until a peer's digest has equalled its own
    /// or a complete sync reply has arrived. As many equal digests in a row reset the
    /// count.
    pub sync_mismatch_threshold: u32,
    /// Maximum size of a datagram in bytes, IP and UDP headers included.
    pub max_datagram_bytes: usize,
    /// Send budget of this node in bytes per second, headers included.
    pub send_bytes_per_second: u32,
    /// Every n-th time that this node sends its own topic bodies, it prefers members of
    /// other zones, otherwise members of its own; this is n, and 0 counts as 1.
    pub cross_zone_interval: u64,
    /// Seed of the random choices; differs between nodes.
    pub seed: u64,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            tick_interval: Duration::from_millis(50),
            probe_period: Duration::from_millis(500),
            probe_timeout: Duration::from_millis(250),
            indirect_timeout: Duration::from_millis(350),
            indirect_probe_count: 3,
            suspicion_timeout: Duration::from_secs(3),
            max_tick_gap: Duration::from_secs(1),
            gone_probe_period: Duration::from_secs(2),
            gone_retention: Duration::from_mins(10),
            min_sync_interval: Duration::from_millis(500),
            sync_mismatch_threshold: 12,
            max_datagram_bytes: 1_200,
            send_bytes_per_second: 2_400,
            cross_zone_interval: 3,
            seed: 1,
        }
    }
}
