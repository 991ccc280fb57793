//! Holds connections to upstreams for nodes that are cut off from them.

use std::{cell::Cell, io, net::TcpStream, pin::pin, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future::or, io::split};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use hyper::{body::Incoming, upgrade::OnUpgrade};
use smol::Async;
use smol_hyper::rt::FuturesIo;
use types::UpstreamId;

use crate::{
    answer::AnswerBody,
    caller_socket::SharedSocket,
    client::connect_from,
    connect::{CONNECT_TIMEOUT, ConnectTarget},
    reach::suspect_cut,
    state::Gateway,
    tunnel::{TUNNEL_LIFETIME, TUNNEL_PROTOCOL, TUNNEL_UPSTREAM},
};

/// Most connections that a node holds for others. Each takes two descriptors and two
/// buffers; twice the requests that a node of the largest fleet has open itself.
const TUNNELS_MAX: u32 = 128;
/// Longest lifetime of a connection, whatever the other node asks for.
const TUNNEL_LIFETIME_MAX: Duration = Duration::from_hours(1);
/// Buffer for one direction of a connection.
const BUFFER_BYTES: usize = 8 << 10;
/// Bytes of a frame's length.
const FRAME_HEAD_BYTES: usize = 2;
/// Time that the other node gets to close a connection whose upstream has closed it, so
/// that it reads the last frame before the socket is gone.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Opens a connection to an upstream for another node. Such a connection always goes to the
/// upstream itself, never through a further node.
pub(crate) async fn accept_tunnel(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let Some((id, lifetime)) = decode_wish(request.headers()) else {
        return answer(StatusCode::BAD_REQUEST);
    };
    if gateway.stopping_since.get().is_some() || gateway.tunnels.get() >= TUNNELS_MAX {
        return answer(StatusCode::TOO_MANY_REQUESTS);
    }
    let target = {
        let upstreams = gateway.upstreams.borrow();
        upstreams
            .get(&id)
            .map(|health| ConnectTarget::from(&health.entry))
    };
    let Some(target) = target else {
        return answer(StatusCode::NOT_FOUND);
    };
    // The node that asks may not know yet.
    if gateway.upstreams.borrow().is_evacuated(&id) {
        log::info!("event=tunnel_denied upstream={id} reason=evacuated");
        return answer(StatusCode::FORBIDDEN);
    }
    if gateway.is_cut_off(&target.service) {
        return answer(StatusCode::SERVICE_UNAVAILABLE);
    }
    let guard = TunnelGuard::new(gateway);
    let connecting = connect_from(gateway.source(), target.address);
    let limit = CONNECT_TIMEOUT.min(lifetime);
    let connected = gateway.clock.timeout(limit, connecting).await;
    let connected = connected.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()));
    gateway.metrics.record_connect(&connected);
    let upstream = match connected {
        Ok(upstream) => upstream,
        Err(error) => {
            log::info!("event=tunnel_failed upstream={id} error=\"{error}\"");
            suspect_cut(gateway, &target.service, Some(&id));
            return answer(if error.kind() == io::ErrorKind::ConnectionRefused {
                StatusCode::BAD_GATEWAY
            } else {
                StatusCode::GATEWAY_TIMEOUT
            });
        }
    };
    let now = gateway.now();
    gateway.upstreams.borrow_mut().record_contact(now, &id);
    gateway.metrics.tunnels.inc();
    let upgrade = hyper::upgrade::on(request);
    let holding = hold_tunnel(Rc::clone(gateway), guard, id, upstream, upgrade, lifetime);
    gateway.executor.spawn(holding).detach();
    let mut response = answer(StatusCode::SWITCHING_PROTOCOLS);
    let headers = response.headers_mut();
    headers.insert(header::CONNECTION, HeaderValue::from_static("upgrade"));
    headers.insert(header::UPGRADE, HeaderValue::from_static(TUNNEL_PROTOCOL));
    response
}

fn decode_wish(headers: &HeaderMap) -> Option<(UpstreamId, Duration)> {
    let protocol = headers.get(header::UPGRADE)?;
    let id = std::str::from_utf8(headers.get(TUNNEL_UPSTREAM)?.as_bytes()).ok()?;
    let lifetime = headers.get(TUNNEL_LIFETIME)?.to_str().ok()?.parse().ok()?;
    let lifetime = Duration::from_millis(lifetime).min(TUNNEL_LIFETIME_MAX);
    (protocol == TUNNEL_PROTOCOL).then(|| (id.to_owned(), lifetime))
}

fn answer(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::from(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Passes bytes on until either side ends or the lifetime is over.
async fn hold_tunnel(
    gateway: Rc<Gateway>,
    _guard: TunnelGuard,
    id: UpstreamId,
    upstream: Async<TcpStream>,
    upgrade: OnUpgrade,
    lifetime: Duration,
) {
    let opened = gateway.now();
    let passed_bytes = Cell::new(0);
    // Outlives the log line, so that a connection that is seen to end has been logged.
    let mut passing = pin!(pass_on(&gateway, upstream, upgrade, &passed_bytes));
    let end = match gateway.clock.timeout(lifetime, passing.as_mut()).await {
        Some(Ok(())) => "closed".to_owned(),
        Some(Err(error)) => error.to_string(),
        None => "lifetime over".to_owned(),
    };
    log::info!(
        "event=tunnel_over upstream={id} bytes={} open_ms={} end=\"{end}\"",
        passed_bytes.get(),
        gateway.now().saturating_duration_since(opened).as_millis()
    );
}

async fn pass_on(
    gateway: &Gateway,
    upstream: Async<TcpStream>,
    upgrade: OnUpgrade,
    passed_bytes: &Cell<usize>,
) -> io::Result<()> {
    let upgraded = upgrade.await.map_err(io::Error::other)?;
    let parts = upgraded
        .downcast::<FuturesIo<SharedSocket>>()
        .map_err(|_| io::Error::other("not the connection of another node"))?;
    upstream.get_ref().set_nodelay(true)?;
    let (mut from_node, mut to_node) = split(parts.io.into_inner());
    let (mut from_upstream, mut to_upstream) = split(upstream);
    let requests = async {
        if to_upstream.write_all(&parts.read_buf).await.is_ok() {
            pass_requests(&mut from_node, &mut to_upstream).await?;
        }
        // The upstream takes no more bytes; how its answer ends tells the rest.
        std::future::pending().await
    };
    let answers = async {
        let passed = pass_answers(&mut from_upstream, &mut to_node, passed_bytes).await;
        passed.map(|()| true)
    };
    if or(answers, requests).await? {
        let mut rest = [0; 256];
        let draining = async { while matches!(from_node.read(&mut rest).await, Ok(1..)) {} };
        gateway.clock.timeout(CLOSE_TIMEOUT, draining).await;
    }
    Ok(())
}

/// Passes the node's bytes on. Returns an error once the node has closed its connection,
/// and `Ok` if the upstream takes no more.
async fn pass_requests(
    from_node: &mut (impl AsyncReadExt + Unpin),
    to_upstream: &mut (impl AsyncWriteExt + Unpin),
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = from_node.read(&mut buffer).await?;
        if length == 0 {
            return Err(io::Error::other("closed by the node"));
        }
        if to_upstream.write_all(&buffer[..length]).await.is_err() {
            return Ok(());
        }
    }
}

/// Passes the upstream's bytes on in frames, and a last frame once it has closed its
/// connection.
async fn pass_answers(
    from_upstream: &mut (impl AsyncReadExt + Unpin),
    to_node: &mut (impl AsyncWriteExt + Unpin),
    passed_bytes: &Cell<usize>,
) -> io::Result<()> {
    let mut buffer = vec![0; FRAME_HEAD_BYTES + BUFFER_BYTES];
    loop {
        let length = from_upstream.read(&mut buffer[FRAME_HEAD_BYTES..]).await?;
        let head = u16::try_from(length).unwrap_or(u16::MAX).to_be_bytes();
        buffer[..FRAME_HEAD_BYTES].copy_from_slice(&head);
        to_node
            .write_all(&buffer[..FRAME_HEAD_BYTES + length])
            .await?;
        passed_bytes.set(passed_bytes.get() + length);
        if length == 0 {
            return to_node.close().await;
        }
    }
}

/// Counts a connection for another node until it is dropped; a node that stops waits for it.
struct TunnelGuard {
    gateway: Rc<Gateway>,
}

impl TunnelGuard {
    fn new(gateway: &Rc<Gateway>) -> Self {
        gateway.tunnels.set(gateway.tunnels.get() + 1);
        Self {
            gateway: Rc::clone(gateway),
        }
    }
}

impl Drop for TunnelGuard {
    fn drop(&mut self) {
        let tunnels = &self.gateway.tunnels;
        tunnels.set(tunnels.get().saturating_sub(1));
    }
}
