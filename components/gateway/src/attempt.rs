//! Sends a request to one upstream after another until one has served it, or
//! none may be tried any more.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use dispatch::{
    CallKind, FlightPart, FlightPlan, PlacePatience, Placement, PlacementRefusal, PromptAsk,
    PromptGoals, PromptSize, ReadNotice, place_call, place_prompt,
};
use http::{HeaderMap, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use types::{TokenCount, UpstreamId};

use crate::{
    AnswerHead, ForwardHead,
    answer::{AnswerBody, OwnAnswer},
    client::{ClientConnection, ExchangeFault, IDLE_TIME},
    forward::ForwardJob,
    peers::PeerNews,
    relay::{StreamRelay, relay_plain},
    state::{FlightGuard, Gateway},
    tickets::TicketSet,
};

/// Time for a connection to an upstream to open.
const CONNECT_TIME: Duration = Duration::from_millis(400);
/// Time before the deadline at which the final answer is given, so that it
/// arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);
/// Time to the first event beside the reading: two passes of a busy engine.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(150);
/// Longest answer of a plain service that is read whole before it is passed
/// on, so that a broken one can still be replaced.
const WHOLE_ANSWER_MAX: usize = 64 << 10;
/// Silence after which a plain repeatable request is sent elsewhere, beside
/// twice its goal: a wait of some requests at the upstream.
const CALL_MARGIN: Duration = Duration::from_millis(100);
/// Silence after which a prompt is sent elsewhere, beside its goal: less than
/// the two seconds after which callers leave, and enough for some passes.
const PROMPT_MARGIN: Duration = Duration::from_secs(1);
/// Bounds of when a refused caller should come back.
const RETURN_MIN: Duration = Duration::from_millis(150);
/// Share of an upstream's idle limit for which its connections are kept, so
/// that none is used while it is being closed.
const KEEP_ALIVE_SHARE: f64 = 0.6;
/// Pause between two looks for a place that harms nobody.
const PLACE_PAUSE: Duration = Duration::from_millis(25);
/// Share of the latency goal for which a prompt may wait for a better place:
/// late answers still count for their callers.
const PLACE_SHARE: f64 = 1.5;
/// The same as a share of the time that the caller gives.
const PLACE_DEADLINE_SHARE: f64 = 0.4;
/// Share of the goal for which a prompt that needs idle engines waits before
/// its caller is told to come back: longer waits seldom find them.
const QUIET_SHARE: f64 = 0.125;
/// When such a caller should come back, as a share of the time it has left.
const QUIET_RETURN: f64 = 0.33;
/// Time within the silence of a stream after which another upstream goes on:
/// callers leave after two seconds.
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

/// Whether the gateway itself made the answer stands beside it.
pub(crate) async fn run_attempts(
    gateway: &Rc<Gateway>,
    job: ForwardJob,
) -> (Response<AnswerBody>, bool) {
    let now = gateway.now();
    gateway.budget.borrow_mut().note_request(now, &job.service);
    let job = Rc::new(job);
    let mut record = AttemptRecord::default();
    let reason = loop {
        if gateway
            .quarantine
            .borrow()
            .holds(gateway.now(), job.fingerprint)
        {
            break "quarantined";
        }
        if record.sends > 0 && !may_repeat(gateway, &job, &record) {
            break "not_repeatable";
        }
        let placed = match find_place(gateway, &job, &record).await {
            Ok(placed) => placed,
            Err(PlacementRefusal::NoUpstream) => break "no_upstream",
            Err(PlacementRefusal::Full) => break "full",
            Err(PlacementRefusal::NeedsQuiet) => break "needs_quiet",
            Err(PlacementRefusal::TooLarge) => break "too_large",
        };
        if gateway.now() + ANSWER_MARGIN >= job.deadline {
            break "deadline";
        }
        let upstream = placed.first.clone();
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
        "event=given_up request={} service={} reason={reason} tried={} sends={} may_have_run={} \
         age_ms={}",
        job.call.attempt,
        job.service,
        record.tried.join(","),
        record.sends,
        record.may_have_run,
        now.saturating_duration_since(job.arrived).as_millis(),
    );
    if let Some((parts, body)) = record.answer {
        return (Response::from_parts(parts, AnswerBody::from(body)), false);
    }
    let answer = if !record.may_have_run {
        let left = job.deadline.saturating_duration_since(now);
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
    if record.may_have_run && !job.route.kind.repeatable() {
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
    let nodes = gateway.roster.borrow_mut().size(now);
    let taken = gateway
        .budget
        .borrow_mut()
        .take_repeat(now, &job.service, nodes);
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

/// Waits for a place that harms nobody while the request's goal allows it.
async fn find_place(
    gateway: &Rc<Gateway>,
    job: &ForwardJob,
    record: &AttemptRecord,
) -> Result<Placement, PlacementRefusal> {
    let whole = job.deadline.saturating_duration_since(job.arrived);
    let patience = job.route.latency_goal.mul_f64(PLACE_SHARE);
    let patience = patience.min(whole.mul_f64(PLACE_DEADLINE_SHARE));
    let quiet_patience = job.route.latency_goal.mul_f64(QUIET_SHARE);
    loop {
        let waited = gateway.now().saturating_duration_since(job.arrived);
        let late = waited >= patience;
        let patience = if late {
            PlacePatience::Over
        } else {
            PlacePatience::Waits
        };
        match place(gateway, job, &record.tried, patience) {
            Ok(placed) if placed.harmless || late => return Ok(placed),
            Err(PlacementRefusal::NeedsQuiet) if waited >= quiet_patience => {
                return Err(PlacementRefusal::NeedsQuiet);
            }
            Ok(_) | Err(PlacementRefusal::Full | PlacementRefusal::NeedsQuiet) if !late => {
                gateway.clock.sleep(PLACE_PAUSE).await;
            }
            other => return other,
        }
    }
}

fn place(
    gateway: &Gateway,
    job: &ForwardJob,
    tried: &[UpstreamId],
    patience: PlacePatience,
) -> Result<Placement, PlacementRefusal> {
    let now = gateway.now();
    let routes = gateway.routes.borrow();
    let spec = routes.state().services.get(&job.service);
    let upstreams = gateway.upstreams.borrow();
    let usable = upstreams.usable(now, &job.service, tried);
    let loads = gateway.loads.borrow();
    let mut rng = gateway.rng.borrow_mut();
    match (spec.and_then(|spec| spec.engine.as_ref()), job.call.size) {
        (Some(engine), Some(size)) => {
            let ask = PromptAsk {
                size,
                goals: goals_of(gateway, job),
                patience,
            };
            place_prompt(now, engine, &ask, &usable, &loads, &mut *rng)
        }
        _ => place_call(now, &usable, &loads, &mut *rng).map(Placement::alone),
    }
}

/// What callers of the request's route, and of others of its service, expect.
fn goals_of(gateway: &Gateway, job: &ForwardJob) -> PromptGoals {
    let gap = job.route.event_gap.unwrap_or(job.route.latency_goal);
    let mut goals = PromptGoals {
        first_event: job.route.latency_goal,
        gap,
        tightest_gap: gap,
        longest_first: job.route.latency_goal,
    };
    let routes = gateway.routes.borrow();
    for route in &routes.state().routes {
        let serves = route.split.iter().any(|one| one.service == job.service);
        if let (true, Some(gap)) = (serves, route.event_gap) {
            goals.tightest_gap = goals.tightest_gap.min(gap);
            goals.longest_first = goals.longest_first.max(route.latency_goal);
        }
    }
    goals
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
    if let Err(refused) = leg.reserve(gateway, job, &placed.shares).await {
        log::info!(
            "event=not_reserved request={} upstream={refused}",
            job.call.attempt
        );
        gateway.clock.sleep(PLACE_PAUSE).await;
        return SendOutcome::NotPlaced;
    }
    log::info!(
        "event=sent request={} upstream={} service={} helpers={} read_ms={} load_age=now age_ms={}",
        job.call.attempt,
        leg.upstream,
        job.service,
        leg.helpers.len(),
        placed.read.as_millis(),
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
    let limit = answer_time(gateway, job, placed.read, record);
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
    let left = job.deadline.saturating_duration_since(gateway.now());
    let left = left.saturating_sub(ANSWER_MARGIN);
    if !could_repeat(gateway, job, record.sends) {
        return left;
    }
    let limit = if job.route.kind == CallKind::Idempotent {
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
    if status.is_success() && job.route.kind.streams() {
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
    let left = job.deadline.saturating_duration_since(gateway.now());
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

/// Removes headers that concern one connection only.
pub(crate) fn clean_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        if name != "close" && name != "keep-alive" {
            headers.remove(name);
        }
    }
    for name in [
        header::CONNECTION.as_str(),
        "keep-alive",
        "proxy-connection",
        header::TE.as_str(),
        header::TRAILER.as_str(),
        header::TRANSFER_ENCODING.as_str(),
        header::UPGRADE.as_str(),
        header::EXPECT.as_str(),
    ] {
        headers.remove(name);
    }
}

/// One request at one upstream.
pub(crate) struct Leg {
    pub(crate) upstream: UpstreamId,
    pub(crate) address: SocketAddr,
    helpers: Vec<(SocketAddr, Option<String>)>,
    /// Given back when the request has ended.
    tickets: Option<TicketSet>,
    sent_at: Instant,
    /// Time to read the prompt, as far as known when it was sent.
    read: Duration,
    _flight: FlightGuard,
}

impl Leg {
    /// Notes the work; `None` when the upstream has gone meanwhile.
    pub(crate) fn start(
        gateway: &Rc<Gateway>,
        job: &ForwardJob,
        placed: &Placement,
    ) -> Option<Self> {
        let upstreams = gateway.upstreams.borrow();
        let address = upstreams.get(&placed.first)?.entry.address;
        let helpers = placed
            .helpers
            .iter()
            .filter_map(|id| Some((upstreams.get(id)?.entry.address, None)))
            .collect();
        let held: TokenCount = placed.shares.iter().map(|(_, tokens)| tokens).sum();
        let memory = job.call.size.map_or(0, PromptSize::memory);
        let memory = memory.saturating_sub(held);
        let mut parts = vec![FlightPart {
            engine: placed.first.clone(),
            memory,
        }];
        parts.extend(placed.shares.iter().map(|(engine, tokens)| FlightPart {
            engine: engine.clone(),
            memory: *tokens,
        }));
        let plan = FlightPlan {
            parts,
            tight: goals_of(gateway, job).tight(),
        };
        let flight = gateway.loads.borrow_mut().start(plan);
        if !placed.part.is_zero() {
            note_reading(gateway, placed, memory);
        }
        Some(Self {
            upstream: placed.first.clone(),
            address,
            helpers,
            tickets: None,
            sent_at: gateway.now(),
            read: placed.read,
            _flight: FlightGuard::new(gateway, flight),
        })
    }

    /// Sets memory aside on the engines of `shares`, all or nothing.
    pub(crate) async fn reserve(
        &mut self,
        gateway: &Rc<Gateway>,
        job: &ForwardJob,
        shares: &[(UpstreamId, TokenCount)],
    ) -> Result<(), UpstreamId> {
        if shares.is_empty() {
            return Ok(());
        }
        let tickets = TicketSet::reserve(gateway, &job.call.attempt, shares).await?;
        let mut holders = tickets.holders();
        holders.append(&mut self.helpers);
        self.helpers = holders;
        self.tickets = Some(tickets);
        Ok(())
    }

    /// Takes a kept connection where the request may be repeated, else opens
    /// one: what is sent on a kept one may meet its end.
    pub(crate) async fn connect(
        &self,
        gateway: &Gateway,
        job: &ForwardJob,
    ) -> std::io::Result<ClientConnection> {
        if job.route.kind == CallKind::Idempotent {
            let kept = gateway.pool.borrow_mut().take(gateway.now(), self.address);
            if let Some(kept) = kept {
                return Ok(kept);
            }
        }
        let left = job.deadline.saturating_duration_since(gateway.now());
        let opening = ClientConnection::open(&gateway.executor, self.address);
        gateway
            .clock
            .timeout(CONNECT_TIME.min(left), opening)
            .await
            .unwrap_or_else(|| Err(std::io::ErrorKind::TimedOut.into()))
    }

    /// The request as this upstream gets it.
    pub(crate) fn request(
        &self,
        gateway: &Gateway,
        job: &ForwardJob,
        resume_after: Option<&str>,
    ) -> http::Result<Request<Full<Bytes>>> {
        let target = job
            .head
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str());
        let mut request = Request::builder()
            .method(job.head.method.clone())
            .uri(target.parse::<Uri>()?)
            .body(Full::new(job.body.clone()))?;
        let headers = request.headers_mut();
        headers.clone_from(&job.head.headers);
        clean_headers(headers);
        headers.remove(header::CONTENT_LENGTH);
        let left = job.deadline.saturating_duration_since(gateway.now());
        let forward = ForwardHead {
            time_left: left,
            upstream: &self.upstream,
            organisation: job.organisation.as_ref(),
            rank: Some(job.rank),
            resume_after,
            helpers: &self.helpers,
        };
        gateway.dialect.write_forward(headers, &forward);
        Ok(request)
    }

    pub(crate) fn note_success(&self, gateway: &Gateway) {
        let now = gateway.now();
        gateway
            .upstreams
            .borrow_mut()
            .note_success(now, &self.upstream);
        gateway.loads.borrow_mut().note_answering(&self.upstream);
        gateway.quarantine.borrow_mut().absolve(now, &self.upstream);
    }

    /// Notes how the time to the first event compares with what was expected.
    /// Where others read parts, the delay may be theirs.
    pub(crate) fn note_first_event(&self, gateway: &Gateway) {
        self.note_success(gateway);
        if !self.helpers.is_empty() {
            return;
        }
        let now = gateway.now();
        let took = now.saturating_duration_since(self.sent_at);
        let expected = self.read + FIRST_EVENT_TIME;
        let ratio = took.as_secs_f64() / expected.as_secs_f64();
        let mut upstreams = gateway.upstreams.borrow_mut();
        upstreams.note_pace(now, &self.upstream, ratio);
    }

    /// Leaves out the upstream that an answer names, or else the one asked.
    fn note_at_fault(&self, gateway: &Gateway, at_fault: Option<&str>) {
        let address = at_fault.and_then(|text| text.parse().ok());
        let mut upstreams = gateway.upstreams.borrow_mut();
        let named = address.and_then(|address| upstreams.at(address));
        let id = named.map_or_else(|| self.upstream.clone(), |view| view.entry.id.clone());
        upstreams.note_failure(gateway.now(), &id);
    }

    /// A full upstream is left out for a moment.
    pub(crate) fn note_shed(&self, gateway: &Gateway) {
        let now = gateway.now();
        gateway
            .upstreams
            .borrow_mut()
            .note_failure(now, &self.upstream);
    }

    pub(crate) fn note_failure(&self, gateway: &Gateway, job: &ForwardJob, reason: &str) {
        log::warn!(
            "event=upstream_failed request={} upstream={} reason=\"{reason}\" age_ms={}",
            job.call.attempt,
            self.upstream,
            gateway
                .now()
                .saturating_duration_since(job.arrived)
                .as_millis(),
        );
        self.note_shed(gateway);
    }

    /// The upstream broke off while it may have run the request.
    pub(crate) fn note_crash(&self, gateway: &Gateway, job: &ForwardJob, reason: &str) {
        self.note_failure(gateway, job, reason);
        let now = gateway.now();
        let news = gateway
            .quarantine
            .borrow_mut()
            .note_crash(now, job.fingerprint, &self.upstream);
        if news {
            gateway.tell(PeerNews::Crash(job.fingerprint, self.upstream.clone()));
        }
    }
}

/// Keeps a connection for later requests.
fn keep_connection(gateway: &Gateway, connection: ClientConnection, keep_alive: Option<Duration>) {
    let idle = keep_alive.map_or(IDLE_TIME, |time| {
        time.mul_f64(KEEP_ALIVE_SHARE).min(IDLE_TIME)
    });
    let now = gateway.now();
    gateway.pool.borrow_mut().give(now, connection, idle);
}

/// Tells all nodes which engines start to read, when it is much.
fn note_reading(gateway: &Gateway, placed: &Placement, memory: TokenCount) {
    let mut engines = vec![placed.first.clone()];
    engines.extend(placed.shares.iter().map(|(engine, _)| engine.clone()));
    engines.extend(placed.helpers.iter().cloned());
    let notice = ReadNotice {
        engines,
        part: placed.part,
        memory,
    };
    let now = gateway.now();
    gateway.loads.borrow_mut().note_reading(now, &notice);
    if !placed.helpers.is_empty() || !placed.shares.is_empty() {
        let node = gateway.settings.node.clone();
        gateway.tell(PeerNews::Reading(node, notice));
    }
}

/// Places the rest of a stream that broke off.
pub(crate) fn place_again(
    gateway: &Rc<Gateway>,
    job: &ForwardJob,
    tried: &[UpstreamId],
) -> Option<Placement> {
    place(gateway, job, tried, PlacePatience::Over).ok()
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
    let nodes = gateway.roster.borrow_mut().size(now);
    job.route.kind.repeatable()
        && sends < job.route.max_upstreams
        && now + ANSWER_MARGIN < job.deadline
        && gateway
            .budget
            .borrow_mut()
            .allows_repeat(now, &job.service, nodes)
}

/// Takes the right to go on with a stream elsewhere.
pub(crate) fn take_resume(gateway: &Gateway, job: &ForwardJob, sends: u32) -> bool {
    could_repeat(gateway, job, sends) && take_repeat(gateway, job)
}
