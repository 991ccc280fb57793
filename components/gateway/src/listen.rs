//! Accepts connections from callers, the platform and other nodes.

use std::{
    convert::Infallible,
    io,
    net::{TcpListener, TcpStream},
    pin::pin,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use futures_lite::future::{or, poll_fn};
use http::{Request, Response, StatusCode, header};
use hyper::{body::Incoming, server::conn::http1::Builder, service::service_fn};
use rustix::net::sockopt::set_tcp_user_timeout;
use smol::Async;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use types::ZoneId;

use crate::{
    answer::AnswerBody, evacuation::requests_in_evacuated_zones, forward::forward_request,
    peers::answer_peer, state::Gateway, stop::is_closing,
};

/// Smallest read buffer that hyper accepts.
const READ_BUFFER_MIN_BYTES: usize = 8 << 10;
/// Pause after a failed accept, while new connections wait in the system's backlog.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Time for which a connection stays open beyond the idle timeout that callers
/// know, so that a request sent just before that timeout still finds it open.
const IDLE_CLOSE_MARGIN: Duration = Duration::from_secs(2);
/// Time for which bytes may wait for a peer that acknowledges none or has no room for
/// them, before the connection is broken off and its request cancelled. Callers give a
/// stream up much earlier. No keep-alive probes are sent, so it affects none.
const SILENT_PEER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which an idle connection of another node is closed.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Purpose of a listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ListenRole {
    /// Requests of callers, forwarded to upstreams.
    Callers,
    /// Readiness checks of the platform.
    Readiness,
    /// Lookups of node addresses by callers.
    Directory,
    /// Calls of other nodes.
    Peers,
    /// Scrapes of the metrics.
    Metrics,
}

/// Accepts connections until the gateway stops. A listener for callers ends at the
/// first connection after [`is_closing`] holds, which it drops.
pub(crate) async fn listen(gateway: Rc<Gateway>, listener: Async<TcpListener>, role: ListenRole) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                if role == ListenRole::Callers && is_closing(&gateway) {
                    return;
                }
                if role == ListenRole::Peers {
                    let serving = serve_peer(Rc::clone(&gateway), socket);
                    gateway.executor.spawn(serving).detach();
                } else {
                    let serving = serve_connection(Rc::clone(&gateway), socket, role);
                    gateway.executor.spawn(serving).detach();
                }
            }
            Err(error) => {
                log::warn!("event=accept_failed role={role:?} error=\"{error}\"");
                gateway.clock.sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(gateway: Rc<Gateway>, socket: Async<TcpStream>, role: ListenRole) {
    set_options(&socket);
    let limits = gateway.routes.borrow().state().limits;
    let answering = Rc::clone(&gateway);
    let service = service_fn(move |request| {
        let gateway = Rc::clone(&answering);
        async move { Ok::<_, Infallible>(answer_request(gateway, request, role).await) }
    });
    let connection = Builder::new()
        .timer(SmolTimer::new())
        // hyper's header timeout also runs while a connection is idle, so it serves as
        // the idle timeout.
        .header_read_timeout(limits.idle_time + IDLE_CLOSE_MARGIN)
        .max_buf_size(limits.head_bytes.max(READ_BUFFER_MIN_BYTES))
        .auto_date_header(false)
        .serve_connection(FuturesIo::new(socket), service);
    let mut connection = pin!(connection);
    let _connection_guard = (role == ListenRole::Callers).then(|| ConnectionGuard::new(&gateway));
    let ended = or(
        async { Some(poll_fn(|context| connection.as_mut().poll(context)).await) },
        async {
            gateway.stop_notices.idle_close().await;
            None
        },
    )
    .await;
    let result = if let Some(result) = ended {
        result
    } else {
        connection.as_mut().graceful_shutdown();
        connection.await
    };
    if let Err(error) = result {
        log::debug!("event=caller_connection_ended role={role:?} error=\"{error}\"");
    }
}

/// Sets the limits of an accepted connection.
fn set_options(socket: &Async<TcpStream>) {
    let timeout = u32::try_from(SILENT_PEER_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    let limited = set_tcp_user_timeout(socket, timeout).map_err(io::Error::from);
    if let Err(error) = limited.and_then(|()| socket.get_ref().set_nodelay(true)) {
        log::debug!("event=option_failed error=\"{error}\"");
    }
}

/// Serves another node, whose connection may become one to an upstream.
async fn serve_peer(gateway: Rc<Gateway>, socket: Async<TcpStream>) {
    set_options(&socket);
    let service = service_fn(move |request| {
        let gateway = Rc::clone(&gateway);
        async move { Ok::<_, Infallible>(answer_peer(gateway, request).await) }
    });
    let connection = Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(PEER_IDLE_TIMEOUT)
        .max_buf_size(READ_BUFFER_MIN_BYTES)
        .auto_date_header(false)
        .serve_connection(FuturesIo::new(socket), service)
        .with_upgrades();
    if let Err(error) = connection.await {
        log::debug!("event=peer_connection_ended error=\"{error}\"");
    }
}

async fn answer_request(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
    role: ListenRole,
) -> Response<AnswerBody> {
    match role {
        ListenRole::Callers => forward_request(gateway, request).await,
        ListenRole::Readiness => answer_readiness(&gateway, &request),
        ListenRole::Directory => answer_addresses(&gateway, &request),
        ListenRole::Peers => answer_peer(gateway, request).await,
        ListenRole::Metrics => answer_metrics(&gateway),
    }
}

fn answer_readiness(gateway: &Gateway, request: &Request<Incoming>) -> Response<AnswerBody> {
    let status = if !gateway.dialect.is_readiness_request(request.uri()) {
        StatusCode::NOT_FOUND
    } else if gateway.ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    empty_response(status)
}

fn answer_addresses(gateway: &Gateway, request: &Request<Incoming>) -> Response<AnswerBody> {
    let Some(query) = gateway.dialect.decode_address_request(request.uri()) else {
        return empty_response(StatusCode::NOT_FOUND);
    };
    let homes = gateway
        .routes
        .borrow()
        .host_homes(query.host.as_deref().unwrap_or_default());
    let regions = &gateway.settings.regions;
    let may_receive = |zone: &ZoneId| regions.may_receive(&homes, query.region.as_deref(), zone);
    let own = gateway.ready().then_some(gateway.settings.callers);
    let addresses = gateway.fleet.borrow().roster().addresses(
        gateway.now(),
        own,
        &gateway.settings.zone,
        may_receive,
        &mut *gateway.rng.borrow_mut(),
    );
    if addresses.is_empty() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    let lifetime = gateway.settings.address_lifetime;
    let body = gateway.dialect.address_answer(&addresses, lifetime);
    let mut response = Response::new(AnswerBody::from(body));
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

fn answer_metrics(gateway: &Gateway) -> Response<AnswerBody> {
    let running = requests_in_evacuated_zones(gateway);
    let text = gateway.metrics.encode(&running);
    Response::new(AnswerBody::from(Bytes::from(text)))
}

fn empty_response(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::from(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Counts a connection from a caller until it is dropped.
struct ConnectionGuard {
    gateway: Rc<Gateway>,
}

impl ConnectionGuard {
    fn new(gateway: &Rc<Gateway>) -> Self {
        gateway
            .open_connections
            .set(gateway.open_connections.get() + 1);
        Self {
            gateway: Rc::clone(gateway),
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let open = self.gateway.open_connections.get();
        self.gateway.open_connections.set(open.saturating_sub(1));
    }
}
