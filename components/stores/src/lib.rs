//! The four edges to the platform, with one HTTP adapter each.
//!
//! Each edge is a trait. Another deployment's wire format is a new adapter
//! and nothing else. `fakes` holds the same edges in memory, with faults.

mod edges;
pub mod fakes;
mod http;
mod table;

pub use edges::{HostEntry, HostKind, HostList, HostState, ObjectStore, WeightSlot, WeightStore};
pub use http::{
    ConflictResponse, HostDeparture, HostRegistrar, HttpHosts, HttpObjects, HttpTable, HttpWeights,
    ReadRequest, ReadResponse, ScanRequest, ScanResponse, SlotRequest, TransactRequest,
    TransactResponse,
};
pub use table::{ReadMode, RowExpectation, RowWrite, TableRow, TableService};
