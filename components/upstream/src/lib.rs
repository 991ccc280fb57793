//! Interfaces to upstreams (model engines and plain services) and their HTTP
//! clients.
//!
//! The clients never retry: each call opens one connection and sends its request
//! once. The calling components decide on retries.

mod engine;
mod http;
mod service;

pub use engine::{
    CacheBatch, EngineCall, EngineEvent, GangMember, KvExport, KvImport, KvReservation,
    ModelEngine, TokenStream,
};
pub use http::{
    AttemptRequest, DEADLINE_HEADER, ExportRequest, FENCING_HEADER, FENCING_NEWEST_HEADER,
    FencedResponse, HttpEngine, HttpService, IDEMPOTENCY_HEADER, NOT_RUN_HEADER, RefusedResponse,
    TRACE_HEADER,
};
pub use service::{OrderCall, PlainService, ServiceResponse};
