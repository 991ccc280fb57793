//! Typed messages between nodes and their codec.

mod frame;

pub use frame::{FrameError, MAX_FRAME_BYTES, receive_frame, send_frame};
