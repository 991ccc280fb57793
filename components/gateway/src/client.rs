//! Connections to upstreams, the store and other nodes.

use std::{
    collections::HashMap,
    io,
    net::{SocketAddr, TcpStream},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    body::Incoming,
    client::conn::http1::{Builder, SendRequest},
};
use smol::{Async, LocalExecutor, Task};
use smol_hyper::rt::FuturesIo;

use crate::PlainCall;

/// Read buffer of a connection; the HTTP library accepts no smaller one.
const READ_BUFFER_BYTES: usize = 8 << 10;
/// Longest body of a plain call's answer: what the store sends at most, with
/// room for its encoding.
const ANSWER_MAX_BYTES: usize = 2 << 20;
/// Idle connections kept to one address.
const IDLE_CONNECTIONS_MAX: usize = 8;
/// Age at which an idle connection is dropped when its peer names none.
pub(crate) const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// An open connection; dropping it closes the socket at once.
#[derive(Debug)]
pub(crate) struct ClientConnection {
    sender: SendRequest<Full<Bytes>>,
    _driver: Task<()>,
    address: SocketAddr,
    /// Whether it has carried a request before.
    pub(crate) reused: bool,
}

/// How far a failed exchange had got.
#[derive(Debug)]
pub(crate) enum ExchangeError {
    /// Nothing of the request was sent.
    NotSent(String),
    /// The request may have arrived.
    Sent(String),
}

impl ClientConnection {
    /// Opens a connection.
    pub(crate) async fn open(
        executor: &LocalExecutor<'static>,
        address: SocketAddr,
    ) -> io::Result<Self> {
        let socket = Async::<TcpStream>::connect(address).await?;
        socket.get_ref().set_nodelay(true)?;
        let (sender, connection) = Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(FuturesIo::new(socket))
            .await
            .map_err(io::Error::other)?;
        let driver = executor.spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("event=connection_ended peer={address} error=\"{error}\"");
            }
        });
        Ok(Self {
            sender,
            _driver: driver,
            address,
            reused: false,
        })
    }

    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        if let Err(error) = self.sender.ready().await {
            return Err(ExchangeError::NotSent(error.to_string()));
        }
        let exchange = self.sender.try_send_request(request);
        exchange.await.map_err(|mut failed| {
            let unsent = failed.take_message().is_some();
            let text = failed.into_error().to_string();
            if unsent {
                ExchangeError::NotSent(text)
            } else {
                ExchangeError::Sent(text)
            }
        })
    }

    fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: HashMap<SocketAddr, Vec<(Instant, ClientConnection)>>,
}

impl ConnectionPool {
    /// Takes the connection to `address` that was used last.
    pub(crate) fn take(&mut self, now: Instant, address: SocketAddr) -> Option<ClientConnection> {
        let idle = self.idle.get_mut(&address)?;
        while let Some((until, mut connection)) = idle.pop() {
            if until > now && connection.is_open() {
                connection.reused = true;
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer has been read whole.
    pub(crate) fn put(&mut self, now: Instant, connection: ClientConnection, idle: Duration) {
        if !connection.is_open() || idle.is_zero() {
            return;
        }
        let pooled = self.idle.entry(connection.address).or_default();
        if pooled.len() < IDLE_CONNECTIONS_MAX {
            pooled.push((now + idle, connection));
        }
    }

    /// Closes connections that have been idle for long.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.idle.retain(|_, pooled| {
            pooled.retain(|(until, connection)| *until > now && connection.is_open());
            !pooled.is_empty()
        });
    }
}

/// Makes one plain call at a time to one address, over a kept connection.
#[derive(Debug)]
pub(crate) struct PlainCaller {
    executor: Rc<LocalExecutor<'static>>,
    address: SocketAddr,
    connection: Option<ClientConnection>,
}

impl PlainCaller {
    pub(crate) fn new(executor: Rc<LocalExecutor<'static>>, address: SocketAddr) -> Self {
        Self {
            executor,
            address,
            connection: None,
        }
    }

    /// Makes `call`; the connection is kept only after a whole answer.
    pub(crate) async fn call(&mut self, call: PlainCall) -> io::Result<(http::StatusCode, Bytes)> {
        let mut connection = match self.connection.take().filter(ClientConnection::is_open) {
            Some(connection) => connection,
            None => ClientConnection::open(&self.executor, self.address).await?,
        };
        let request = Request::builder()
            .method(call.method)
            .uri(call.target)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(call.body))
            .map_err(io::Error::other)?;
        let response = connection
            .send(request)
            .await
            .map_err(|fault| match fault {
                ExchangeError::NotSent(text) | ExchangeError::Sent(text) => io::Error::other(text),
            })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), ANSWER_MAX_BYTES)
            .collect()
            .await
            .map_err(io::Error::other)?;
        self.connection = Some(connection);
        Ok((status, body.to_bytes()))
    }
}
