//! A model of a model engine: batch, cost and memory on a given clock.
//!
//! `EngineModel` is pure: times are passed in, events come out, and nothing
//! is read or written. The bench and the stand-in engine wrap the same code.

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
    gang_pace, prefill_time,
};
pub use engine::EngineModel;
pub use passes::{JobId, PassEngine, PassEvent, PassSpec, PrefillShard};
pub use spec::{
    AttemptSpec, EventKind, HoldSpec, KvExportRef, KvImportSpec, ModelError, ModelEvent, SequenceId,
};
