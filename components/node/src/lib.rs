//! The daemon of an entry host: services composed on the kernel.

mod engines;
mod members;
mod notes;
mod orders;
mod prompts;
