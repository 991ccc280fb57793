//! What every adapter, stand-in and in-memory edge must do alike.

mod engine;
mod engine_faults;
mod engine_memory;
mod fixture;
mod hosts;
mod objects;
mod service;
mod table;
mod weights;
