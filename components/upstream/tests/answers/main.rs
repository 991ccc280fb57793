//! What the adapters make of answers that no well-behaved upstream gives.

mod calls;
mod script;
mod streams;
