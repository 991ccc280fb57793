//! The listener for callers and operators.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use http_types::Response;
use kernel::{CancellationToken, ClockSource};
use smol::net::{TcpListener, TcpStream};

use crate::{BodyBudget, EntryRequest, connection::CallerConnection, stream::CallerStream};

const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What a handler returns.
pub type HandlerFuture = Pin<Box<dyn Future<Output = Response> + Send>>;
/// Answers one request.
pub type EntryHandler = Arc<dyn Fn(EntryRequest) -> HandlerFuture + Send + Sync>;

/// Bounds of the HTTP edge.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryLimits {
    /// Longest request body in bytes.
    pub body_bytes: u64,
    /// Most connections at once; more wait to be accepted.
    pub connections: u32,
    /// Time for a request's head.
    pub head_time: Duration,
    /// Time for one part of a body.
    pub body_time: Duration,
    /// Time for a caller to take one part of its answer.
    pub write_time: Duration,
}

/// Accepts connections and hands requests to the handler.
pub struct EntryServer {
    listener: TcpListener,
    handler: Option<EntryHandler>,
    limits: EntryLimits,
    budget: Arc<BodyBudget>,
    clock: ClockSource,
    open: Arc<AtomicU32>,
}

struct OpenGuard(Arc<AtomicU32>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl EntryServer {
    /// Binds to `address`, an IP number with a port. Connections wait until
    /// the server runs with a handler.
    ///
    /// # Errors
    /// The system's error when the address can't be bound.
    pub async fn bind(
        address: &str,
        limits: EntryLimits,
        budget: Arc<BodyBudget>,
        clock: ClockSource,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self {
            listener,
            handler: None,
            limits,
            budget,
            clock,
            open: Arc::default(),
        })
    }

    /// The server, answering with `handler`.
    #[must_use]
    pub fn with_handler(mut self, handler: EntryHandler) -> Self {
        self.handler = Some(handler);
        self
    }

    /// The address it listens on.
    ///
    /// # Errors
    /// The system's error.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Connections open now.
    #[must_use]
    pub fn connections(&self) -> Arc<AtomicU32> {
        Arc::clone(&self.open)
    }

    /// Serves until `token` is cancelled, then finishes the requests under
    /// way.
    pub async fn run(self, token: CancellationToken) {
        loop {
            let accepted = smol::future::or(async { Some(self.accept().await) }, async {
                token.cancelled().await;
                None
            })
            .await;
            match accepted {
                Some(Some(stream)) => self.spawn(stream, token.child_token()),
                Some(None) => {}
                None => break,
            }
        }
        let Self { open, clock, .. } = self;
        while open.load(Ordering::Relaxed) > 0 {
            clock.sleep(ACCEPT_PAUSE).await;
        }
    }

    async fn accept(&self) -> Option<TcpStream> {
        if self.open.load(Ordering::Relaxed) >= self.limits.connections {
            self.clock.sleep(ACCEPT_PAUSE).await;
            return None;
        }
        if let Ok((stream, _)) = self.listener.accept().await {
            return Some(stream);
        }
        self.clock.sleep(ACCEPT_PAUSE).await;
        None
    }

    fn spawn(&self, stream: TcpStream, token: CancellationToken) {
        let Some(handler) = self.handler.clone() else {
            return;
        };
        stream.set_nodelay(true).ok();
        self.open.fetch_add(1, Ordering::Relaxed);
        let guard = OpenGuard(Arc::clone(&self.open));
        let connection = CallerConnection {
            stream: CallerStream::new(
                stream,
                self.clock.clone(),
                self.limits.body_time,
                self.limits.write_time,
            ),
            handler,
            limits: self.limits.clone(),
            budget: Arc::clone(&self.budget),
            clock: self.clock.clone(),
        };
        smol::spawn(async move {
            let _guard = guard;
            connection.serve(token).await;
        })
        .detach();
    }
}
