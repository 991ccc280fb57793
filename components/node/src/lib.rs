//! The daemon of an entry host: services composed on the kernel.

mod engines;
pub mod members;
pub mod notes;
mod orders;
mod prompts;
