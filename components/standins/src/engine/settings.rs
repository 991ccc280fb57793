//! Settings of a model engine stand-in.

use std::time::Duration;

use model::engine_profile;
use serde::{Deserialize, Serialize};
use stores::fakes::InjectedFaults;
use types::{
    EngineId, EngineProfile, EngineRole, IncarnationNumber, ModelSpec, TokenCount, ZoneId,
};

use crate::HostListing;

/// Settings of a model engine stand-in. Times are in milliseconds on the clock;
/// `time_scale` changes only times in the simulation, such as those of prefill,
/// decoding and KV lifetimes.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Id under which it registers on the host list.
    pub id: EngineId,
    /// Availability zone that it reports.
    pub zone: ZoneId,
    /// Incarnation number at the start; each restart adds one.
    pub incarnation: IncarnationNumber,
    /// Factor on durations in the simulation; 0.01 makes it a hundred times faster.
    pub time_scale: f64,
    /// KV cache capacity in tokens; 0 uses that of the default profile.
    pub kv_capacity: TokenCount,
    /// Role until the first order.
    pub role: EngineRole,
    /// Models that are loaded at the start.
    pub models: Vec<ModelSpec>,
    /// Time to load a model that an order requests.
    pub load_ms: u64,
    /// Time between two samples of the load report.
    pub report_interval_ms: u64,
    /// Age that the sample returned as a report should have. If none is that old,
    /// the oldest is returned, or a fresh report if there is no sample.
    pub report_delay_ms: u64,
    /// Delay before a cache event can be read.
    pub cache_delay_ms: u64,
    /// Interval, in events, at which a cache event is dropped along with all
    /// logged before it; 0 drops none.
    pub cache_gap_every: u64,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
    /// Text in a prompt that crashes the engine when its prefill starts; empty
    /// for none.
    pub crash_marker: String,
    /// Delay before the restart after a crash by `crash_marker`; without it the
    /// engine stays down. `kill` is called with its own delay.
    pub restart_ms: Option<u64>,
    /// Injected faults and rate limits of calls. A call held back by
    /// `hold_writes` never runs.
    pub faults: InjectedFaults,
    /// Registration on the host list.
    pub listing: HostListing,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            id: "engine-1".to_owned(),
            zone: "zone-a".to_owned(),
            incarnation: 1,
            time_scale: 1.0,
            kv_capacity: 0,
            role: EngineRole::default(),
            models: Vec::new(),
            load_ms: 5_000,
            report_interval_ms: 200,
            report_delay_ms: 0,
            cache_delay_ms: 0,
            cache_gap_every: 0,
            checks_fencing: true,
            crash_marker: String::new(),
            restart_ms: None,
            faults: InjectedFaults::default(),
            listing: HostListing::default(),
        }
    }
}

impl EngineSettings {
    pub(crate) fn profile(&self) -> EngineProfile {
        let mut profile = engine_profile(self.id.clone(), self.zone.clone());
        profile.incarnation = self.incarnation;
        if self.kv_capacity > 0 {
            profile.kv_capacity = self.kv_capacity;
        }
        profile
    }

    pub(crate) fn restart_after(&self) -> Option<Duration> {
        self.restart_ms.map(Duration::from_millis)
    }

    pub(crate) fn crashes_on(&self, prompt: &str) -> bool {
        !self.crash_marker.is_empty() && prompt.contains(&self.crash_marker)
    }
}
