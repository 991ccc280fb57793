//! Orders service of a node: runs the state machines of the `orders` crate
//! against the table service and the plain services.

mod clock;
mod driver;
mod ledger;
mod operate;
mod owed;
mod reads;
mod request;
mod service;
mod sweep;
mod writer;

pub use reads::{ReadOutcome, ReadSettings};
pub use request::{OrderListing, OrderRequest, OrderSettings, ServicePeer, ServiceTarget};
pub use service::{ORDER_SERVICE, OrderService, ServiceResolver};
