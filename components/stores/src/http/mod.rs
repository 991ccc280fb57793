//! HTTP/1.1 clients of the platform's services, with one connection for each call.

mod answer;
mod hosts;
mod objects;
mod table;
mod weights;
mod wire;

pub use hosts::{HostRegistrar, HttpHosts};
pub use objects::HttpObjects;
pub use table::HttpTable;
pub use weights::HttpWeights;
pub use wire::{
    ConflictResponse, HostDeparture, ReadRequest, ReadResponse, ScanRequest, ScanResponse,
    SlotRequest, TransactRequest, TransactResponse,
};
