//! Length-prefixed postcard frames over a byte stream.

use std::{error::Error, fmt};

use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use serde::{Serialize, de::DeserializeOwned};

/// Longest frame in bytes.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;
const READ_STEP_BYTES: usize = 256 * 1024;

/// Why a frame could not be sent or received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FrameError {
    /// The connection ended between two frames.
    Closed {
        /// What was tried.
        step: String,
        /// Whom it was tried on.
        peer: String,
    },
    /// The connection broke.
    ConnectionFailed {
        /// What was tried.
        step: String,
        /// Whom it was tried on.
        peer: String,
        /// What came back.
        cause: String,
    },
    /// The frame is too long or not of the type expected.
    Malformed {
        /// What was tried.
        step: String,
        /// Whom it was tried on.
        peer: String,
        /// What is wrong.
        cause: String,
    },
}

impl fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed { step, peer } => write!(formatter, "{step} on {peer}: closed"),
            Self::ConnectionFailed { step, peer, cause } => {
                write!(formatter, "{step} on {peer}: broken: {cause}")
            }
            Self::Malformed { step, peer, cause } => {
                write!(formatter, "{step} on {peer}: malformed: {cause}")
            }
        }
    }
}

impl Error for FrameError {}

/// Sends one message as a frame; `peer` names the other side in errors.
///
/// # Errors
/// `FrameError::ConnectionFailed` or `FrameError::Malformed`.
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
        .ok_or_else(|| malformed("send", peer, &"frame too long"))?;
    frame[..4].copy_from_slice(&prefix.to_be_bytes());
    stream
        .write_all(&frame)
        .await
        .map_err(|error| broken("send", peer, &error))
}

/// Receives one message.
///
/// # Errors
/// `FrameError::Closed` when the other side ended cleanly before the frame.
pub async fn receive_frame<S, T>(stream: &mut S, peer: &str) -> Result<T, FrameError>
where
    S: AsyncRead + Unpin,
    T: DeserializeOwned,
{
    let mut prefix = [0_u8; 4];
    if !read_first(stream, &mut prefix, peer).await? {
        return Err(FrameError::Closed {
            step: "receive".to_owned(),
            peer: peer.to_owned(),
        });
    }
    let length = u32::from_be_bytes(prefix) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(malformed("receive", peer, &"frame too long"));
    }
    let frame = read_body(stream, length, peer).await?;
    postcard::from_bytes(&frame).map_err(|error| malformed("receive", peer, &error))
}

async fn read_first<S: AsyncRead + Unpin>(
    stream: &mut S,
    prefix: &mut [u8; 4],
    peer: &str,
) -> Result<bool, FrameError> {
    let count = stream
        .read(prefix)
        .await
        .map_err(|error| broken("receive", peer, &error))?;
    if count == 0 {
        return Ok(false);
    }
    stream
        .read_exact(&mut prefix[count..])
        .await
        .map_err(|error| broken("receive", peer, &error))?;
    Ok(true)
}

/// Memory grows with what arrives, not with what the prefix promises.
async fn read_body<S: AsyncRead + Unpin>(
    stream: &mut S,
    length: usize,
    peer: &str,
) -> Result<Vec<u8>, FrameError> {
    let mut frame = Vec::new();
    while frame.len() < length {
        let start = frame.len();
        let end = length.min(start + READ_STEP_BYTES);
        frame.resize(end, 0);
        stream
            .read_exact(&mut frame[start..])
            .await
            .map_err(|error| broken("receive", peer, &error))?;
    }
    Ok(frame)
}

fn broken(step: &str, peer: &str, cause: &dyn fmt::Display) -> FrameError {
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
