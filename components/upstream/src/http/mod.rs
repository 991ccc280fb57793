//! HTTP/1.1 clients of the upstreams, with one connection for each call.

mod answer;
mod engine;
mod service;
mod stream;
mod wire;

pub use engine::HttpEngine;
pub use service::{
    DEADLINE_HEADER, FENCING_HEADER, FENCING_NEWEST_HEADER, HttpService, IDEMPOTENCY_HEADER,
    NOT_RUN_HEADER, TRACE_HEADER,
};
pub use wire::{AttemptRequest, ExportRequest, FencedResponse, RefusedResponse};
