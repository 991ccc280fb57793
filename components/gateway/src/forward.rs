//! Takes a caller's request: which route, whose key, how long it may take.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use dispatch::{CrashFingerprint, ForwardRoute, RouteMatch};
use http::{Request, Response, header, request::Parts};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use types::{OrganisationId, ServiceName};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    CallHead,
    answer::{AnswerBody, OwnAnswer},
    attempt::run_attempts,
    state::Gateway,
};

/// When to come back to a node that knows no desired state yet: about the time
/// that the store's answer takes.
const UNINFORMED_RETRY: Duration = Duration::from_millis(300);
/// Time a caller waits who does not say how long.
const DEFAULT_PATIENCE: Duration = Duration::from_mins(1);

/// A request with everything that decides about it.
#[derive(Debug)]
pub(crate) struct ForwardJob {
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
    pub(crate) call: CallHead,
    pub(crate) route: Arc<ForwardRoute>,
    pub(crate) service: ServiceName,
    pub(crate) organisation: Option<OrganisationId>,
    pub(crate) rank: u8,
    pub(crate) fingerprint: CrashFingerprint,
    pub(crate) arrived: Instant,
    /// When the caller or the route's time limit gives the request up.
    pub(crate) deadline: Instant,
}

impl ForwardJob {
    /// Time until the request is given up.
    pub(crate) fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

/// Answers one request of a caller.
pub(crate) async fn forward(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let arrived = gateway.now();
    let (head, body) = request.into_parts();
    let call = gateway.dialect.read_call(&head);
    let attempt = call.attempt.clone();
    let job = match read_job(&gateway, arrived, head, body, call).await {
        Ok(job) => job,
        Err(refusal) => {
            log::info!("event=rejected request={attempt} answer={refusal:?}");
            gateway
                .metrics
                .note_answer("", refusal.status().as_u16(), true, Duration::ZERO);
            return refusal.into_response();
        }
    };
    let service = job.service.clone();
    let (response, own) = run_attempts(&gateway, job).await;
    let took = gateway.now().saturating_duration_since(arrived);
    let status = response.status().as_u16();
    log::info!(
        "event=answered request={attempt} service={service} status={status} own={own} age_ms={}",
        took.as_millis()
    );
    gateway.metrics.note_answer(&service, status, own, took);
    response
}

async fn read_job(
    gateway: &Gateway,
    arrived: Instant,
    head: Parts,
    body: Incoming,
    call: CallHead,
) -> Result<ForwardJob, OwnAnswer> {
    if !gateway.informed() {
        return Err(OwnAnswer::Refused(UNINFORMED_RETRY));
    }
    let patience = call.patience.unwrap_or(DEFAULT_PATIENCE);
    let body_limit = gateway.routes.borrow().state().limits.body_bytes;
    let collected = Limited::new(body, body_limit).collect();
    let body = match gateway.clock.timeout(patience, collected).await {
        Some(Ok(body)) => body.to_bytes(),
        Some(Err(error)) if error.is::<LengthLimitError>() => return Err(OwnAnswer::TooLarge),
        Some(Err(_)) => return Err(OwnAnswer::Unreadable),
        None => return Err(OwnAnswer::Refused(Duration::ZERO)),
    };
    // The state in force once the whole request is here decides about it.
    let routes = Rc::clone(&gateway.routes.borrow());
    let host = head
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| head.uri.host())
        .unwrap_or_default();
    let (route, organisation) = match routes.find(host, head.uri.path(), call.key.as_deref()) {
        RouteMatch::NoRoute => return Err(OwnAnswer::NoRoute),
        RouteMatch::NoKey => return Err(OwnAnswer::NoKey),
        RouteMatch::Found(route, organisation) => (route, organisation),
    };
    let service = route.pick_service(&call.attempt, &gateway.hasher);
    let service = service.unwrap_or_default().to_owned();
    let organisation_id = organisation.map(|one| one.id.clone());
    let fingerprint = fingerprint_of(&head, organisation_id.as_ref(), &body);
    Ok(ForwardJob {
        deadline: arrived + patience.min(route.time_limit),
        rank: organisation
            .and_then(|one| one.priority)
            .unwrap_or(route.priority),
        route: Arc::clone(route),
        service,
        organisation: organisation_id,
        fingerprint,
        head,
        body,
        call,
        arrived,
    })
}

fn fingerprint_of(
    head: &Parts,
    organisation: Option<&OrganisationId>,
    body: &Bytes,
) -> CrashFingerprint {
    let mut hash = Xxh3::new();
    hash.update(head.uri.path().as_bytes());
    hash.update(organisation.map_or(&[][..], |id| id.as_bytes()));
    hash.update(body);
    hash.digest()
}
