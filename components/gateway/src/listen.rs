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
use rustix::net::sockopt::{set_socket_recv_buffer_size, set_tcp_user_timeout};
use smol::Async;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use types::ZoneId;

use crate::{
    answer::AnswerBody,
    caller_metrics::{CallerLoad, TurnedAway},
    caller_socket::CallerSocket,
    callers::ConnectionPlace,
    evacuation::requests_in_evacuated_zones,
    forward::forward_request,
    peers::answer_peer,
    state::Gateway,
    stop::is_closing,
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
/// Bytes of a connection that may have arrived without being read; the system allows twice
/// that. It bounds what a peer makes the host hold while its request is answered, and lets a
/// body through at 1 MB/s over 60 ms.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// Time after which an idle connection of another node is closed.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Purpose of a listener.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
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
            Ok((socket, peer)) => {
                if role == ListenRole::Callers && is_closing(&gateway) {
                    return;
                }
                set_options(&socket);
                let table = gateway.connections(role);
                let Some(place) = table.admit(&gateway, socket, peer.ip()) else {
                    gateway.turn_away(TurnedAway::NoPlace, || {
                        format!(
                            "event=connection_refused listener={role:?} peer={}",
                            peer.ip()
                        )
                    });
                    continue;
                };
                let serving = serve_connection(Rc::clone(&gateway), place, role);
                gateway.executor.spawn(serving).detach();
            }
            Err(error) => {
                log::warn!("event=accept_failed role={role:?} error=\"{error}\"");
                gateway.clock.sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(gateway: Rc<Gateway>, place: ConnectionPlace, role: ListenRole) {
    let connection = Rc::clone(&place.connection);
    let serving = async {
        let place = Rc::new(place);
        if role == ListenRole::Peers {
            serve_peer(&gateway, place).await
        } else {
            serve_requests(&gateway, place, role).await
        }
    };
    let closing = async {
        connection.closed().await;
        Ok(())
    };
    if let Err(error) = or(closing, serving).await {
        log::debug!("event=connection_ended role={role:?} error=\"{error}\"");
    }
}

async fn serve_requests(
    gateway: &Rc<Gateway>,
    place: Rc<ConnectionPlace>,
    role: ListenRole,
) -> hyper::Result<()> {
    let socket = CallerSocket::new(gateway, &place.connection);
    let limits = gateway.routes.borrow().state().limits;
    let answering = Rc::clone(gateway);
    let service = service_fn(move |request| {
        let gateway = Rc::clone(&answering);
        let place = Rc::clone(&place);
        async move { Ok::<_, Infallible>(answer_request(gateway, place, request, role).await) }
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
    let ended = or(
        async { Some(poll_fn(|context| connection.as_mut().poll(context)).await) },
        async {
            gateway.stop_notices.idle_close().await;
            None
        },
    )
    .await;
    if let Some(result) = ended {
        return result;
    }
    connection.as_mut().graceful_shutdown();
    connection.await
}

/// Sets the limits of an accepted connection.
fn set_options(socket: &Async<TcpStream>) {
    let timeout = u32::try_from(SILENT_PEER_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    let limited = set_tcp_user_timeout(socket, timeout).map_err(io::Error::from);
    if let Err(error) = limited.and_then(|()| socket.get_ref().set_nodelay(true)) {
        log::debug!("event=option_failed error=\"{error}\"");
    }
}

/// Bounds what may arrive on connections to a listener without being read.
pub(crate) fn limit_receive_buffer(listener: &Async<TcpListener>) {
    if let Err(error) = set_socket_recv_buffer_size(listener, RECEIVE_BUFFER_BYTES) {
        log::debug!("event=option_failed error=\"{error}\"");
    }
}

/// Serves another node, whose connection may become one to an upstream.
async fn serve_peer(gateway: &Rc<Gateway>, place: Rc<ConnectionPlace>) -> hyper::Result<()> {
    let socket = place.connection.socket.clone();
    let answering = Rc::clone(gateway);
    let service = service_fn(move |request| {
        let gateway = Rc::clone(&answering);
        let place = Rc::clone(&place);
        let role = ListenRole::Peers;
        async move { Ok::<_, Infallible>(answer_request(gateway, place, request, role).await) }
    });
    Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(PEER_IDLE_TIMEOUT)
        .max_buf_size(READ_BUFFER_MIN_BYTES)
        .auto_date_header(false)
        .serve_connection(FuturesIo::new(socket), service)
        .with_upgrades()
        .await
}

async fn answer_request(
    gateway: Rc<Gateway>,
    place: Rc<ConnectionPlace>,
    request: Request<Incoming>,
    role: ListenRole,
) -> Response<AnswerBody> {
    let place = place.begin_request();
    let response = match role {
        ListenRole::Callers => return forward_request(gateway, place, request).await,
        ListenRole::Readiness => answer_readiness(&gateway, &request),
        ListenRole::Directory => answer_addresses(&gateway, &request),
        ListenRole::Metrics => answer_metrics(&gateway),
        ListenRole::Peers => answer_peer(gateway, request).await,
    };
    response.map(|body| body.with_place(place))
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
    let connections = gateway.connection_tables();
    let load = CallerLoad {
        held_bytes: gateway.limits.budget.held_bytes(),
        requests: gateway.callers.requests(),
        connections: connections
            .map(|table| (format!("{:?}", table.role()).to_lowercase(), table.len()))
            .collect(),
    };
    let text = gateway.metrics.encode(&running, &load);
    Response::new(AnswerBody::from(Bytes::from(text)))
}

fn empty_response(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::from(Bytes::new()));
    *response.status_mut() = status;
    response
}
