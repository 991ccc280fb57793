//! One attempt of a request at one upstream: opens the connection, builds the request
//! and records what the outcome says about the upstream's health.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use dispatch::{
    CallKind, InFlightRequest, LatencyGoals, MemoryShare, Placement, PrefillNotice, PromptSize,
};
use http::{HeaderMap, Request, Uri, header};
use hyper::body::{Body, Incoming};
use rand::RngExt;
use types::{ServiceName, TokenCount, UpstreamId};

use crate::{
    ForwardHead, UpstreamWish,
    client::{ClientConnection, DEFAULT_IDLE_TIMEOUT},
    connect::{ConnectError, ConnectTarget, connect_upstream},
    crashes::{BrokenAttempt, check_upstream, record_sound_answer},
    datagrams::PeerDatagram,
    forward::ForwardJob,
    held::SlicedBody,
    news::record_leaving,
    place::prompt_goals,
    reach::{is_cut_suspected, suspect_cut},
    state::{Gateway, InFlightGuard},
    tickets::{AnsweringEngine, ReservationSet},
};

/// Expected time to first token in addition to the prefill: two forward passes
/// of a busy engine.
pub(crate) const FIRST_EVENT_OVERHEAD: Duration = Duration::from_millis(150);
/// Share of the keep-alive time announced by an upstream for which its connections
/// stay in the pool, so that none is used while the upstream closes it.
const KEEP_ALIVE_SHARE: f64 = 0.6;

/// Time after the first event for which an upstream may still crash on the prompt that it
/// answers; several times as long as crashes take on a slow upstream.
const SOUND_ANSWER_TIME: Duration = Duration::from_millis(1500);
/// Pause between two proofs by the same answer.
const PROOF_INTERVAL: Duration = Duration::from_millis(500);
/// Longest pause that an upstream is granted; a longer one would be a mistake.
const PAUSE_MAX: Duration = Duration::from_hours(1);
/// Largest factor by which a node prolongs a pause.
const PAUSE_SPREAD: f64 = 1.2;

/// One attempt of a request at one upstream.
pub(crate) struct UpstreamAttempt {
    pub(crate) upstream: UpstreamId,
    service: ServiceName,
    pub(crate) address: SocketAddr,
    /// Start of the upstream's process, in Unix milliseconds, if it publishes it.
    pub(crate) started_ms: Option<u64>,
    /// Other engines that prefill chunks or hold KV cache memory, each with the id of
    /// its memory reservation if it has one.
    pub(crate) helpers: Vec<(SocketAddr, Option<String>)>,
    /// Memory reservations on other engines, released when this is dropped.
    reservations: Option<ReservationSet>,
    /// Start of the measured time to first token, which includes reserving memory and
    /// connecting.
    pub(crate) registered_at: Instant,
    /// When the first event of the answer arrived.
    first_event_at: Cell<Option<Instant>>,
    /// When further events next prove that the upstream has not crashed on the prompt.
    proof_due_at: Cell<Option<Instant>>,
    /// Prefill time that the placement estimated.
    prefill_time: Duration,
    /// Counts the attempt in the load of its engines until this is dropped.
    in_flight: InFlightGuard,
}

impl UpstreamAttempt {
    /// Counts the attempt in the load of its engines and announces its prefill to other
    /// nodes; sends nothing to the upstream. Returns `None` if the upstream has been
    /// removed since the placement.
    pub(crate) fn register(
        gateway: &Rc<Gateway>,
        job: &ForwardJob,
        placement: &Placement,
    ) -> Option<Self> {
        let upstreams = gateway.upstreams.borrow();
        let entry = &upstreams.get(&placement.upstream)?.entry;
        let address = entry.address;
        let started_ms = entry.started_ms;
        let helpers = placement
            .helpers
            .iter()
            .filter_map(|id| Some((upstreams.get(id)?.entry.address, None)))
            .collect();
        let reserved: TokenCount = placement
            .memory_shares
            .iter()
            .map(|(_, tokens)| tokens)
            .sum();
        let memory = job.request.size.map_or(0, PromptSize::kv_cache_tokens);
        let memory = memory.saturating_sub(reserved);
        let mut shares = vec![MemoryShare {
            engine: placement.upstream.clone(),
            memory,
        }];
        shares.extend(
            placement
                .memory_shares
                .iter()
                .map(|(engine, tokens)| MemoryShare {
                    engine: engine.clone(),
                    memory: *tokens,
                }),
        );
        let goals = prompt_goals(gateway, job);
        let in_flight = InFlightRequest {
            memory_shares: shares,
            strict: goals.is_strict(),
            event_gap: goals.event_gap,
        };
        let in_flight_id = gateway.loads.borrow_mut().record_start(in_flight);
        if !placement.shard_time.is_zero() {
            record_and_announce_prefill(gateway, placement, memory, &goals);
        }
        Some(Self {
            upstream: placement.upstream.clone(),
            service: job.service.clone(),
            address,
            started_ms,
            helpers,
            reservations: None,
            registered_at: gateway.now(),
            first_event_at: Cell::default(),
            proof_due_at: Cell::default(),
            prefill_time: placement.time_to_prefill,
            in_flight: InFlightGuard::new(gateway, in_flight_id),
        })
    }

    /// Reserves memory on all engines of `shares`, or on none of them; the error
    /// names an engine that refused, didn't answer or is no longer known.
    pub(crate) async fn reserve(
        &mut self,
        gateway: &Rc<Gateway>,
        job: &ForwardJob,
        shares: &[(UpstreamId, TokenCount)],
    ) -> Result<(), UpstreamId> {
        if shares.is_empty() {
            return Ok(());
        }
        let answering = AnsweringEngine {
            upstream: self.upstream.clone(),
            address: self.address,
            started_ms: self.started_ms,
        };
        let request = &job.request.caller_attempt_id;
        let reservations = ReservationSet::reserve(gateway, request, answering, shares).await?;
        let mut helper_targets = reservations.helper_targets();
        helper_targets.append(&mut self.helpers);
        self.helpers = helper_targets;
        self.reservations = Some(reservations);
        Ok(())
    }

    /// Returns whether memory is reserved for the attempt on several engines.
    pub(crate) fn holds_reservations(&self) -> bool {
        self.reservations.is_some()
    }

    /// Takes a pooled connection for the first attempt of an idempotent request if there is
    /// one. Any other attempt gets a new connection: the upstream may close a pooled one
    /// just as the request is sent, and if one was silent, all may hang.
    pub(crate) async fn connect(
        &self,
        gateway: &Rc<Gateway>,
        job: &ForwardJob,
        is_first: bool,
    ) -> Result<ClientConnection, ConnectError> {
        let is_idempotent = job.route.call_kind == CallKind::Idempotent;
        if is_idempotent && is_first && !is_cut_suspected(gateway, &self.service) {
            let pooled = gateway.pool.borrow_mut().take(gateway.now(), self.address);
            if let Some(pooled) = pooled {
                return Ok(pooled);
            }
        }
        let left = job.time_left(gateway.now());
        let target = ConnectTarget {
            upstream: self.upstream.clone(),
            service: self.service.clone(),
            address: self.address,
            homes: job.homes.clone(),
        };
        let connection = connect_upstream(gateway, &target, left).await?;
        if let Some(helper) = &connection.helper {
            gateway.metrics.helped.inc();
            log::info!(
                "event=passed_on request={} upstream={} helper={helper}",
                job.request.caller_attempt_id,
                self.upstream
            );
        }
        Ok(connection)
    }

    /// Builds the request as it is sent to this upstream.
    pub(crate) fn build_request(
        &self,
        gateway: &Gateway,
        job: &ForwardJob,
        resume_after: Option<&str>,
    ) -> http::Result<Request<SlicedBody>> {
        let target = job
            .head
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str());
        let mut request = Request::builder()
            .method(job.head.method.clone())
            .uri(target.parse::<Uri>()?)
            .body(SlicedBody::from(Rc::clone(&job.body)))?;
        let headers = request.headers_mut();
        headers.clone_from(&job.head.headers);
        remove_hop_by_hop_headers(headers);
        headers.remove(header::CONTENT_LENGTH);
        let left = job.time_left(gateway.now());
        let forward = ForwardHead {
            time_left: left,
            upstream: &self.upstream,
            organisation: job.organisation.as_ref(),
            priority: Some(job.priority),
            resume_after,
            helpers: &self.helpers,
        };
        gateway.dialect.write_forward_headers(headers, &forward);
        Ok(request)
    }

    /// Returns whether the request may still be sent now that its connection is open: that
    /// can take longer than news of the upstream's leaving.
    pub(crate) fn may_send(&self, gateway: &Gateway) -> bool {
        let is_barred = gateway
            .upstreams
            .borrow()
            .is_barred(gateway.now(), &self.upstream);
        if is_barred {
            log::info!("event=barred_while_connecting upstream={}", self.upstream);
        }
        !is_barred
    }

    /// Records that the upstream answered.
    pub(crate) fn record_success(&self, gateway: &Gateway) {
        let now = gateway.now();
        gateway
            .upstreams
            .borrow_mut()
            .record_success(now, &self.upstream);
        gateway
            .loads
            .borrow_mut()
            .record_first_event(self.in_flight.id());
    }

    /// Records a success and, for an attempt without helpers, the ratio of actual to
    /// expected time to first token. A helper may have caused the delay of any other
    /// attempt. The end of a stream without events counts as its first event.
    pub(crate) fn record_first_event(&self, gateway: &Gateway) {
        self.record_success(gateway);
        if !self.helpers.is_empty() {
            return;
        }
        let now = gateway.now();
        let elapsed = now.saturating_duration_since(self.registered_at);
        let expected = self.prefill_time + FIRST_EVENT_OVERHEAD;
        let ratio = elapsed.as_secs_f64() / expected.as_secs_f64();
        let mut upstreams = gateway.upstreams.borrow_mut();
        upstreams.record_slowdown(now, &self.upstream, ratio);
    }

    /// Records what the upstream wants besides the answer to a request.
    pub(crate) fn record_wish(&self, gateway: &Gateway, wish: Option<UpstreamWish>) {
        match wish {
            Some(UpstreamWish::Leave) => {
                let started_ms = self.started_ms;
                if record_leaving(gateway, &self.upstream, started_ms, "answer") {
                    gateway.pool.borrow_mut().remove(self.address);
                    let upstream = self.upstream.clone();
                    gateway.queue_datagram(PeerDatagram::UpstreamLeaving(upstream, started_ms));
                }
            }
            Some(UpstreamWish::Pause(pause)) => {
                let pause = pause.min(PAUSE_MAX);
                log::info!(
                    "event=upstream_paused upstream={} pause_ms={}",
                    self.upstream,
                    pause.as_millis()
                );
                // Nodes that were asked at the same time don't come back together.
                let factor = gateway.rng.borrow_mut().random_range(1.0..PAUSE_SPREAD);
                let now = gateway.now();
                let until = now + pause.mul_f64(factor);
                let mut upstreams = gateway.upstreams.borrow_mut();
                upstreams.record_pause(now, &self.upstream, until);
            }
            None => {}
        }
    }

    /// Returns whether the request may still be sent, and takes it from the upstream's
    /// rate. Since the placement, the upstream may have said that it leaves, asked for a
    /// pause or got the last request of this node's share.
    pub(crate) fn take_send(&self, gateway: &Gateway) -> bool {
        let now = gateway.now();
        let mut upstreams = gateway.upstreams.borrow_mut();
        !upstreams.is_barred(now, &self.upstream) && upstreams.take_send(now, &self.upstream)
    }

    /// Backs off from the upstream that an answer names as at fault, or else from
    /// the one that answered.
    pub(crate) fn record_not_run(&self, gateway: &Gateway, at_fault: Option<&str>) {
        let address = at_fault.and_then(|text| text.parse().ok());
        let mut upstreams = gateway.upstreams.borrow_mut();
        let named = address.and_then(|address| upstreams.find_by_address(address));
        let id = named.map_or_else(|| self.upstream.clone(), |view| view.entry.id.clone());
        upstreams.record_failure(gateway.now(), &id);
    }

    /// Records a failure, so that the upstream gets no requests until its backoff
    /// ends.
    pub(crate) fn back_off(&self, gateway: &Gateway) {
        let now = gateway.now();
        gateway
            .upstreams
            .borrow_mut()
            .record_failure(now, &self.upstream);
    }

    /// Logs a failed attempt and backs off from the upstream.
    pub(crate) fn record_failure(&self, gateway: &Gateway, job: &ForwardJob, reason: &str) {
        log::warn!(
            "event=upstream_failed request={} upstream={} reason=\"{reason}\" age_ms={}",
            job.request.caller_attempt_id,
            self.upstream,
            gateway
                .now()
                .saturating_duration_since(job.arrived)
                .as_millis(),
        );
        self.back_off(gateway);
    }

    /// Logs an attempt that got no answer, backs off from the upstream and begins to find
    /// out whether this node is cut off.
    pub(crate) fn record_silence(&self, gateway: &Rc<Gateway>, job: &ForwardJob, reason: &str) {
        self.record_failure(gateway, job, reason);
        suspect_cut(gateway, &self.service, Some(&self.upstream));
    }

    /// Logs that there is no connection. An upstream that this node can't ask at all is not
    /// to blame.
    pub(crate) fn record_unconnected(
        &self,
        gateway: &Gateway,
        job: &ForwardJob,
        error: &ConnectError,
    ) {
        match error {
            ConnectError::Upstream(_) => self.record_failure(gateway, job, &error.to_string()),
            ConnectError::Shortage(error) => log::error!(
                "event=connect_shortage request={} error=\"{error}\"",
                job.request.caller_attempt_id
            ),
            ConnectError::NoHelper(_) => log::warn!(
                "event=no_helper request={} upstream={}",
                job.request.caller_attempt_id,
                self.upstream
            ),
        }
    }

    /// Records that the connection broke while the upstream may have been running the
    /// request, and begins to find out whether the upstream has ended.
    pub(crate) fn record_broken(&self, gateway: &Rc<Gateway>, job: &Rc<ForwardJob>, reason: &str) {
        self.record_silence(gateway, job, reason);
        let broken = self.broken_attempt(gateway, false);
        let checking = check_upstream(Rc::clone(gateway), Rc::clone(job), broken);
        gateway
            .executor
            .spawn(async { _ = checking.await })
            .detach();
    }

    /// Returns whether the upstream crashed on an answer without length or chunks, which then
    /// need not be whole although its connection ended properly.
    pub(crate) async fn has_crashed_at_end(
        &self,
        gateway: &Rc<Gateway>,
        job: &Rc<ForwardJob>,
    ) -> bool {
        let ended = self.broken_attempt(gateway, true);
        let has_crashed = check_upstream(Rc::clone(gateway), Rc::clone(job), ended).await;
        if has_crashed {
            let reason = "the process ended with an answer without length";
            self.record_failure(gateway, job, reason);
        }
        has_crashed
    }

    fn broken_attempt(&self, gateway: &Gateway, ended_properly: bool) -> BrokenAttempt {
        let now = gateway.now();
        let together_with = gateway
            .quarantine
            .borrow_mut()
            .crash_log_mut()
            .record_loss(now, &self.upstream);
        let answered_for = self.answered_for(now);
        BrokenAttempt {
            upstream: self.upstream.clone(),
            started_ms: self.started_ms,
            together_with,
            answered_for,
            is_proven_sound: answered_for.is_some_and(|time| time >= SOUND_ANSWER_TIME),
            ended_properly,
        }
    }

    /// Records that events of the answer have arrived. An upstream that still sends some
    /// after [`SOUND_ANSWER_TIME`] has not crashed on this prompt.
    pub(crate) fn record_events(&self, gateway: &Gateway, job: &ForwardJob) {
        let now = gateway.now();
        if let Some(reservations) = &self.reservations {
            reservations.record_data();
        }
        if self.first_event_at.get().is_none() {
            self.first_event_at.set(Some(now));
            self.proof_due_at.set(Some(now + SOUND_ANSWER_TIME));
        }
        if self.proof_due_at.get().is_some_and(|due| now >= due) {
            self.proof_due_at.set(Some(now + PROOF_INTERVAL));
            record_sound_answer(gateway, job);
        }
    }

    fn answered_for(&self, now: Instant) -> Option<Duration> {
        let first_event_at = self.first_event_at.get()?;
        Some(now.saturating_duration_since(first_event_at))
    }
}

/// Records which engines start the prefill. Tells other nodes if helpers share it or
/// if the route's event gap is longer than the shortest one of its service.
fn record_and_announce_prefill(
    gateway: &Gateway,
    placement: &Placement,
    memory: TokenCount,
    goals: &LatencyGoals,
) {
    let mut engines = vec![placement.upstream.clone()];
    engines.extend(
        placement
            .memory_shares
            .iter()
            .map(|(engine, _)| engine.clone()),
    );
    engines.extend(placement.helpers.iter().cloned());
    let notice = PrefillNotice {
        engines,
        shard_time: placement.shard_time,
        decode_delay: placement.decode_delay,
        memory,
        event_gap: goals.event_gap,
    };
    let now = gateway.now();
    gateway.loads.borrow_mut().record_prefill(now, &notice);
    if !goals.is_strict() || !placement.helpers.is_empty() {
        let node = gateway.settings.node.clone();
        gateway.queue_datagram(PeerDatagram::PrefillStarted {
            node,
            notice,
            passed_on: false,
        });
    }
}

/// Returns a connection to the pool for later requests.
pub(crate) fn pool_connection(
    gateway: &Gateway,
    connection: ClientConnection,
    keep_alive: Option<Duration>,
) {
    let idle_timeout = keep_alive.map_or(DEFAULT_IDLE_TIMEOUT, |time| {
        time.mul_f64(KEEP_ALIVE_SHARE).min(DEFAULT_IDLE_TIMEOUT)
    });
    let now = gateway.now();
    gateway.pool.borrow_mut().put(now, connection, idle_timeout);
}

/// Returns whether an answer states where its body ends: by a length, chunks or a status that
/// allows no body.
pub(crate) fn is_framed(headers: &HeaderMap, body: &Incoming) -> bool {
    headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
        || body.is_end_stream()
}

/// Removes hop-by-hop headers, including those that `Connection` names.
pub(crate) fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
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
