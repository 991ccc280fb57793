//! TCP listener for callers and operators.

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
use memory::MemoryBudget;
use smol::net::{TcpListener, TcpStream};

use crate::{EntryRequest, connection::CallerConnection, stream::CallerStream};

/// Polling interval while the connection limit is reached, after a failed accept
/// and while open connections finish at shutdown.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Future of a handler's response.
pub type HandlerFuture = Pin<Box<dyn Future<Output = Response> + Send>>;
/// Produces the response to one request.
pub type EntryHandler = Arc<dyn Fn(EntryRequest) -> HandlerFuture + Send + Sync>;

/// Limits of the HTTP server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryLimits {
    /// Maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// Maximum number of open connections; further ones wait to be accepted.
    pub connections: u32,
    /// Time limit for receiving a request's head.
    pub head_timeout: Duration,
    /// Time limit for a single read of the connection; a whole body may take 6 times
    /// as long.
    pub body_timeout: Duration,
    /// Time limit for a single write of a response.
    pub write_timeout: Duration,
}

/// Accepts connections and passes their requests to the handler.
pub struct EntryServer {
    listener: TcpListener,
    handler: Option<EntryHandler>,
    limits: EntryLimits,
    budget: Arc<MemoryBudget>,
    clock: ClockSource,
    open_connections: Arc<AtomicU32>,
}

/// Decrements the number of open connections when a connection ends.
struct ConnectionGuard(Arc<AtomicU32>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl EntryServer {
    /// Binds to `address`, an IP address with a port. Connections wait in the
    /// listen backlog until `run` is called; without a handler, `run` closes them at
    /// once.
    ///
    /// # Errors
    /// The operating system's error when the address can't be bound.
    pub async fn bind(
        address: &str,
        limits: EntryLimits,
        budget: Arc<MemoryBudget>,
        clock: ClockSource,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self {
            listener,
            handler: None,
            limits,
            budget,
            clock,
            open_connections: Arc::default(),
        })
    }

    /// Sets the handler that answers requests.
    #[must_use]
    pub fn with_handler(mut self, handler: EntryHandler) -> Self {
        self.handler = Some(handler);
        self
    }

    /// Address that the server listens on, with the port that was assigned.
    ///
    /// # Errors
    /// The operating system's error.
    pub fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Shared counter of the connections that are open now.
    #[must_use]
    pub fn connections(&self) -> Arc<AtomicU32> {
        Arc::clone(&self.open_connections)
    }

    /// Serves until `token` is cancelled, then waits until the requests in flight
    /// have finished.
    pub async fn run(self, token: CancellationToken) {
        loop {
            let accepted = smol::future::or(async { Some(self.accept().await) }, async {
                token.cancelled().await;
                None
            })
            .await;
            match accepted {
                Some(Some(stream)) => self.spawn_connection(stream, token.child_token()),
                Some(None) => {}
                None => break,
            }
        }
        let Self {
            open_connections,
            clock,
            ..
        } = self;
        while open_connections.load(Ordering::Relaxed) > 0 {
            clock.sleep(POLL_INTERVAL).await;
        }
    }

    async fn accept(&self) -> Option<TcpStream> {
        if self.open_connections.load(Ordering::Relaxed) >= self.limits.connections {
            self.clock.sleep(POLL_INTERVAL).await;
            return None;
        }
        if let Ok((stream, _)) = self.listener.accept().await {
            return Some(stream);
        }
        self.clock.sleep(POLL_INTERVAL).await;
        None
    }

    fn spawn_connection(&self, stream: TcpStream, token: CancellationToken) {
        let Some(handler) = self.handler.clone() else {
            return;
        };
        stream.set_nodelay(true).ok();
        self.open_connections.fetch_add(1, Ordering::Relaxed);
        let guard = ConnectionGuard(Arc::clone(&self.open_connections));
        let connection = CallerConnection {
            stream: CallerStream::new(
                stream,
                self.clock.clone(),
                self.limits.body_timeout,
                self.limits.write_timeout,
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
