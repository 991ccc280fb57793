//! One HTTP call on one connection, with truthful faults.
//!
//! A call opens a connection, sends once and never repeats anything. Its
//! faults tell whether any byte had been written when it failed.

mod answer;
mod caller;
mod fault;
mod stream;

pub use answer::{ANSWER_LIMIT_BYTES, HttpResponse};
pub use caller::HttpClient;
pub use fault::CallError;
