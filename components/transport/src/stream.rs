//! TCP stream that records whether any byte was written and limits the size of the
//! response head.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use errors::SendPhase;
use futures_lite::{AsyncRead, AsyncWrite};
use smol::net::TcpStream;

/// Maximum number of bytes read before the head of a response is complete.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Progress of a call, shared between the client and its stream.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendProgress {
    written: Arc<AtomicBool>,
    head_read: Arc<AtomicBool>,
}

impl SendProgress {
    /// Whether any byte of the request has been written.
    pub(crate) fn phase(&self) -> SendPhase {
        if self.written.load(Ordering::Acquire) {
            SendPhase::AfterFirstByte
        } else {
            SendPhase::BeforeFirstByte
        }
    }

    /// Ends the size limit, because the head has been read.
    pub(crate) fn set_head_read(&self) {
        self.head_read.store(true, Ordering::Release);
    }

    fn set_written(&self) {
        self.written.store(true, Ordering::Release);
    }

    fn head_is_read(&self) -> bool {
        self.head_read.load(Ordering::Acquire)
    }
}

/// TCP stream that records its first written byte in `SendProgress`.
#[derive(Debug)]
pub(crate) struct TrackedStream {
    stream: TcpStream,
    progress: SendProgress,
    read_bytes: usize,
}

impl TrackedStream {
    /// Wraps a `stream` on which nothing has been written yet.
    pub(crate) fn new(stream: TcpStream, progress: SendProgress) -> Self {
        Self {
            stream,
            progress,
            read_bytes: 0,
        }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        // The HTTP library has no limit of its own on the length of a header line.
        if self.read_bytes > MAX_HEAD_BYTES && !self.progress.head_is_read() {
            let cause = io::Error::new(
                io::ErrorKind::InvalidData,
                "response head exceeds the size limit",
            );
            return Poll::Ready(Err(cause));
        }
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(count)) = result {
            self.read_bytes = self.read_bytes.saturating_add(count);
        }
        result
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, buffer);
        if matches!(result, Poll::Ready(Ok(count)) if count > 0) {
            self.progress.set_written();
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
