//! Fleet of engines for the placement tests.

use std::time::Duration;

use dispatch::{EngineSpec, UpstreamEntry, UpstreamState, UpstreamTable};

/// Number of engines in the fleet.
pub const ENGINES: usize = 14;

pub fn spec() -> EngineSpec {
    EngineSpec {
        slots: 16,
        kv_cache_tokens: 450_000,
        steps_per_pass: 46,
        step_time: Duration::from_micros(925),
        sequence_step_ms: 0.004_83,
        context_step_ms: 0.002_54,
        prefill_tokens_per_ms: 256.0,
        attention_pairs_ms: 0.0917,
    }
}

pub fn engine_name(number: usize) -> String {
    format!("engine-{number:02}")
}

/// Table of all engines in the fleet, all ready.
pub fn engine_table() -> UpstreamTable {
    let mut table = UpstreamTable::default();
    for number in 0..ENGINES {
        table.upsert(UpstreamEntry {
            id: engine_name(number),
            service: "models".to_owned(),
            address: ([10, 0, 0, 1], u16::try_from(number).unwrap()).into(),
            zone: "duluth".to_owned(),
            slots: spec().slots,
            state: UpstreamState::Ready,
            started_ms: None,
            version: 1,
        });
    }
    table
}
