//! Simulates a model engine: its batch, step times and KV memory.
//!
//! `EngineModel` does no I/O and reads no clock: the caller passes in the time
//! and receives events. The bench and the stand-in engine both run on it.

mod batch;
mod cache;
mod cost;
mod engine;
mod holding;
mod memory;
mod passes;
mod placement;
mod sequence;
mod spec;
mod stepping;

pub use cache::{CacheSlice, PrefixCache};
pub use cost::{
    KV_CAPACITY_TOKENS, KV_TRANSFER_TOKENS_S, MEMBER_EFFICIENCY, decode_time, engine_profile,
    gang_speedup, prefill_time,
};
pub use engine::EngineModel;
pub use passes::{JobId, PassEngine, PassEvent, PassSpec, PrefillShard};
pub use spec::{
    AttemptSpec, EventKind, HoldSpec, KvExportRef, KvImportSpec, ModelError, ModelEvent, SequenceId,
};
