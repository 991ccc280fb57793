//! Sends a request to one upstream after another until one has served it, or
//! none may be tried any more.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use dispatch::{CallKind, Placement, PlacementRefusal};
use http::{Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use types::UpstreamId;

use crate::{
    AnswerHead,
    answer::{AnswerBody, OwnAnswer},
    client::{ClientConnection, ExchangeFault},
    forward::ForwardJob,
    leg::{Leg, clean_headers, keep_connection},
    place::{PLACE_PAUSE, find_place},
    relay::{StreamRelay, relay_plain},
    state::Gateway,
};

/// Time before the deadline at which the final answer is given, so that it
/// arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);
/// Longest answer of a plain service that is read whole before it is passed
/// on, so that a broken one can still be replaced.
const WHOLE_ANSWER_MAX: usize = 64 << 10;
/// Silence after which a plain repeatable request is sent elsewhere, beside
/// twice its goal: a wait of some requests at the upstream.
const CALL_MARGIN: Duration = Duration::from_millis(100);
/// Silence after which a prompt is sent elsewhere, beside its goal: less than
/// the two seconds after which callers leave, and enough for some passes.
const PROMPT_MARGIN: Duration = Duration::from_secs(1);
/// When a refused caller should come back at the earliest.
const RETURN_MIN: Duration = Duration::from_millis(150);
/// When the caller of a prompt that needs idle engines should come back, as a
/// share of the time it has left.
const QUIET_RETURN: f64 = 0.33;
/// Shortest silence of a stream after which another upstream goes on: less
/// than the two seconds after which callers leave.
const STREAM_SILENCE_MIN: Duration = Duration::from_millis(1300);

/// What is known after the sends so far.
#[derive(Debug, Default)]
struct AttemptRecord {
    /// Upstreams that were tried.
    tried: Vec<UpstreamId>,
    /// Sends that reached an upstream or may have.
    sends: u32,
    /// Whether the request may have run.
    may_have_run: bool,
    /// Newest whole answer of an upstream that failed.
    answer: Option<(http::response::Parts, Bytes)>,
}

/// How one send ended.
pub(crate) enum SendOutcome {
    /// The caller gets this answer.
    Answered(Response<AnswerBody>),
    /// The memory for it was not free; another place may have it.
    NotPlaced,
    /// The request did not reach the upstream.
    Unsent,
    /// The upstream states that it did not run the request.
    NotRun,
    /// The request may have run, and no whole answer came.
    Lost,
    /// The upstream answered with a failure of its own.
    Failed(http::response::Parts, Bytes),
}

/// Answers the request; `true` when the gateway made the answer itself.
pub(crate) async fn run_attempts(
    gateway: &Rc<Gateway>,
    job: ForwardJob,
) -> (Response<AnswerBody>, bool) {
    let now = gateway.now();
    gateway
        .budget
        .borrow_mut()
        .record_request(now, &job.service);
    let job = Rc::new(job);
    let mut record = AttemptRecord::default();
    let reason = loop {
        if gateway
            .quarantine
            .borrow()
            .is_quarantined(gateway.now(), job.fingerprint)
        {
            break "quarantined";
        }
        if record.sends > 0 && !may_repeat(gateway, &job, &record) {
            break "not_repeatable";
        }
        let placed = match find_place(gateway, &job, &record.tried).await {
            Ok(placed) => placed,
            Err(PlacementRefusal::NoUpstream) => break "no_upstream",
            Err(PlacementRefusal::Full) => break "full",
            Err(PlacementRefusal::NeedsIdleEngines) => break "needs_quiet",
            Err(PlacementRefusal::TooLarge) => break "too_large",
        };
        if gateway.now() + ANSWER_MARGIN >= job.deadline {
            break "deadline";
        }
        let upstream = placed.upstream.clone();
        let sent = send_once(gateway, &job, placed, &mut record).await;
        if !matches!(sent, SendOutcome::NotPlaced) {
            record.tried.push(upstream);
        }
        match sent {
            SendOutcome::Answered(response) => return (response, false),
            SendOutcome::NotPlaced | SendOutcome::Unsent | SendOutcome::NotRun => {}
            SendOutcome::Lost => record.may_have_run = true,
            SendOutcome::Failed(parts, body) => {
                record.may_have_run = true;
                record.answer = Some((parts, body));
            }
        }
    };
    give_up(gateway, &job, record, reason)
}

fn give_up(
    gateway: &Gateway,
    job: &ForwardJob,
    record: AttemptRecord,
    reason: &str,
) -> (Response<AnswerBody>, bool) {
    let now = gateway.now();
    log::info!(
        "event=given_up request={} service={} reason={reason} tokens={} tried={} sends={} \
         may_have_run={} age_ms={}",
        job.call.attempt,
        job.service,
        job.call.size.map_or(0, |size| size.prompt),
        record.tried.join(","),
        record.sends,
        record.may_have_run,
        now.saturating_duration_since(job.arrived).as_millis(),
    );
    if let Some((parts, body)) = record.answer {
        return (Response::from_parts(parts, AnswerBody::from(body)), false);
    }
    let answer = if !record.may_have_run {
        let left = job.time_left(now);
        OwnAnswer::Refused(match reason {
            "needs_quiet" => left.mul_f64(QUIET_RETURN).max(RETURN_MIN),
            _ => RETURN_MIN,
        })
    } else if now + ANSWER_MARGIN >= job.deadline {
        OwnAnswer::Overdue
    } else {
        OwnAnswer::Unknown
    };
    (answer.into_response(), true)
}

/// Whether another send is allowed by kind, route and budget.
fn may_repeat(gateway: &Gateway, job: &ForwardJob, record: &AttemptRecord) -> bool {
    if record.may_have_run && !job.route.call_kind.is_repeatable() {
        return false;
    }
    if record.sends >= job.route.max_upstreams.max(1) && record.may_have_run {
        return false;
    }
    take_repeat(gateway, job)
}

/// Takes one repeat from the budget of all nodes.
pub(crate) fn take_repeat(gateway: &Gateway, job: &ForwardJob) -> bool {
    let now = gateway.now();
    let nodes = gateway.roster.borrow_mut().recent_fleet_size(now);
    let taken = gateway
        .budget
        .borrow_mut()
        .take_retry(now, &job.service, nodes);
    if taken {
        gateway.metrics.retries.inc();
    } else {
        log::warn!(
            "event=retry_denied request={} service={} nodes={nodes}",
            job.call.attempt,
            job.service
        );
    }
    taken
}

/// Sends the request to the upstream of `placed`.
async fn send_once(
    gateway: &Rc<Gateway>,
    job: &Rc<ForwardJob>,
    placed: Placement,
    record: &mut AttemptRecord,
) -> SendOutcome {
    let Some(mut leg) = Leg::start(gateway, job, &placed) else {
        return SendOutcome::Unsent;
    };
    if let Err(refused) = leg.reserve(gateway, job, &placed.memory_shares).await {
        log::info!(
            "event=not_reserved request={} upstream={refused}",
            job.call.attempt
        );
        gateway.clock.sleep(PLACE_PAUSE).await;
        return SendOutcome::NotPlaced;
    }
    log::info!(
        "event=sent request={} upstream={} service={} tokens={} helpers={} part_ms={} read_ms={} \
         load_age=now age_ms={}",
        job.call.attempt,
        leg.upstream,
        job.service,
        job.call.size.map_or(0, |size| size.prompt),
        placed.other_prefill_engines().join(","),
        placed.shard_time.as_millis(),
        placed.prefill_time.as_millis(),
        gateway
            .now()
            .saturating_duration_since(job.arrived)
            .as_millis(),
    );
    let mut connection = match leg.connect(gateway, job).await {
        Ok(connection) => connection,
        Err(error) => {
            leg.note_failure(gateway, job, &format!("connect: {error}"));
            return SendOutcome::Unsent;
        }
    };
    record.sends += 1;
    let request = match leg.request(gateway, job, None) {
        Ok(request) => request,
        Err(error) => {
            log::error!(
                "event=unsendable request={} error=\"{error}\"",
                job.call.attempt
            );
            return SendOutcome::Unsent;
        }
    };
    let limit = answer_time(gateway, job, placed.prefill_time, record);
    let response = match gateway.clock.timeout(limit, connection.send(request)).await {
        Some(Ok(response)) => response,
        Some(Err(ExchangeFault::Unsent(error))) => {
            leg.note_failure(gateway, job, &error);
            return SendOutcome::Unsent;
        }
        Some(Err(ExchangeFault::Sent(error))) => {
            leg.note_crash(gateway, job, &error);
            return SendOutcome::Lost;
        }
        None => {
            leg.note_failure(gateway, job, "silent");
            return SendOutcome::Lost;
        }
    };
    take_answer(gateway, job, leg, connection, response, record.sends).await
}

/// How long the head of the answer may take.
fn answer_time(
    gateway: &Gateway,
    job: &ForwardJob,
    read: Duration,
    record: &AttemptRecord,
) -> Duration {
    let left = job.time_left(gateway.now());
    let left = left.saturating_sub(ANSWER_MARGIN);
    if !could_repeat(gateway, job, record.sends) {
        return left;
    }
    let limit = if job.route.call_kind == CallKind::Idempotent {
        job.route.latency_goal * 2 + CALL_MARGIN
    } else {
        job.route.latency_goal + read * 2 + PROMPT_MARGIN
    };
    limit.min(left)
}

async fn take_answer(
    gateway: &Rc<Gateway>,
    job: &Rc<ForwardJob>,
    leg: Leg,
    connection: ClientConnection,
    response: Response<Incoming>,
    sends: u32,
) -> SendOutcome {
    let status = response.status();
    let head = gateway.dialect.read_answer(status, response.headers());
    if head
        .attempt
        .as_ref()
        .is_some_and(|one| *one != job.call.attempt)
    {
        leg.note_failure(gateway, job, "answer of another request");
        return SendOutcome::Lost;
    }
    if head.not_run {
        log::info!(
            "event=not_run request={} upstream={} status={} at_fault={}",
            job.call.attempt,
            leg.upstream,
            status.as_u16(),
            head.at_fault.as_deref().unwrap_or("-"),
        );
        leg.note_at_fault(gateway, head.at_fault.as_deref());
        return SendOutcome::NotRun;
    }
    if status.is_success() && (!head.signed || head.encoded) {
        leg.note_failure(gateway, job, "unsigned answer");
        return SendOutcome::Lost;
    }
    if status.is_success() && job.route.call_kind.is_stream() {
        let relay = StreamRelay::new(gateway, job, leg, connection, response, sends);
        return relay.into_outcome().await;
    }
    take_plain(gateway, job, leg, connection, response, &head).await
}

/// Reads a plain answer whole, so that a broken one is never passed on.
async fn take_plain(
    gateway: &Rc<Gateway>,
    job: &Rc<ForwardJob>,
    leg: Leg,
    connection: ClientConnection,
    response: Response<Incoming>,
    head: &AnswerHead,
) -> SendOutcome {
    let (mut parts, body) = response.into_parts();
    clean_headers(&mut parts.headers);
    let announced = parts.headers.get(header::CONTENT_LENGTH);
    let announced: Option<usize> = announced
        .and_then(|length| length.to_str().ok())
        .and_then(|length| length.parse().ok());
    if announced.is_some_and(|length| length > WHOLE_ANSWER_MAX) {
        leg.note_success(gateway);
        let deadline = job.deadline;
        let body = relay_plain(Rc::clone(gateway), body, leg, connection, deadline);
        return SendOutcome::Answered(Response::from_parts(parts, body));
    }
    let left = job.time_left(gateway.now());
    let left = left.saturating_sub(ANSWER_MARGIN);
    let whole = Limited::new(body, gateway.routes.borrow().state().limits.body_bytes).collect();
    let body = match gateway.clock.timeout(left, whole).await {
        Some(Ok(body)) => body.to_bytes(),
        Some(Err(error)) => {
            leg.note_failure(gateway, job, &format!("answer: {error}"));
            return SendOutcome::Lost;
        }
        None => {
            leg.note_failure(gateway, job, "answer too slow");
            return SendOutcome::Lost;
        }
    };
    keep_connection(gateway, connection, head.keep_alive);
    if parts.status.is_server_error() {
        if keeps_promise(parts.status) {
            return SendOutcome::Lost;
        }
        return SendOutcome::Failed(parts, body);
    }
    if keeps_promise(parts.status) {
        return SendOutcome::Lost;
    }
    leg.note_success(gateway);
    SendOutcome::Answered(Response::from_parts(parts, AnswerBody::from(body)))
}

/// Whether callers read a status as "has not run", which only an answer that
/// states it as well can mean.
fn keeps_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// Longest silence of a stream that is waited out.
pub(crate) fn stream_silence(job: &ForwardJob) -> Duration {
    let gap = job.route.event_gap.unwrap_or(job.route.latency_goal);
    (gap * 4).max(STREAM_SILENCE_MIN)
}

/// Whether a request that was sent `sends` times and may have run could be
/// sent again: else its upstream's silence is waited out.
pub(crate) fn could_repeat(gateway: &Gateway, job: &ForwardJob, sends: u32) -> bool {
    let now = gateway.now();
    let nodes = gateway.roster.borrow_mut().recent_fleet_size(now);
    job.route.call_kind.is_repeatable()
        && sends < job.route.max_upstreams
        && now + ANSWER_MARGIN < job.deadline
        && gateway
            .budget
            .borrow_mut()
            .allows_retry(now, &job.service, nodes)
}

/// Takes the right to go on with a stream elsewhere.
pub(crate) fn take_resume(gateway: &Gateway, job: &ForwardJob, sends: u32) -> bool {
    could_repeat(gateway, job, sends) && take_repeat(gateway, job)
}
