//! HTTP/1.1 server for callers and operators.
//!
//! Limits the number of connections, the size of request heads and bodies, and
//! the time that reads and writes may take. The handler interprets requests.

mod body;
mod connection;
mod failure;
mod keys;
mod request;
mod server;
mod sse;
mod stream;

pub use body::BufferedBody;
pub use failure::{ApiFailure, FailureKind};
pub use keys::{bearer_digest, digest_matches, key_digest};
pub use request::{EntryRequest, HeaderName};
pub use server::{EntryHandler, EntryLimits, EntryServer, HandlerFuture};
pub use sse::{EventSink, event_stream};
