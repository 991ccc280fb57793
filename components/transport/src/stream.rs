//! A TCP stream that remembers whether any byte was written.

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

/// Whether any byte of a call was written; shared with the call's stream.
#[derive(Clone, Debug, Default)]
pub(crate) struct SendMark {
    written: Arc<AtomicBool>,
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

    fn set(&self) {
        self.written.store(true, Ordering::Release);
    }
}

/// A TCP stream that sets a mark with its first written byte.
#[derive(Debug)]
pub(crate) struct MarkedStream {
    stream: TcpStream,
    mark: SendMark,
}

impl MarkedStream {
    /// Wraps `stream`, on which nothing was written yet.
    pub(crate) fn new(stream: TcpStream, mark: SendMark) -> Self {
        Self { stream, mark }
    }
}

impl AsyncRead for MarkedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
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
            self.mark.set();
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
