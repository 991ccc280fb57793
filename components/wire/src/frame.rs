//! Messages on a byte stream: a 4-byte big-endian length, then the message
//! encoded with postcard.

use std::{error::Error, fmt};

use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use serde::{Serialize, de::DeserializeOwned};

/// Maximum length of a frame in bytes, without its length prefix. Longer frames
/// are neither sent nor accepted.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;
/// Number of bytes by which the receive buffer grows at a time.
const READ_CHUNK_BYTES: usize = 256 * 1024;

/// Reason for which a frame could not be sent or received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FrameError {
    /// The peer closed the connection between two frames.
    Closed {
        /// Operation that failed: `receive`, since a failed send is
        /// `ConnectionFailed`.
        step: String,
        /// Node or address at the other end of the connection.
        peer: String,
    },
    /// The connection failed while a frame was sent or received.
    ConnectionFailed {
        /// Operation that failed, such as `send` or `receive`.
        step: String,
        /// Node or address at the other end of the connection.
        peer: String,
        /// Error that the connection returned.
        cause: String,
    },
    /// The frame is too long, or its message is not the expected one.
    Malformed {
        /// Operation that failed, such as `send` or `receive`.
        step: String,
        /// Node or address at the other end of the connection.
        peer: String,
        /// What is wrong with the frame.
        cause: String,
    },
}

impl fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed { step, peer } => write!(formatter, "{step} on {peer}: connection closed"),
            Self::ConnectionFailed { step, peer, cause } => {
                write!(formatter, "{step} on {peer}: connection failed: {cause}")
            }
            Self::Malformed { step, peer, cause } => {
                write!(formatter, "{step} on {peer}: invalid message: {cause}")
            }
        }
    }
}

impl Error for FrameError {}

/// Sends `message` as one frame; `peer` names the other node in errors.
///
/// # Errors
/// `FrameError::ConnectionFailed` when the write fails, `FrameError::Malformed`
/// when the message doesn't encode or exceeds `MAX_FRAME_BYTES`.
pub async fn send_frame<S, T>(stream: &mut S, peer: &str, message: &T) -> Result<(), FrameError>
where
    S: AsyncWrite + Unpin,
    T: Serialize,
{
    let mut frame = vec![0_u8; 4];
    frame = postcard::to_extend(message, frame).map_err(|error| malformed("send", peer, &error))?;
    let length = frame.len() - 4;
    let prefix = u32::try_from(length)
        .ok()
        .filter(|_| length <= MAX_FRAME_BYTES)
        .ok_or_else(|| malformed("send", peer, &"frame exceeds MAX_FRAME_BYTES (64 MiB)"))?;
    frame[..4].copy_from_slice(&prefix.to_be_bytes());
    stream
        .write_all(&frame)
        .await
        .map_err(|error| connection_failed("send", peer, &error))
}

/// Receives one frame and decodes it; `peer` names the other node in errors.
///
/// # Errors
/// `FrameError::Closed` when the peer closed the connection before the first byte,
/// `FrameError::ConnectionFailed` when a read fails or the connection closes within
/// the frame, and `FrameError::Malformed` when the frame is too long or doesn't
/// decode.
pub async fn receive_frame<S, T>(stream: &mut S, peer: &str) -> Result<T, FrameError>
where
    S: AsyncRead + Unpin,
    T: DeserializeOwned,
{
    let mut prefix = [0_u8; 4];
    if !read_prefix(stream, &mut prefix, peer).await? {
        return Err(FrameError::Closed {
            step: "receive".to_owned(),
            peer: peer.to_owned(),
        });
    }
    let length = u32::from_be_bytes(prefix) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(malformed(
            "receive",
            peer,
            &"frame exceeds MAX_FRAME_BYTES (64 MiB)",
        ));
    }
    let frame = read_body(stream, length, peer).await?;
    postcard::from_bytes(&frame).map_err(|error| malformed("receive", peer, &error))
}

/// Reads the length prefix; returns false when the peer closed the connection
/// before its first byte.
async fn read_prefix<S: AsyncRead + Unpin>(
    stream: &mut S,
    prefix: &mut [u8; 4],
    peer: &str,
) -> Result<bool, FrameError> {
    let received_bytes = stream
        .read(prefix)
        .await
        .map_err(|error| connection_failed("receive", peer, &error))?;
    if received_bytes == 0 {
        return Ok(false);
    }
    stream
        .read_exact(&mut prefix[received_bytes..])
        .await
        .map_err(|error| connection_failed("receive", peer, &error))?;
    Ok(true)
}

/// Grows the buffer with the bytes that arrive, so that a false length prefix
/// can't make this node allocate up to `MAX_FRAME_BYTES`.
async fn read_body<S: AsyncRead + Unpin>(
    stream: &mut S,
    length: usize,
    peer: &str,
) -> Result<Vec<u8>, FrameError> {
    let mut frame = Vec::new();
    while frame.len() < length {
        let start = frame.len();
        let end = length.min(start + READ_CHUNK_BYTES);
        frame.resize(end, 0);
        stream
            .read_exact(&mut frame[start..])
            .await
            .map_err(|error| connection_failed("receive", peer, &error))?;
    }
    Ok(frame)
}

fn connection_failed(step: &str, peer: &str, cause: &dyn fmt::Display) -> FrameError {
    FrameError::ConnectionFailed {
        step: step.to_owned(),
        peer: peer.to_owned(),
        cause: cause.to_string(),
    }
}

fn malformed(step: &str, peer: &str, cause: &dyn fmt::Display) -> FrameError {
    FrameError::Malformed {
        step: step.to_owned(),
        peer: peer.to_owned(),
        cause: cause.to_string(),
    }
}
