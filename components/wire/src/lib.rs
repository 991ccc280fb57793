//! Encoding of messages between nodes: authenticated datagrams over UDP and
//! length-prefixed frames over TCP.

mod datagram;
mod frame;
mod key_ring;

pub use datagram::{DatagramError, DatagramSigner, DatagramVerifier, VerifiedDatagram};
pub use frame::{FrameError, MAX_FRAME_BYTES, receive_frame, send_frame};
pub use key_ring::{KeyRing, MacKey, TAG_BYTES};
