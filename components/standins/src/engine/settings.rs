//! Settings of a model engine stand-in.

use std::time::Duration;

use model::engine_profile;
use serde::{Deserialize, Serialize};
use stores::fakes::InjectedFaults;
use types::{
    EngineId, EngineProfile, EngineRole, IncarnationNumber, ModelSpec, TokenCount, ZoneId,
};

use crate::HostListing;

/// Settings of a model engine stand-in. Times are in milliseconds; those of
/// loads, reports and cache events pass on the clock as they stand, those of
/// the engine model are multiplied by `time_scale`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Id on the host list.
    pub id: EngineId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Life of the process; each restart adds one.
    pub incarnation: IncarnationNumber,
    /// Factor on the time that work takes; 0.01 is a hundred times faster.
    pub time_scale: f64,
    /// KV memory in tokens; 0 for that of the model.
    pub kv_capacity: TokenCount,
    /// Role at the start.
    pub role: EngineRole,
    /// Models held ready at the start.
    pub models: Vec<ModelSpec>,
    /// Time to load a model that an order names.
    pub load_ms: u64,
    /// Time between two samples of the load report.
    pub report_interval_ms: u64,
    /// Least age of a reported sample.
    pub report_delay_ms: u64,
    /// Time until a cache event can be read.
    pub cache_delay_ms: u64,
    /// Every such cache event, and those before it, are lost; 0 for none.
    pub cache_gap_every: u64,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
    /// A prompt that contains this text crashes the engine as prefill begins;
    /// empty for none.
    pub crash_marker: String,
    /// Time after a crash until it is back; without, it stays down.
    pub restart_ms: Option<u64>,
    /// Faults and limits of the calls; a held call is lost.
    pub faults: InjectedFaults,
    /// Where it lists itself.
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
