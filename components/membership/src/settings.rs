//! Knobs of membership.

use std::time::Duration;

/// How often members probe, how long they wait, and what they may send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberSettings {
    /// Longest time between two `Tick` events.
    pub tick: Duration,
    /// Time between two rounds of probes; each round probes two members.
    pub probe_period: Duration,
    /// Time for a direct answer, before other members are asked to probe.
    pub probe_timeout: Duration,
    /// Time for an answer by way of other members.
    pub indirect_timeout: Duration,
    /// Members asked to probe.
    pub indirect_probes: usize,
    /// Time a suspect has to refute.
    pub suspicion_time: Duration,
    /// Time without a tick after which this process was paused, and what it
    /// missed says nothing about others.
    pub pause_limit: Duration,
    /// Time between two probes of a member that is gone or not yet known.
    pub gone_probe_period: Duration,
    /// Time a gone member is remembered.
    pub forget_after: Duration,
    /// Least time between two requests to compare tables.
    pub sync_period: Duration,
    /// Messages from members with another table before tables are compared.
    pub sync_patience: u32,
    /// Largest datagram in bytes, headers included.
    pub datagram_limit: usize,
    /// Bytes a second this node may send, headers included.
    pub bytes_per_second: u32,
    /// Of this many samples one goes to another zone.
    pub far_sample_interval: u64,
    /// Seed of the randomised choices.
    pub seed: u64,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(50),
            probe_period: Duration::from_millis(500),
            probe_timeout: Duration::from_millis(250),
            indirect_timeout: Duration::from_millis(350),
            indirect_probes: 3,
            suspicion_time: Duration::from_secs(3),
            pause_limit: Duration::from_secs(1),
            gone_probe_period: Duration::from_secs(2),
            forget_after: Duration::from_mins(10),
            sync_period: Duration::from_millis(500),
            sync_patience: 12,
            datagram_limit: 1_200,
            bytes_per_second: 2_400,
            far_sample_interval: 3,
            seed: 1,
        }
    }
}
