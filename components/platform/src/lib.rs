//! The four edges to the platform, with one HTTP adapter each.
//!
//! Each edge is a trait. Another deployment's wire format is a new adapter
//! and nothing else.

mod edges;
mod table;

pub use edges::{HostEntry, HostKind, HostList, HostState, ObjectStore, WeightSlot, WeightStore};
pub use table::{ReadMode, RowExpectation, RowWrite, TableRow, TableService};
