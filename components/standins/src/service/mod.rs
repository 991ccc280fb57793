//! A plain service: idempotent reads, and orders with a visible effect count.

mod server;
mod standin;

pub use server::{ServiceServer, ServiceSettings};
pub use standin::{ServiceEffect, StandinService};
