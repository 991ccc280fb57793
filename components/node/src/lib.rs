//! The daemon of an entry host: services composed on the kernel.

mod engines;
pub mod members;
mod notes;
mod orders;
mod prompts;
