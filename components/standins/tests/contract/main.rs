//! Contract tests: each adapter with its stand-in server must behave like the
//! in-memory implementation.

mod engine;
mod engine_faults;
mod engine_memory;
mod fixture;
mod hosts;
mod objects;
mod service;
mod table;
mod weights;
