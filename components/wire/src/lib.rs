//! Typed messages between nodes and their codec.

mod datagram;
mod seal;

pub use datagram::{DatagramFault, DatagramOpener, DatagramSealer, OpenedDatagram};
pub use seal::{KeyRing, SealKey, TAG_BYTES};
