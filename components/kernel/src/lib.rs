//! The micro-kernel: named services, a clock and cancellation.
//!
//! A process registers its services by name, starts them in order, and stops
//! them in the reverse order. Services find each other by name.

mod clock;
mod registry;

pub use clock::{ClockSource, PausedClock};
pub use registry::{KernelError, ServiceKernel};
pub use tokio_util::sync::CancellationToken;
