//! Registry and life cycle of the services in a process, with a clock and
//! cancellation.
//!
//! A process registers its services by name, starts their tasks in order and
//! stops them in reverse order. Services find each other by name.

mod clock;
mod registry;

pub use clock::{ClockSource, PausedClock};
pub use registry::{KernelError, ServiceKernel};
pub use tokio_util::sync::CancellationToken;
