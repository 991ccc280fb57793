//! The orders service of a node: the async driver of the `orders` component.

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
