//! Sends a request to one upstream after another until one answers it or no
//! further attempt is allowed.

use std::{pin::pin, rc::Rc, time::Duration};

use dispatch::{CallKind, PlacementRefusal, ProbeOutcome};
use futures_lite::future::or;
use http::{Request, Response, StatusCode, header};
use hyper::body::Incoming;

use crate::{
    AnswerHead,
    answer::{AnswerBody, GatewayAnswer},
    client::{ClientConnection, ExchangeError},
    cold::record_answer,
    connect::ConnectError,
    crashes::record_sound_answer,
    forward::ForwardJob,
    held::{BodyFailure, HeldBody, SlicedBody, read_answer_body},
    leg::{UpstreamAttempt, is_framed, pool_connection, remove_hop_by_hop_headers},
    place::{PLACEMENT_RETRY_PAUSE, PlacedRequest, find_placement},
    race::{AttemptHistory, AttemptRace, EndedAttempt, RaceHandle, RaceStep},
    rates::record_rate,
    reach::{find_outcome, suspect_cut},
    relay::{StreamForwarder, stream_plain_answer},
    retries::{allows_retry, take_retry, take_retry_in_line},
    state::Gateway,
    stop::can_end,
};

/// Time before the deadline at which the gateway answers at the latest, so that
/// the answer still reaches the caller in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);
/// `Content-Length` above which a plain answer is streamed. A shorter answer, or
/// one without a length, is buffered up to the body limit, so that an incomplete
/// one can still be replaced by a retry.
const BUFFERED_LENGTH_MAX_BYTES: usize = 64 << 10;
/// Added to twice the latency goal to give the time after which an idempotent
/// plain request is retried at another upstream. It covers a queue of a few
/// requests at the upstream.
const PLAIN_TIMEOUT_MARGIN: Duration = Duration::from_millis(100);
/// Added to the latency goal and twice the prefill time to give the time after
/// which a prompt is retried at another upstream. It covers several forward passes.
/// The sum is shorter than the two seconds after which callers disconnect only if the
/// goal and twice the prefill time are together shorter than one second.
const PROMPT_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Shortest time after which a refused caller is told to retry.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(150);
/// Time after which a caller is told to retry while all upstreams of its service are in
/// evacuated zones, or outside its homes: an operator has to change that, which takes
/// seconds at least.
const BARRED_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Time after which the caller of a prompt that needs idle engines is told to
/// retry, as a share of the time until its deadline.
const IDLE_ENGINES_RETRY_SHARE: f64 = 0.33;
/// Shortest time without data after which another upstream continues a stream.
/// It is less than the two seconds after which callers disconnect. Four event gaps
/// (or latency goals, if the route sets no gap) apply if they are longer; they stay
/// below two seconds for less than 500 ms each.
const STREAM_READ_TIMEOUT_MIN: Duration = Duration::from_millis(1300);

/// Pause between two looks whether a retry is possible beside silent attempts.
const SILENT_LOOK_PAUSE: Duration = Duration::from_millis(250);

/// Outcome of one attempt.
pub(crate) enum SendOutcome {
    /// The upstream's answer for the caller.
    Answered(Response<AnswerBody>),
    /// Memory could not be reserved on an engine; another placement may succeed.
    NotReserved,
    /// The request was not sent to the upstream.
    NotSent,
    /// This node is cut off and no other node takes the request now; one may after this
    /// time.
    CutOff(Duration),
    /// The upstream stated that it did not run the request.
    NotRun,
    /// The upstream may have run the request, but no usable answer arrived.
    Lost,
    /// The upstream answered with a server error (5xx).
    Failed(http::response::Parts, Rc<HeldBody>),
}

/// Runs attempts until the request is answered. Returns the answer, and `true` if
/// the gateway produced it instead of an upstream.
pub(crate) async fn run_attempts(
    gateway: &Rc<Gateway>,
    job: ForwardJob,
) -> (Response<AnswerBody>, bool) {
    let now = gateway.now();
    gateway
        .retry_budget
        .borrow_mut()
        .record_request(now, &job.service);
    let job = Rc::new(job);
    let mut race = AttemptRace::default();
    let handle = race.handle().clone();
    let reason = loop {
        let (upstream, outcome) = match take_step(gateway, &job, &mut race).await {
            Ok(Some(ended)) => ended,
            Ok(None) => continue,
            Err(reason) => break reason,
        };
        let mut history = handle.history_mut();
        if !matches!(outcome, SendOutcome::NotReserved) {
            history.record_tried(upstream);
        }
        match outcome {
            SendOutcome::Answered(response) => return (response, false),
            SendOutcome::NotReserved | SendOutcome::NotSent | SendOutcome::NotRun => {}
            SendOutcome::CutOff(left) => {
                history.cut_off_left = Some(left);
                if race.is_empty() {
                    break "cut_off";
                }
            }
            SendOutcome::Lost => history.may_have_run = true,
            SendOutcome::Failed(parts, body) => {
                history.may_have_run = true;
                history.last_answer = Some((parts, body));
            }
        }
    };
    final_answer(gateway, &job, handle.take_history(), reason)
}

/// Waits for the attempts that are under way, or begins another one. Returns the attempt that
/// has ended, if any; the error says why none is under way and none is begun.
async fn take_step(
    gateway: &Rc<Gateway>,
    job: &Rc<ForwardJob>,
    race: &mut AttemptRace,
) -> Result<Option<EndedAttempt>, &'static str> {
    if race.awaits_newest() {
        return Ok(race.next_end_or_silence().await);
    }
    let handle = race.handle().clone();
    let reason = match race.next_end_or(begin_attempt(gateway, job, &handle)).await {
        RaceStep::Ended(ended) => return Ok(Some(ended)),
        RaceStep::Other(Ok(placed)) => {
            let upstream = placed.placement.upstream.clone();
            let sending = send_once(Rc::clone(gateway), Rc::clone(job), *placed, handle);
            race.add(upstream, sending);
            return Ok(None);
        }
        RaceStep::Other(Err(reason)) => reason,
    };
    if race.is_empty() {
        return Err(reason);
    }
    match race
        .next_end_or(wait_for_retry(gateway, job, &handle))
        .await
    {
        RaceStep::Ended(ended) => Ok(Some(ended)),
        RaceStep::Other(()) => Ok(None),
    }
}

/// Looks whether another attempt is allowed, and for its upstream. The error says why there is
/// none.
async fn begin_attempt(
    gateway: &Rc<Gateway>,
    job: &Rc<ForwardJob>,
    race: &RaceHandle,
) -> Result<Box<PlacedRequest>, &'static str> {
    if let Some(left) = quarantine_left(gateway, job) {
        race.history_mut().quarantine_left = Some(left);
        return Err("quarantined");
    }
    if !race.history().may_have_run && !can_end(gateway, job, Duration::ZERO) {
        return Err("stopping");
    }
    if !take_retry_if_needed(gateway, job, race).await {
        return Err("not_repeatable");
    }
    let tried = race.history().tried.clone();
    let placed = find_placement(gateway, job, &tried).await;
    let placed = placed.map_err(|refusal| match refusal {
        PlacementRefusal::NoUpstream => "no_upstream",
        PlacementRefusal::Paused(left) => {
            race.history_mut().pause_left = Some(left);
            "paused"
        }
        PlacementRefusal::OutsideHomes => "outside_homes",
        PlacementRefusal::Evacuated => "evacuated",
        PlacementRefusal::Full => "full",
        PlacementRefusal::NeedsIdleEngines => "needs_quiet",
        PlacementRefusal::TooLarge => "too_large",
    })?;
    if gateway.now() + ANSWER_MARGIN >= job.deadline {
        return Err("deadline");
    }
    let time_to_prefill = placed.placement.time_to_prefill;
    if !race.history().may_have_run && !can_end(gateway, job, time_to_prefill) {
        return Err("stopping");
    }
    Ok(placed)
}

/// Waits until another attempt may be possible beside those whose upstreams are silent.
async fn wait_for_retry(gateway: &Gateway, job: &ForwardJob, race: &RaceHandle) {
    loop {
        gateway.clock.sleep(SILENT_LOOK_PAUSE).await;
        let (sends, holds_retry) = {
            let history = race.history();
            (history.sends, history.holds_retry)
        };
        if holds_retry || can_retry(gateway, job, sends) {
            return;
        }
    }
}

/// Logs why no further attempt is made, and returns the answer: the last server
/// error of an upstream, or else one of the gateway's own.
fn final_answer(
    gateway: &Gateway,
    job: &ForwardJob,
    history: AttemptHistory,
    reason: &str,
) -> (Response<AnswerBody>, bool) {
    let now = gateway.now();
    log::info!(
        "event=given_up request={} service={} reason={reason} tokens={} tried={} sends={} \
         may_have_run={} age_ms={}",
        job.request.caller_attempt_id,
        job.service,
        job.request.size.map_or(0, |size| size.prompt),
        history.tried.join(","),
        history.sends,
        history.may_have_run,
        now.saturating_duration_since(job.arrived).as_millis(),
    );
    if let Some((parts, body)) = history.last_answer {
        return (Response::from_parts(parts, AnswerBody::from(body)), false);
    }
    let answer = if reason == "stopping" {
        GatewayAnswer::Stopping
    } else if !history.may_have_run {
        let left = job.time_left(now);
        GatewayAnswer::Refused(match reason {
            "quarantined" => history
                .quarantine_left
                .unwrap_or_default()
                .max(RETRY_AFTER_MIN),
            "cut_off" => history
                .cut_off_left
                .unwrap_or_default()
                .max(RETRY_AFTER_MIN),
            "paused" => history.pause_left.unwrap_or_default().max(RETRY_AFTER_MIN),
            "evacuated" | "outside_homes" => BARRED_RETRY_AFTER,
            "needs_quiet" => left.mul_f64(IDLE_ENGINES_RETRY_SHARE).max(RETRY_AFTER_MIN),
            _ => RETRY_AFTER_MIN,
        })
    } else if now + ANSWER_MARGIN >= job.deadline {
        GatewayAnswer::Overdue
    } else {
        GatewayAnswer::Unknown
    };
    (answer.into_response(), true)
}

/// Returns for how long the request is still refused because it, or a part of its prompt,
/// crashes upstreams.
pub(crate) fn quarantine_left(gateway: &Gateway, job: &ForwardJob) -> Option<Duration> {
    gateway
        .quarantine
        .borrow()
        .time_left(gateway.now(), job.fingerprint, &job.request.shared_parts)
}

/// Returns whether another attempt is allowed, and takes it from the retry budget. The first one
/// needs no retry, nor does one after an attempt that sent nothing. The route's kind and its
/// limit of upstreams apply only once the request may have run; the budget always applies. The
/// log reports all three as `not_repeatable`.
async fn take_retry_if_needed(gateway: &Rc<Gateway>, job: &ForwardJob, race: &RaceHandle) -> bool {
    let (sends, may_have_run, holds_retry) = {
        let history = race.history();
        (history.sends, history.may_have_run, history.holds_retry)
    };
    if sends == 0 {
        return true;
    }
    if may_have_run && !job.route.call_kind.is_repeatable() {
        return false;
    }
    if may_have_run && sends >= job.route.max_upstreams.max(1) {
        return false;
    }
    let is_taken = holds_retry
        || if may_have_run {
            take_retry(gateway, job)
        } else {
            take_retry_in_line(gateway, job).await
        };
    race.history_mut().holds_retry = is_taken;
    is_taken
}

/// Sends the request once, to the upstream where it is placed. Reports once if that is silent,
/// and goes on waiting for it until the deadline.
async fn send_once(
    gateway: Rc<Gateway>,
    job: Rc<ForwardJob>,
    placed: PlacedRequest,
    race: RaceHandle,
) -> SendOutcome {
    let (gateway, job) = (&gateway, &job);
    let PlacedRequest {
        placement,
        mut attempt,
    } = placed;
    if let Err(refused) = attempt
        .reserve(gateway, job, &placement.memory_shares)
        .await
    {
        log::info!(
            "event=not_reserved request={} upstream={refused}",
            job.request.caller_attempt_id
        );
        gateway.clock.sleep(PLACEMENT_RETRY_PAUSE).await;
        return SendOutcome::NotReserved;
    }
    if quarantine_left(gateway, job).is_some() || !attempt.take_send(gateway) {
        return SendOutcome::NotSent;
    }
    log::info!(
        "event=sent request={} upstream={} service={} tokens={} helpers={} part_ms={} read_ms={} \
         load_age=now age_ms={} {}",
        job.request.caller_attempt_id,
        attempt.upstream,
        job.service,
        job.request.size.map_or(0, |size| size.prompt),
        placement.other_prefill_engines().join(","),
        placement.shard_time.as_millis(),
        placement.time_to_prefill.as_millis(),
        gateway
            .now()
            .saturating_duration_since(job.arrived)
            .as_millis(),
        job.prompt_label(),
    );
    let is_first = race.history().sends == 0;
    let mut connection = match attempt.connect(gateway, job, is_first).await {
        Ok(connection) => connection,
        Err(error) => {
            attempt.record_unconnected(gateway, job, &error);
            return match error {
                ConnectError::Upstream(_) | ConnectError::Shortage(_) => SendOutcome::NotSent,
                ConnectError::NoHelper(retry_after) => SendOutcome::CutOff(retry_after),
            };
        }
    };
    if !attempt.may_send(gateway) {
        return SendOutcome::NotSent;
    }
    let sends = race.record_send();
    let request = match attempt.build_request(gateway, job, None) {
        Ok(request) => request,
        Err(error) => {
            log::error!(
                "event=unsendable request={} error=\"{error}\"",
                job.request.caller_attempt_id
            );
            return SendOutcome::NotSent;
        }
    };
    let limit = answer_timeout(gateway, job, placement.time_to_prefill, sends);
    let response = {
        let sending = send_watched(gateway, job, &attempt, &mut connection, request);
        let mut sending = pin!(sending);
        match gateway.clock.timeout(limit, sending.as_mut()).await {
            Some(response) => Some(response),
            None if may_wait_on(gateway, job, &attempt).await => {
                race.report_silence();
                let left = job.time_left(gateway.now());
                let left = left.saturating_sub(ANSWER_MARGIN);
                let response = gateway.clock.timeout(left, sending).await;
                log::info!(
                    "event=silence_over request={} upstream={} in_time={}",
                    job.request.caller_attempt_id,
                    attempt.upstream,
                    response.is_some(),
                );
                response
            }
            None => None,
        }
    };
    let response = match response {
        Some(Ok(response)) => response,
        Some(Err(ExchangeError::NotSent(error))) => {
            attempt.record_failure(gateway, job, &error);
            return SendOutcome::NotSent;
        }
        Some(Err(ExchangeError::Sent(error))) => {
            attempt.record_broken(gateway, job, &error);
            return SendOutcome::Lost;
        }
        None => return SendOutcome::Lost,
    };
    handle_answer(gateway, job, attempt, connection, response, race).await
}

/// Records that the upstream of an attempt has been silent for its limit, and returns whether it
/// may still answer in time. An attempt that holds memory on other engines is given up if its
/// upstream accepts no connection either: the next one needs that memory.
async fn may_wait_on(
    gateway: &Rc<Gateway>,
    job: &Rc<ForwardJob>,
    attempt: &UpstreamAttempt,
) -> bool {
    attempt.record_silence(gateway, job, "silent");
    let left = job.time_left(gateway.now());
    if left <= ANSWER_MARGIN {
        return false;
    }
    !attempt.holds_reservations()
        || find_outcome(gateway, &attempt.upstream).await == ProbeOutcome::Reached
}

/// Sends a request on a connection and returns the head of the answer. If that takes longer
/// than the latency goal on a reused connection, begins to find out whether this node is cut
/// off; a new connection has just shown that it isn't.
async fn send_watched(
    gateway: &Rc<Gateway>,
    job: &ForwardJob,
    attempt: &UpstreamAttempt,
    connection: &mut ClientConnection,
    request: Request<SlicedBody>,
) -> Result<Response<Incoming>, ExchangeError> {
    let is_reused = connection.reused;
    let watch = async {
        if is_reused {
            gateway.clock.sleep(job.route.latency_goal).await;
            suspect_cut(gateway, &job.service, Some(&attempt.upstream));
        }
        std::future::pending().await
    };
    or(connection.send(request), watch).await
}

/// Returns how long to wait for the head of the answer: until the deadline if
/// no retry is possible.
fn answer_timeout(
    gateway: &Gateway,
    job: &ForwardJob,
    prefill_time: Duration,
    sends: u32,
) -> Duration {
    let left = job.time_left(gateway.now());
    let left = left.saturating_sub(ANSWER_MARGIN);
    if !can_retry(gateway, job, sends) {
        return left;
    }
    let limit = if job.route.call_kind == CallKind::Idempotent {
        job.route.latency_goal * 2 + PLAIN_TIMEOUT_MARGIN
    } else {
        job.route.latency_goal + prefill_time * 2 + PROMPT_TIMEOUT_MARGIN
    };
    limit.min(left)
}

/// Checks the head of an upstream's answer and forwards the answer if it is valid.
async fn handle_answer(
    gateway: &Rc<Gateway>,
    job: &Rc<ForwardJob>,
    attempt: UpstreamAttempt,
    connection: ClientConnection,
    response: Response<Incoming>,
    race: RaceHandle,
) -> SendOutcome {
    let status = response.status();
    let head = gateway.dialect.decode_answer(status, response.headers());
    attempt.record_wish(gateway, head.wish);
    if head
        .caller_attempt_id
        .as_ref()
        .is_some_and(|id| *id != job.request.caller_attempt_id)
    {
        attempt.record_failure(
            gateway,
            job,
            "answer carries the attempt id of another request",
        );
        return SendOutcome::Lost;
    }
    record_rate(gateway, &attempt, &head);
    record_answer(gateway, &attempt, status, &head);
    if head.not_run {
        log::info!(
            "event=not_run request={} upstream={} status={} at_fault={}",
            job.request.caller_attempt_id,
            attempt.upstream,
            status.as_u16(),
            head.at_fault.as_deref().unwrap_or("-"),
        );
        attempt.record_not_run(gateway, head.at_fault.as_deref());
        return SendOutcome::NotRun;
    }
    if status.is_success() && (!head.signed || head.encoded) {
        attempt.record_failure(
            gateway,
            job,
            "answer lacks the signature header or has a content encoding",
        );
        return SendOutcome::Lost;
    }
    if status.is_success() && job.route.call_kind.is_stream() {
        let forwarder = StreamForwarder::new(gateway, job, attempt, connection, response);
        return forwarder.into_outcome(race).await;
    }
    handle_plain_answer(gateway, job, attempt, connection, response, &head).await
}

/// Buffers a plain answer or the error answer of a stream route, so that an
/// incomplete one never reaches the caller. An answer whose `Content-Length`
/// exceeds [`BUFFERED_LENGTH_MAX_BYTES`] is streamed.
async fn handle_plain_answer(
    gateway: &Rc<Gateway>,
    job: &Rc<ForwardJob>,
    attempt: UpstreamAttempt,
    connection: ClientConnection,
    response: Response<Incoming>,
    head: &AnswerHead,
) -> SendOutcome {
    let (mut parts, body) = response.into_parts();
    let is_framed = is_framed(&parts.headers, &body);
    remove_hop_by_hop_headers(&mut parts.headers);
    let content_length = parts.headers.get(header::CONTENT_LENGTH);
    let content_length: Option<usize> = content_length
        .and_then(|length| length.to_str().ok())
        .and_then(|length| length.parse().ok());
    if content_length.is_some_and(|length| length > BUFFERED_LENGTH_MAX_BYTES) {
        attempt.record_success(gateway);
        let body = stream_plain_answer(gateway, job, body, attempt, connection);
        return SendOutcome::Answered(Response::from_parts(parts, body));
    }
    let left = job.time_left(gateway.now());
    let left = left.saturating_sub(ANSWER_MARGIN);
    let limit = gateway.body_limit();
    let body = match read_answer_body(gateway, &job.connection, body, limit, left).await {
        Ok(body) => Rc::new(body),
        Err(BodyFailure::Broken(error)) => {
            attempt.record_broken(gateway, job, &format!("read answer: {error}"));
            return SendOutcome::Lost;
        }
        Err(BodyFailure::TooLarge) => {
            attempt.record_failure(gateway, job, "the answer exceeds the size limit");
            return SendOutcome::Lost;
        }
        // Not the upstream's fault.
        Err(BodyFailure::NoMemory | BodyFailure::GaveWay) => {
            log::warn!(
                "event=answer_not_held request={} upstream={}",
                job.request.caller_attempt_id,
                attempt.upstream
            );
            return SendOutcome::Lost;
        }
        Err(BodyFailure::Late) => {
            attempt.record_silence(gateway, job, "answer incomplete at the deadline");
            return SendOutcome::Lost;
        }
    };
    if !is_framed {
        if body.is_empty() && parts.status.is_success() {
            attempt.record_broken(
                gateway,
                job,
                "connection closed after the head of the answer",
            );
            return SendOutcome::Lost;
        }
        if attempt.has_crashed_at_end(gateway, job).await {
            return SendOutcome::Lost;
        }
    }
    pool_connection(gateway, connection, head.keep_alive);
    if parts.status.is_server_error() {
        if implies_not_run(parts.status) {
            return SendOutcome::Lost;
        }
        return SendOutcome::Failed(parts, body);
    }
    if implies_not_run(parts.status) {
        return SendOutcome::Lost;
    }
    attempt.record_success(gateway);
    if parts.status.is_success() && is_framed {
        record_sound_answer(gateway, job);
    }
    SendOutcome::Answered(Response::from_parts(parts, AnswerBody::from(body)))
}

/// Returns whether callers take a status to mean that the request did not run.
/// A buffered answer of an upstream with such a status counts as lost: it didn't
/// state that the request did not run, so the request may have run.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// Returns the time without data after which another upstream continues a
/// stream.
pub(crate) fn stream_read_timeout(job: &ForwardJob) -> Duration {
    let gap = job.route.event_gap.unwrap_or(job.route.latency_goal);
    (gap * 4).max(STREAM_READ_TIMEOUT_MIN)
}

/// Returns whether a request that may have run could be retried after `sends` counted
/// attempts (see [`AttemptHistory::sends`]). If not, the gateway waits until the
/// deadline for the upstream that doesn't answer.
pub(crate) fn can_retry(gateway: &Gateway, job: &ForwardJob, sends: u32) -> bool {
    job.route.call_kind.is_repeatable()
        && sends < job.route.max_upstreams
        && gateway.now() + ANSWER_MARGIN < job.deadline
        && allows_retry(gateway, &job.service)
}

/// Takes a retry from the budget to continue a stream at another upstream;
/// `false` if no retry is allowed. The retry counts even if no upstream is then found.
pub(crate) fn take_resume_retry(gateway: &Gateway, job: &ForwardJob, sends: u32) -> bool {
    can_retry(gateway, job, sends) && take_retry(gateway, job)
}
