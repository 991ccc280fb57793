//! A TCP stream that remembers whether any byte was written, and that bounds
//! the head of the answer.

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

/// Most bytes read until the head of an answer is whole, in bytes.
const HEAD_LIMIT_BYTES: usize = 64 * 1024;

/// How far a call has got; shared with the call's stream.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendMark {
    written: Arc<AtomicBool>,
    head_read: Arc<AtomicBool>,
}

impl SendMark {
    /// How far the call has got.
    pub(crate) fn phase(&self) -> SendPhase {
        if self.written.load(Ordering::Acquire) {
            SendPhase::AfterFirstByte
        } else {
            SendPhase::BeforeFirstByte
        }
    }

    /// Lifts the bound on the head, which is whole.
    pub(crate) fn end_head(&self) {
        self.head_read.store(true, Ordering::Release);
    }

    fn set_written(&self) {
        self.written.store(true, Ordering::Release);
    }

    fn head_is_read(&self) -> bool {
        self.head_read.load(Ordering::Acquire)
    }
}

/// A TCP stream that sets a mark with its first written byte.
#[derive(Debug)]
pub(crate) struct MarkedStream {
    stream: TcpStream,
    mark: SendMark,
    read: usize,
}

impl MarkedStream {
    /// Wraps `stream`, on which nothing was written yet.
    pub(crate) fn new(stream: TcpStream, mark: SendMark) -> Self {
        Self {
            stream,
            mark,
            read: 0,
        }
    }
}

impl AsyncRead for MarkedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        // The HTTP library reads a line of any length into memory.
        if self.read > HEAD_LIMIT_BYTES && !self.mark.head_is_read() {
            let cause = io::Error::new(io::ErrorKind::InvalidData, "head over the limit");
            return Poll::Ready(Err(cause));
        }
        let outcome = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(count)) = outcome {
            self.read = self.read.saturating_add(count);
        }
        outcome
    }
}

impl AsyncWrite for MarkedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.stream).poll_write(context, buffer);
        if matches!(outcome, Poll::Ready(Ok(count)) if count > 0) {
            self.mark.set_written();
        }
        outcome
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
