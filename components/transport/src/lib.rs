//! HTTP client for calls to upstreams and the platform's services.
//!
//! Each call opens a new connection, sends its request once and never retries. Its
//! errors tell whether any byte had been written when it failed, and so whether
//! the peer may have run the request.

mod answer;
mod caller;
mod fault;
mod stream;

pub use answer::{HttpResponse, MAX_BODY_BYTES};
pub use caller::HttpClient;
pub use fault::CallError;
