//! Reads a caller's request, finds its route, organisation and deadline, and
//! answers it.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use dispatch::{
    CrashFingerprint, ForwardRoute, HomeRegions, OrganisationEntry, RouteMatch, RouteTable,
};
use futures_lite::future::or;
use http::{Request, Response, header, request::Parts};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use rand::RngExt;
use types::{OrganisationId, ServiceName};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    RequestHead,
    answer::{AnswerBody, GatewayAnswer},
    attempt::run_attempts,
    caller_metrics::TurnedAway,
    callers::{CallerConnection, RequestPlace},
    held::{BodyFailure, HeldBody, read_request_body},
    state::Gateway,
};

/// Time after which a caller is told to retry if this node has no desired state, or one
/// too old to use: about the time that the store takes to answer.
const NO_STATE_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Longest time for which a request waits while the node starts: the bound of a start in a
/// fleet of 60 nodes, and of most in larger ones. A refused caller would come back to
/// another node that starts as well.
const START_HOLD_TIME: Duration = Duration::from_millis(500);
/// Pause between two looks whether the node has started.
const START_CHECK_PAUSE: Duration = Duration::from_millis(10);
/// Shortest time after which a caller is told to retry if there is no place or no memory for its
/// request: as long as a body that makes no progress keeps its memory. The longest is twice that,
/// so that callers don't come back together.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time for which the rest of a refused body is read and dropped, so that its caller can read
/// the answer before the connection ends, and keep the connection if it sends the rest.
const DISCARD_TIME: Duration = Duration::from_secs(1);
/// Timeout of a request whose caller sent none.
const DEFAULT_TIMEOUT: Duration = Duration::from_mins(1);

/// Caller's request with its route and all that decides how it is forwarded.
#[derive(Debug)]
pub(crate) struct ForwardJob {
    pub(crate) head: Parts,
    pub(crate) body: Rc<HeldBody>,
    /// Connection of the caller, on whose account memory is held.
    pub(crate) connection: Rc<CallerConnection>,
    pub(crate) request: RequestHead,
    pub(crate) route: Arc<ForwardRoute>,
    pub(crate) service: ServiceName,
    pub(crate) organisation: Option<OrganisationId>,
    pub(crate) priority: u8,
    /// Regions that the request may not leave.
    pub(crate) homes: HomeRegions,
    pub(crate) fingerprint: CrashFingerprint,
    pub(crate) arrived: Instant,
    /// When the caller's timeout or the route's time limit ends, whichever is first.
    pub(crate) deadline: Instant,
}

impl ForwardJob {
    /// Returns the time until the deadline.
    pub(crate) fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Names the request's fingerprint and the shared parts of its prompt, for log lines.
    pub(crate) fn prompt_label(&self) -> String {
        let parts = self.request.shared_parts.iter();
        let parts: Vec<String> = parts.map(|part| format!("{part:x}")).collect();
        format!("prompt={:016x} parts={}", self.fingerprint, parts.join(","))
    }
}

/// Forwards a caller's request and returns the answer.
pub(crate) async fn forward_request(
    gateway: Rc<Gateway>,
    mut place: RequestPlace,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let arrived = gateway.now();
    let (head, mut body) = request.into_parts();
    let request = gateway.dialect.decode_request(&head);
    let caller_attempt_id = request.caller_attempt_id.clone();
    // Reading on would ask such a caller for the body.
    let awaits_permission = head.headers.contains_key(header::EXPECT);
    let parsing = parse_request(&gateway, &mut place, arrived, head, &mut body, request);
    let job = match parsing.await {
        Ok(job) => job,
        Err(refusal) => {
            gateway.refusal_log.write(gateway.now(), || {
                format!("event=rejected request={caller_attempt_id} answer={refusal:?}")
            });
            gateway
                .metrics
                .record_answer("", refusal.status().as_u16(), true, Duration::ZERO);
            if !awaits_permission && !matches!(refusal, GatewayAnswer::GaveWay(_)) {
                discard_rest(&gateway, &place.connection, body);
            }
            place.record_answer();
            return refusal.into_response().map(|body| body.with_place(place));
        }
    };
    let service = job.service.clone();
    let running = run_attempts(&gateway, job);
    let stopping = async {
        let answer = gateway.stop_notices.final_answer().await;
        log::warn!("event=given_up request={caller_attempt_id} reason=stopped");
        (answer.into_response(), true)
    };
    let (response, own) = or(running, stopping).await;
    let elapsed = gateway.now().saturating_duration_since(arrived);
    let status = response.status().as_u16();
    log::info!(
        "event=answered request={caller_attempt_id} service={service} status={status} own={own} age_ms={}",
        elapsed.as_millis()
    );
    gateway
        .metrics
        .record_answer(&service, status, own, elapsed);
    response.map(|body| body.with_place(place))
}

/// Reads and drops the rest of a body whose request has been refused.
fn discard_rest(gateway: &Rc<Gateway>, connection: &Rc<CallerConnection>, mut body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    let mut left = gateway.body_limit();
    let clock = gateway.clock.clone();
    let discarding = async move {
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, bytes::Bytes::len);
            if length > left {
                return;
            }
            left -= length;
        }
    };
    let connection = Rc::clone(connection);
    connection.set_discarding(true);
    let discarding = async move {
        clock.timeout(DISCARD_TIME, discarding).await;
        connection.set_discarding(false);
    };
    gateway.executor.spawn(discarding).detach();
}

/// Reads the body and finds the route, organisation, service and deadline; the
/// error is the answer for a request that can't be forwarded. What the head shows is refused
/// before the body is read.
async fn parse_request(
    gateway: &Gateway,
    place: &mut RequestPlace,
    arrived: Instant,
    head: Parts,
    body: &mut Incoming,
    request: RequestHead,
) -> Result<ForwardJob, GatewayAnswer> {
    wait_for_start(gateway, arrived, request.timeout).await;
    if !gateway.has_valid_state() {
        return Err(GatewayAnswer::Refused(NO_STATE_RETRY_AFTER));
    }
    let timeout = request.timeout.unwrap_or(DEFAULT_TIMEOUT);
    let routes = Rc::clone(&gateway.routes.borrow());
    let (route, organisation) = find_route(&routes, &head, &request)?;
    let body_time = timeout.min(route.time_limit);
    place.set_organisation(organisation.map(|entry| entry.id.clone()));
    let body = receive_body(gateway, place, body, body_time).await?;
    // The route is looked up again after the body has arrived, so that the newest desired
    // state applies.
    let routes = Rc::clone(&gateway.routes.borrow());
    let (route, organisation) = find_route(&routes, &head, &request)?;
    let service = route.pick_service(&request.caller_attempt_id, &gateway.hasher);
    let service = service.unwrap_or_default().to_owned();
    let organisation_id = organisation.map(|entry| entry.id.clone());
    let fingerprint = request_fingerprint(&head, organisation_id.as_ref(), &body);
    Ok(ForwardJob {
        deadline: arrived + timeout.min(route.time_limit),
        priority: organisation
            .and_then(|entry| entry.priority)
            .unwrap_or(route.priority),
        homes: match organisation {
            Some(entry) => route.homes.intersect(&entry.homes),
            None => route.homes.clone(),
        },
        route: Arc::clone(route),
        service,
        organisation: organisation_id,
        fingerprint,
        head,
        body: Rc::new(body),
        connection: Rc::clone(&place.connection),
        request,
        arrived,
    })
}

/// Finds the route and the organisation of a request in a desired state.
fn find_route<'a>(
    routes: &'a RouteTable,
    head: &Parts,
    request: &RequestHead,
) -> Result<(&'a Arc<ForwardRoute>, Option<&'a OrganisationEntry>), GatewayAnswer> {
    let host = head
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| head.uri.host())
        .unwrap_or_default();
    match routes.find(host, head.uri.path(), request.key.as_deref()) {
        RouteMatch::NoRoute => Err(GatewayAnswer::NoRoute),
        RouteMatch::NoKey => Err(GatewayAnswer::NoKey),
        RouteMatch::Found(route, organisation) => Ok((route, organisation)),
    }
}

/// Takes a place for a request and reads its body within `time`.
async fn receive_body(
    gateway: &Gateway,
    place: &mut RequestPlace,
    body: &mut Incoming,
    time: Duration,
) -> Result<HeldBody, GatewayAnswer> {
    let limit = gateway.body_limit();
    if body.size_hint().lower() > limit as u64 {
        gateway
            .metrics
            .callers
            .record_turned_away(TurnedAway::TooLarge);
        return Err(GatewayAnswer::TooLarge);
    }
    if !place.claim(gateway) {
        gateway
            .metrics
            .callers
            .record_turned_away(TurnedAway::NoPlace);
        return Err(GatewayAnswer::Refused(no_room_retry_after(gateway)));
    }
    let received = read_request_body(gateway, &place.connection, body, limit, time).await;
    let (reason, answer) = match received {
        Ok(body) => {
            place.record_answer();
            return Ok(body);
        }
        Err(BodyFailure::Broken(error)) => {
            log::debug!("event=body_unreadable error=\"{error}\"");
            return Err(GatewayAnswer::Unreadable);
        }
        // Counted where the decision was made.
        Err(BodyFailure::GaveWay) => {
            return Err(GatewayAnswer::GaveWay(no_room_retry_after(gateway)));
        }
        Err(BodyFailure::TooLarge) => (TurnedAway::TooLarge, GatewayAnswer::TooLarge),
        Err(BodyFailure::Late) => (TurnedAway::LateBody, GatewayAnswer::LateBody),
        Err(BodyFailure::NoMemory) => (
            TurnedAway::NoMemory,
            GatewayAnswer::Refused(no_room_retry_after(gateway)),
        ),
    };
    gateway.metrics.callers.record_turned_away(reason);
    Err(answer)
}

fn no_room_retry_after(gateway: &Gateway) -> Duration {
    let factor = gateway.rng.borrow_mut().random_range(1.0..2.0);
    NO_ROOM_RETRY_AFTER.mul_f64(factor)
}

/// Waits while this node has just started and doesn't know yet what it needs to serve, for a
/// part of the request's time.
async fn wait_for_start(gateway: &Gateway, arrived: Instant, timeout: Option<Duration>) {
    let limit = timeout.map_or(START_HOLD_TIME, |timeout| START_HOLD_TIME.min(timeout / 4));
    while gateway.is_starting() && gateway.now().saturating_duration_since(arrived) < limit {
        gateway.clock.sleep(START_CHECK_PAUSE).await;
    }
}

/// Hashes path, organisation and body: the quarantine recognises a crash-causing
/// prompt by this value.
fn request_fingerprint(
    head: &Parts,
    organisation: Option<&OrganisationId>,
    body: &HeldBody,
) -> CrashFingerprint {
    let mut hash = Xxh3::new();
    hash.update(head.uri.path().as_bytes());
    hash.update(organisation.map_or(&[][..], |id| id.as_bytes()));
    for segment in body.segments() {
        hash.update(segment);
    }
    hash.digest()
}
