//! Encoding of messages between nodes: authenticated datagrams over UDP and
//! length-prefixed frames over TCP.

mod datagram;
mod frame;
mod seal;

pub use datagram::{DatagramError, DatagramSigner, DatagramVerifier, VerifiedDatagram};
pub use frame::{FrameError, MAX_FRAME_BYTES, receive_frame, send_frame};
pub use seal::{KeyRing, MacKey, TAG_BYTES};
