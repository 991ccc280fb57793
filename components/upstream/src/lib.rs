//! The two edges to upstreams, with one HTTP adapter each.
//!
//! No adapter repeats a call on its own: each call makes one connection and
//! sends once. Retries are decided by the components that call.

mod engine;
mod http;
mod service;

pub use engine::{
    CacheBatch, EngineCall, EngineEvent, KvExport, KvImport, KvReservation, ModelEngine,
    SequenceMember, TokenStream,
};
pub use http::{
    AttemptRequest, DEADLINE_HEADER, ExportRequest, FENCING_HEADER, FENCING_NEWEST_HEADER,
    FencedResponse, HttpEngine, HttpService, IDEMPOTENCY_HEADER, NOT_RUN_HEADER, RefusedResponse,
    TRACE_HEADER,
};
pub use service::{OrderCall, PlainService, ServiceResponse};
