//! TCP stream of a caller with limits on time and on bytes read.

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

/// Stream whose reads and writes fail with `TimedOut` when they make no progress
/// within their timeout. Reads fail with `InvalidData` once `read_allowance` bytes
/// have been read. Clones share the connection and the allowance.
pub(crate) struct CallerStream {
    stream: TcpStream,
    clock: ClockSource,
    read_allowance: Arc<AtomicU64>,
    read_timeout: Duration,
    write_timeout: Duration,
    read_timer: Option<SleepFuture>,
    write_timer: Option<SleepFuture>,
}

impl CallerStream {
    pub(crate) fn new(
        stream: TcpStream,
        clock: ClockSource,
        read_timeout: Duration,
        write_timeout: Duration,
    ) -> Self {
        Self {
            stream,
            clock,
            read_allowance: Arc::new(AtomicU64::new(0)),
            read_timeout,
            write_timeout,
            read_timer: None,
            write_timer: None,
        }
    }

    /// Sets the number of bytes that may still be read.
    pub(crate) fn set_read_allowance(&self, bytes: u64) {
        self.read_allowance.store(bytes, Ordering::Relaxed);
    }

    /// Whether the whole allowance has been read, so that further reads fail.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.read_allowance.load(Ordering::Relaxed) == 0
    }

    /// Waits until the caller closes the connection.
    ///
    /// Never completes once the caller has sent more data, such as a pipelined
    /// request.
    pub(crate) async fn wait_closed(&self) {
        let mut byte = [0_u8; 1];
        match self.stream.peek(&mut byte).await {
            Ok(0) | Err(_) => {}
            Ok(_) => std::future::pending().await,
        }
    }

    fn start_timer(&self, timeout: Duration) -> SleepFuture {
        let clock = self.clock.clone();
        Box::pin(async move { clock.sleep(timeout).await })
    }
}

impl Clone for CallerStream {
    fn clone(&self) -> Self {
        Self {
            stream: self.stream.clone(),
            clock: self.clock.clone(),
            read_allowance: Arc::clone(&self.read_allowance),
            read_timeout: self.read_timeout,
            write_timeout: self.write_timeout,
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
        let allowance = this.read_allowance.load(Ordering::Relaxed);
        if allowance == 0 {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let size = usize::try_from(allowance)
            .unwrap_or(usize::MAX)
            .min(buffer.len());
        if let Poll::Ready(result) =
            Pin::new(&mut this.stream).poll_read(context, &mut buffer[..size])
        {
            this.read_timer = None;
            if let Ok(count) = result {
                this.read_allowance
                    .fetch_sub(count as u64, Ordering::Relaxed);
            }
            return Poll::Ready(result);
        }
        if this.read_timer.is_none() {
            this.read_timer = Some(this.start_timer(this.read_timeout));
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
            this.write_timer = Some(this.start_timer(this.write_timeout));
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
