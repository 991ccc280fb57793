//! A caller's connection, bounded in time and in bytes read.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use kernel::ClockSource;
use smol::net::TcpStream;

type SleepFuture = Pin<Box<dyn Future<Output = ()> + Send + Sync>>;

/// A connection whose reads and writes must make progress within a limit and
/// whose reads stop once an allowance of bytes is used up.
pub(crate) struct CallerStream {
    stream: TcpStream,
    clock: ClockSource,
    allowance: Arc<AtomicU64>,
    read_limit: Duration,
    write_limit: Duration,
    read_timer: Option<SleepFuture>,
    write_timer: Option<SleepFuture>,
}

impl CallerStream {
    pub(crate) fn new(
        stream: TcpStream,
        clock: ClockSource,
        read_limit: Duration,
        write_limit: Duration,
    ) -> Self {
        Self {
            stream,
            clock,
            allowance: Arc::new(AtomicU64::new(0)),
            read_limit,
            write_limit,
            read_timer: None,
            write_timer: None,
        }
    }

    /// Sets how many more bytes may be read.
    pub(crate) fn allow(&self, bytes: u64) {
        self.allowance.store(bytes, Ordering::Relaxed);
    }

    /// Whether the last read failed because the allowance was used up.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.allowance.load(Ordering::Relaxed) == 0
    }

    /// Waits until the caller closes the connection.
    ///
    /// A caller that sends more in the meantime is not watched further.
    pub(crate) async fn closed(&self) {
        let mut byte = [0_u8; 1];
        match self.stream.peek(&mut byte).await {
            Ok(0) | Err(_) => {}
            Ok(_) => std::future::pending().await,
        }
    }

    fn sleep(&self, limit: Duration) -> SleepFuture {
        let clock = self.clock.clone();
        Box::pin(async move { clock.sleep(limit).await })
    }
}

impl Clone for CallerStream {
    fn clone(&self) -> Self {
        Self {
            stream: self.stream.clone(),
            clock: self.clock.clone(),
            allowance: Arc::clone(&self.allowance),
            read_limit: self.read_limit,
            write_limit: self.write_limit,
            read_timer: None,
            write_timer: None,
        }
    }
}

fn poll_timer(timer: &mut SleepFuture, context: &mut Context<'_>) -> Poll<io::Error> {
    match timer.poll(context) {
        Poll::Ready(()) => Poll::Ready(io::ErrorKind::TimedOut.into()),
        Poll::Pending => Poll::Pending,
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let allowed = this.allowance.load(Ordering::Relaxed);
        if allowed == 0 {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let size = usize::try_from(allowed)
            .unwrap_or(usize::MAX)
            .min(buffer.len());
        if let Poll::Ready(result) =
            Pin::new(&mut this.stream).poll_read(context, &mut buffer[..size])
        {
            this.read_timer = None;
            if let Ok(count) = result {
                this.allowance.fetch_sub(count as u64, Ordering::Relaxed);
            }
            return Poll::Ready(result);
        }
        if this.read_timer.is_none() {
            this.read_timer = Some(this.sleep(this.read_limit));
        }
        match &mut this.read_timer {
            Some(timer) => poll_timer(timer, context).map(Err),
            None => Poll::Pending,
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        if let Poll::Ready(result) = Pin::new(&mut this.stream).poll_write(context, buffer) {
            this.write_timer = None;
            return Poll::Ready(result);
        }
        if this.write_timer.is_none() {
            this.write_timer = Some(this.sleep(this.write_limit));
        }
        match &mut this.write_timer {
            Some(timer) => poll_timer(timer, context).map(Err),
            None => Poll::Pending,
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
