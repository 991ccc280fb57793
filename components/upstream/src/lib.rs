//! The two edges to upstreams, with one HTTP adapter each.
//!
//! No adapter repeats a call on its own: each call makes one connection and
//! sends once. Retries are decided by the components that call.

mod engine;
mod service;

pub use engine::{
    CacheBatch, EngineCall, EngineEvent, KvExport, KvImport, KvReservation, ModelEngine,
    SequenceMember, TokenStream,
};
pub use service::{OrderCall, PlainService, ServiceAnswer};
