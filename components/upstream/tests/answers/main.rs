//! Tests how the HTTP clients handle invalid, truncated and refusing responses of
//! upstreams.

mod calls;
mod script;
mod streams;
