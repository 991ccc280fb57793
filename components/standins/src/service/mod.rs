//! Stand-in of a plain service: idempotent reads, and orders whose effects are
//! recorded.

mod server;
mod standin;

pub use server::{ServiceServer, ServiceSettings};
pub use standin::{ServiceEffect, StandinService};
