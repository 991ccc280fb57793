//! The HTTP edge towards callers and operators.
//!
//! Connections, heads and bodies are bounded in size and time here; what a
//! request means is the handler's matter.

mod body;
mod connection;
mod failure;
mod keys;
mod request;
mod server;
mod sse;
mod stream;

pub use body::{BodyBudget, BufferedBody};
pub use failure::{ApiFailure, FailureKind};
pub use keys::{bearer_digest, digest_matches, key_digest};
pub use request::{EntryRequest, HeaderName};
pub use server::{EntryHandler, EntryLimits, EntryServer, HandlerFuture};
pub use sse::{EventSink, event_stream};
