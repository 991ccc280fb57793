//! In-memory implementations of the platform's services with fault injection, for
//! tests and for the programs that simulate the platform's services.

mod faults;
mod hosts;
mod objects;
mod store;
mod table;
mod weights;

pub use faults::{CallKind, FaultInjector, InjectedFaults, OutageKind};
pub use hosts::MemoryHosts;
pub use objects::MemoryObjects;
pub use table::MemoryTable;
pub use weights::{MemoryWeights, WeightRate};
