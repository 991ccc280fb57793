//! Interfaces to the platform's four services (table service, object store, weight
//! store and host list) and their HTTP clients.
//!
//! Each interface is a trait, so a deployment with another wire format needs only a
//! new client. `fakes` has in-memory implementations with fault injection.

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
