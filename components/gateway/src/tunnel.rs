//! Connections to upstreams through another node, which passes the bytes on as they are.
//!
//! The node that is cut off asks a helper for an upstream by id, with an HTTP upgrade. Then
//! its bytes go to the upstream unchanged, and what the upstream sends comes back in frames:
//! a length of two bytes, big endian, and as many bytes. A frame of length 0 says that the
//! upstream has closed the connection; without it the connection broke.

use std::{
    fmt::{Display, Formatter},
    io,
    net::TcpStream,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::{Buf, Bytes};
use dispatch::HelperNode;
use futures_lite::{AsyncRead, AsyncWrite};
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::{body::Incoming, client::conn::http1::Builder};
use smol::Async;
use smol_hyper::rt::FuturesIo;

use crate::{
    client::{ClientConnection, READ_BUFFER_BYTES, connect_from},
    connect::{CONNECT_TIMEOUT, ConnectTarget},
    held::SlicedBody,
    state::Gateway,
};

/// Path under which a node opens connections for others.
pub(crate) const TUNNEL_PATH: &str = "/peers/tunnel";
/// Name of the protocol that the connection is upgraded to.
pub(crate) const TUNNEL_PROTOCOL: &str = "gentiantally-tunnel";
/// Header with the id of the upstream.
pub(crate) const TUNNEL_UPSTREAM: &str = "tunnel-upstream";
/// Header with the time in milliseconds after which the connection ends.
pub(crate) const TUNNEL_LIFETIME: &str = "tunnel-lifetime-ms";
/// Timeout of a connection attempt to a helper, which has answered lately.
const HELPER_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of a helper's answer: its own connection attempt, and the way.
const HELPER_ANSWER_TIMEOUT: Duration = CONNECT_TIMEOUT.saturating_add(Duration::from_millis(100));
/// Bytes of a frame's length.
const FRAME_HEAD_BYTES: usize = 2;

/// Why a helper opened no connection.
#[derive(Debug)]
pub(crate) enum TunnelError {
    /// The helper did not reach the upstream.
    Upstream(io::Error),
    /// The helper holds as many connections as it may, or stops.
    Busy,
    /// The helper doesn't help any more, by its answer.
    Refused(StatusCode),
    /// The helper did not answer.
    Broken(String),
}

impl Display for TunnelError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Upstream(error) => write!(formatter, "upstream not reached: {error}"),
            Self::Busy => write!(formatter, "no place for a further connection"),
            Self::Refused(status) => write!(formatter, "answer {status}"),
            Self::Broken(error) => write!(formatter, "{error}"),
        }
    }
}

/// Opens a connection to an upstream through `helper`. It ends after `lifetime` at the
/// latest.
pub(crate) async fn open_tunnel(
    gateway: &Gateway,
    helper: &HelperNode,
    target: &ConnectTarget,
    lifetime: Duration,
) -> Result<ClientConnection, TunnelError> {
    let broken = |error: &dyn Display| TunnelError::Broken(error.to_string());
    let connecting = connect_from(gateway.source(), helper.address);
    let connecting = gateway.clock.timeout(HELPER_CONNECT_TIMEOUT, connecting);
    let socket = connecting
        .await
        .ok_or_else(|| broken(&"connect: no answer in time"))?
        .map_err(|error| broken(&error))?;
    let answering = request_tunnel(gateway, socket, target, lifetime);
    let answering = gateway.clock.timeout(HELPER_ANSWER_TIMEOUT, answering);
    let response = answering
        .await
        .ok_or_else(|| broken(&"no answer in time"))?
        .map_err(|error| broken(&error))?;
    match response.status() {
        StatusCode::SWITCHING_PROTOCOLS => {}
        StatusCode::BAD_GATEWAY => {
            return Err(TunnelError::Upstream(
                io::ErrorKind::ConnectionRefused.into(),
            ));
        }
        StatusCode::GATEWAY_TIMEOUT => {
            return Err(TunnelError::Upstream(io::ErrorKind::TimedOut.into()));
        }
        StatusCode::TOO_MANY_REQUESTS => return Err(TunnelError::Busy),
        status => return Err(TunnelError::Refused(status)),
    }
    let upgraded = hyper::upgrade::on(response)
        .await
        .map_err(|error| broken(&error))?;
    let parts = upgraded
        .downcast::<FuturesIo<Async<TcpStream>>>()
        .map_err(|_| broken(&"the connection was upgraded to something else"))?;
    let stream = TunnelStream::new(parts.io.into_inner(), parts.read_buf);
    ClientConnection::over_tunnel(&gateway.executor, target.address, stream, &helper.node)
        .await
        .map_err(|error| broken(&error))
}

async fn request_tunnel(
    gateway: &Gateway,
    socket: Async<TcpStream>,
    target: &ConnectTarget,
    lifetime: Duration,
) -> io::Result<Response<Incoming>> {
    socket.get_ref().set_nodelay(true)?;
    let (mut sender, connection) = Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(FuturesIo::new(socket))
        .await
        .map_err(io::Error::other)?;
    let driving = async move {
        if let Err(error) = connection.with_upgrades().await {
            log::debug!("event=helper_connection_ended error=\"{error}\"");
        }
    };
    gateway.executor.spawn(driving).detach();
    let upstream = HeaderValue::from_bytes(target.upstream.as_bytes()).map_err(io::Error::other)?;
    let request = Request::get(TUNNEL_PATH)
        .header(header::HOST, target.address.to_string())
        .header(header::CONNECTION, "upgrade")
        .header(header::UPGRADE, TUNNEL_PROTOCOL)
        .header(TUNNEL_UPSTREAM, upstream)
        .header(TUNNEL_LIFETIME, lifetime.as_millis().to_string())
        .body(SlicedBody::from(Bytes::new()))
        .map_err(io::Error::other)?;
    sender.send_request(request).await.map_err(io::Error::other)
}

/// Connection to an upstream through another node.
#[derive(Debug)]
pub(crate) struct TunnelStream {
    socket: Async<TcpStream>,
    /// Bytes that arrived with the helper's answer.
    early: Bytes,
    frame: FrameState,
}

/// Position in the frames of a tunnel.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FrameState {
    /// Inside the length of a frame, of which this many bytes have been read.
    Head([u8; FRAME_HEAD_BYTES], usize),
    /// Inside a frame that has this many bytes left.
    Body(usize),
    /// After the last frame.
    Ended,
}

impl FrameState {
    fn start() -> Self {
        Self::Head([0; FRAME_HEAD_BYTES], 0)
    }

    /// State after one more byte of a length.
    fn with_head_byte(mut head: [u8; FRAME_HEAD_BYTES], known: usize, byte: u8) -> Self {
        head[known] = byte;
        if known + 1 < FRAME_HEAD_BYTES {
            return Self::Head(head, known + 1);
        }
        match usize::from(u16::from_be_bytes(head)) {
            0 => Self::Ended,
            length => Self::Body(length),
        }
    }
}

impl TunnelStream {
    fn new(socket: Async<TcpStream>, early: Bytes) -> Self {
        Self {
            socket,
            early,
            frame: FrameState::start(),
        }
    }

    /// Reads bytes of frames; the end of the connection is an error, as only a frame of
    /// length 0 ends it properly.
    fn poll_raw(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if !self.early.is_empty() {
            let length = buffer.len().min(self.early.len());
            self.early.copy_to_slice(&mut buffer[..length]);
            return Poll::Ready(Ok(length));
        }
        match ready!(Pin::new(&mut self.socket).poll_read(context, buffer)) {
            Ok(0) => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
            result => Poll::Ready(result),
        }
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let stream = self.get_mut();
        loop {
            match stream.frame {
                FrameState::Ended => return Poll::Ready(Ok(0)),
                FrameState::Body(left) => {
                    let limit = buffer.len().min(left);
                    let read = ready!(stream.poll_raw(context, &mut buffer[..limit]))?;
                    stream.frame = if read < left {
                        FrameState::Body(left - read)
                    } else {
                        FrameState::start()
                    };
                    return Poll::Ready(Ok(read));
                }
                FrameState::Head(head, known) => {
                    let mut byte = [0];
                    ready!(stream.poll_raw(context, &mut byte))?;
                    stream.frame = FrameState::with_head_byte(head, known, byte[0]);
                }
            }
        }
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().socket).poll_write(context, buffer)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().socket).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().socket).poll_close(context)
    }
}
