//! One request at one upstream: what is sent, and what its end tells.

use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use dispatch::{
    CallKind, InFlightRequest, LatencyGoals, MemoryShare, Placement, PrefillNotice, PromptSize,
};
use http::{HeaderMap, Request, Uri, header};
use http_body_util::Full;
use types::{TokenCount, UpstreamId};

use crate::{
    ForwardHead,
    client::{ClientConnection, IDLE_TIME},
    forward::ForwardJob,
    peers::PeerNews,
    place::goals_of,
    state::{FlightGuard, Gateway},
    tickets::TicketSet,
};

/// Time for a connection to an upstream to open.
const CONNECT_TIME: Duration = Duration::from_millis(400);
/// Time to the first event beside the reading: two passes of a busy engine.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(150);
/// Share of an upstream's idle limit for which its connections are kept, so
/// that none is used while it is being closed.
const KEEP_ALIVE_SHARE: f64 = 0.6;

/// One request at one upstream.
pub(crate) struct Leg {
    pub(crate) upstream: UpstreamId,
    pub(crate) address: SocketAddr,
    pub(crate) helpers: Vec<(SocketAddr, Option<String>)>,
    /// Given back when the request has ended.
    tickets: Option<TicketSet>,
    sent_at: Instant,
    /// Time to read the prompt, as far as known when it was sent.
    read: Duration,
    flight: FlightGuard,
}

impl Leg {
    /// Notes the work; `None` when the upstream has gone meanwhile.
    pub(crate) fn start(
        gateway: &Rc<Gateway>,
        job: &ForwardJob,
        placed: &Placement,
    ) -> Option<Self> {
        let upstreams = gateway.upstreams.borrow();
        let address = upstreams.get(&placed.upstream)?.entry.address;
        let helpers = placed
            .helpers
            .iter()
            .filter_map(|id| Some((upstreams.get(id)?.entry.address, None)))
            .collect();
        let held: TokenCount = placed.memory_shares.iter().map(|(_, tokens)| tokens).sum();
        let memory = job.call.size.map_or(0, PromptSize::kv_cache_tokens);
        let memory = memory.saturating_sub(held);
        let mut parts = vec![MemoryShare {
            engine: placed.upstream.clone(),
            memory,
        }];
        parts.extend(
            placed
                .memory_shares
                .iter()
                .map(|(engine, tokens)| MemoryShare {
                    engine: engine.clone(),
                    memory: *tokens,
                }),
        );
        let goals = goals_of(gateway, job);
        let plan = InFlightRequest {
            memory_shares: parts,
            strict: goals.is_strict(),
            event_gap: goals.event_gap,
        };
        let flight = gateway.loads.borrow_mut().record_start(plan);
        if !placed.shard_time.is_zero() {
            note_reading(gateway, placed, memory, &goals);
        }
        Some(Self {
            upstream: placed.upstream.clone(),
            address,
            helpers,
            tickets: None,
            sent_at: gateway.now(),
            read: placed.prefill_time,
            flight: FlightGuard::new(gateway, flight),
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
        if job.route.call_kind == CallKind::Idempotent {
            let kept = gateway.pool.borrow_mut().take(gateway.now(), self.address);
            if let Some(kept) = kept {
                return Ok(kept);
            }
        }
        let left = job.time_left(gateway.now());
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
        let left = job.time_left(gateway.now());
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
            .record_success(now, &self.upstream);
        gateway
            .loads
            .borrow_mut()
            .record_first_event(self.flight.id());
        gateway
            .quarantine
            .borrow_mut()
            .clear_upstream(now, &self.upstream);
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
        upstreams.record_slowdown(now, &self.upstream, ratio);
    }

    /// Leaves out the upstream that an answer names, or else the one asked.
    pub(crate) fn note_at_fault(&self, gateway: &Gateway, at_fault: Option<&str>) {
        let address = at_fault.and_then(|text| text.parse().ok());
        let mut upstreams = gateway.upstreams.borrow_mut();
        let named = address.and_then(|address| upstreams.find_by_address(address));
        let id = named.map_or_else(|| self.upstream.clone(), |view| view.entry.id.clone());
        upstreams.record_failure(gateway.now(), &id);
    }

    /// A full upstream is left out for a moment.
    pub(crate) fn note_shed(&self, gateway: &Gateway) {
        let now = gateway.now();
        gateway
            .upstreams
            .borrow_mut()
            .record_failure(now, &self.upstream);
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
        let news =
            gateway
                .quarantine
                .borrow_mut()
                .record_crash(now, job.fingerprint, &self.upstream);
        if news {
            gateway.tell(PeerNews::Crash(job.fingerprint, self.upstream.clone()));
        }
    }
}

/// Notes which engines start to read, and tells all nodes when it is much.
fn note_reading(gateway: &Gateway, placed: &Placement, memory: TokenCount, goals: &LatencyGoals) {
    let mut engines = vec![placed.upstream.clone()];
    engines.extend(
        placed
            .memory_shares
            .iter()
            .map(|(engine, _)| engine.clone()),
    );
    engines.extend(placed.helpers.iter().cloned());
    let notice = PrefillNotice {
        engines,
        shard_time: placed.shard_time,
        decode_delay: placed.decode_delay,
        memory,
        event_gap: goals.event_gap,
    };
    let now = gateway.now();
    gateway.loads.borrow_mut().record_prefill(now, &notice);
    if !goals.is_strict() || !placed.helpers.is_empty() {
        let node = gateway.settings.node.clone();
        gateway.tell(PeerNews::Reading(node, notice));
    }
}

/// Keeps a connection for later requests.
pub(crate) fn keep_connection(
    gateway: &Gateway,
    connection: ClientConnection,
    keep_alive: Option<Duration>,
) {
    let idle = keep_alive.map_or(IDLE_TIME, |time| {
        time.mul_f64(KEEP_ALIVE_SHARE).min(IDLE_TIME)
    });
    let now = gateway.now();
    gateway.pool.borrow_mut().give(now, connection, idle);
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
