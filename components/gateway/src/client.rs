//! HTTP connections to upstreams, the store and other nodes.

use std::{
    collections::HashMap,
    io,
    net::{IpAddr, SocketAddr, TcpStream},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_lite::{AsyncRead, AsyncWrite};
use http::{Request, Response, header};
use http_body_util::{BodyExt, Limited};
use hyper::{
    body::Incoming,
    client::conn::http1::{Builder, SendRequest},
};
use rustix::{
    io::Errno,
    net::{AddressFamily, SocketFlags, SocketType, bind, connect, socket_with},
};
use smol::{Async, LocalExecutor, Task};
use smol_hyper::rt::FuturesIo;
use types::NodeId;

use crate::{PlainCall, held::SlicedBody, state::Gateway, tunnel::TunnelStream};

/// Read buffer of a connection: the smallest that hyper accepts.
pub(crate) const READ_BUFFER_BYTES: usize = 8 << 10;
/// Largest body of an answer to a plain call: what the store sends at most, with
/// room for its encoding.
const ANSWER_MAX_BYTES: usize = 2 << 20;
/// Idle connections kept per address.
const IDLE_CONNECTIONS_MAX: usize = 8;
/// Time after which an idle connection is closed. If its peer announces a keep-alive
/// time, a share of that applies where it is shorter.
pub(crate) const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Open connection; dropping it closes the socket at once.
#[derive(Debug)]
pub(crate) struct ClientConnection {
    sender: SendRequest<SlicedBody>,
    _driver: Task<()>,
    address: SocketAddr,
    /// Whether the connection was taken from the pool.
    pub(crate) reused: bool,
    /// Node that passes the bytes on; `None` for a connection of this node's own.
    pub(crate) helper: Option<NodeId>,
}

/// Why a request got no answer head, and whether it may have reached the peer.
#[derive(Debug)]
pub(crate) enum ExchangeError {
    /// No part of the request was sent.
    NotSent(String),
    /// The request may have arrived at the peer.
    Sent(String),
}

impl ClientConnection {
    /// Connects from `source` to `address` and spawns the task that drives the
    /// connection.
    pub(crate) async fn open(
        executor: &LocalExecutor<'static>,
        source: IpAddr,
        address: SocketAddr,
    ) -> io::Result<Self> {
        let socket = connect_from(source, address).await?;
        socket.get_ref().set_nodelay(true)?;
        Self::drive(executor, address, socket, None).await
    }

    /// Uses the tunnel through `helper` to the upstream at `address`.
    pub(crate) async fn over_tunnel(
        executor: &LocalExecutor<'static>,
        address: SocketAddr,
        stream: TunnelStream,
        helper: &NodeId,
    ) -> io::Result<Self> {
        Self::drive(executor, address, stream, Some(helper.clone())).await
    }

    async fn drive(
        executor: &LocalExecutor<'static>,
        address: SocketAddr,
        stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
        helper: Option<NodeId>,
    ) -> io::Result<Self> {
        let (sender, connection) = Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(FuturesIo::new(stream))
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
            helper,
        })
    }

    /// Sends a request and returns the head of its answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<SlicedBody>,
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

    /// Makes a plain call and returns the whole answer.
    pub(crate) async fn call(&mut self, call: PlainCall) -> io::Result<Response<Bytes>> {
        let request = Request::builder()
            .method(call.method)
            .uri(call.target)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(SlicedBody::from(call.body))
            .map_err(io::Error::other)?;
        let response = self.send(request).await.map_err(|error| match error {
            ExchangeError::NotSent(text) | ExchangeError::Sent(text) => io::Error::other(text),
        })?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, ANSWER_MAX_BYTES)
            .collect()
            .await
            .map_err(io::Error::other)?;
        Ok(Response::from_parts(head, body.to_bytes()))
    }

    fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }
}

/// Connects to `address` from `source`, so that peers, firewalls and limits see a host of
/// several addresses under the one by which it is known.
pub(crate) async fn connect_from(
    source: IpAddr,
    address: SocketAddr,
) -> io::Result<Async<TcpStream>> {
    let family = if address.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket = socket_with(family, SocketType::STREAM, flags, None)?;
    if source.is_ipv4() == address.is_ipv4() {
        bind(&socket, &SocketAddr::new(source, 0))?;
    }
    match connect(&socket, &address) {
        Ok(()) | Err(Errno::INPROGRESS) => {}
        Err(error) => return Err(error.into()),
    }
    let stream = Async::new_nonblocking(TcpStream::from(socket))?;
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        Some(error) => Err(error),
        None => Ok(stream),
    }
}

/// Idle connections by address, each with the time at which it expires.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: HashMap<SocketAddr, Vec<(Instant, ClientConnection)>>,
}

impl ConnectionPool {
    /// Takes the most recently used open connection to `address`.
    pub(crate) fn take(&mut self, now: Instant, address: SocketAddr) -> Option<ClientConnection> {
        let idle = self.idle.get_mut(&address)?;
        while let Some((expires_at, mut connection)) = idle.pop() {
            if expires_at > now && connection.is_open() {
                connection.reused = true;
                return Some(connection);
            }
        }
        None
    }

    /// Adds a connection whose answer has been read to the end. It expires after
    /// `idle_timeout`. One through another node is closed instead, so that it doesn't
    /// outlive the cut or the helper's stop.
    pub(crate) fn put(
        &mut self,
        now: Instant,
        connection: ClientConnection,
        idle_timeout: Duration,
    ) {
        if !connection.is_open() || idle_timeout.is_zero() || connection.helper.is_some() {
            return;
        }
        let pooled = self.idle.entry(connection.address).or_default();
        if pooled.len() < IDLE_CONNECTIONS_MAX {
            pooled.push((now + idle_timeout, connection));
        }
    }

    /// Closes the idle connections to `address`.
    pub(crate) fn remove(&mut self, address: SocketAddr) {
        self.idle.remove(&address);
    }

    /// Closes connections that have expired or that the peer has closed.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.idle.retain(|_, pooled| {
            pooled.retain(|(expires_at, connection)| *expires_at > now && connection.is_open());
            !pooled.is_empty()
        });
    }
}

/// Makes plain calls to one address, one at a time, over a connection that it
/// reuses.
#[derive(Debug)]
pub(crate) struct PlainCaller {
    executor: Rc<LocalExecutor<'static>>,
    /// Own address from which the connection is made.
    source: IpAddr,
    address: SocketAddr,
    connection: Option<ClientConnection>,
}

impl PlainCaller {
    pub(crate) fn new(gateway: &Gateway, address: SocketAddr) -> Self {
        Self {
            executor: Rc::clone(&gateway.executor),
            source: gateway.source(),
            address,
            connection: None,
        }
    }

    /// Makes `call` and returns the whole answer. The connection is reused only after a
    /// complete one.
    pub(crate) async fn call(&mut self, call: PlainCall) -> io::Result<Response<Bytes>> {
        let mut connection = match self.connection.take().filter(ClientConnection::is_open) {
            Some(connection) => connection,
            None => ClientConnection::open(&self.executor, self.source, self.address).await?,
        };
        let answer = connection.call(call).await?;
        self.connection = Some(connection);
        Ok(answer)
    }
}
