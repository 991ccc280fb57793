//! Continues an interrupted stream at another upstream.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Response, header};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use types::UpstreamId;

use crate::{
    attempt::{can_retry, quarantine_left, take_resume_retry},
    client::{ClientConnection, ExchangeError},
    cold::record_answer,
    forward::ForwardJob,
    leg::{UpstreamAttempt, is_framed},
    place::resume_placement,
    race::RaceHandle,
    rates::record_rate,
    state::Gateway,
};

/// Timeout for the first data of an answer that continues a stream, in addition to
/// twice the prefill time. It applies while another upstream may be tried.
const RESUME_TIMEOUT: Duration = Duration::from_millis(900);

/// Next part of an answer's body; `None` at its end.
type NextFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

/// Answer of an upstream from which events are read.
pub(crate) struct EventSource {
    body: Incoming,
    /// Whether the body has a length or chunks, so that its end is told from a crash.
    pub(crate) is_framed: bool,
    /// What was received before the source became the current one.
    early: Option<NextFrame>,
    pub(crate) attempt: UpstreamAttempt,
    /// Keeps the connection open.
    _connection: ClientConnection,
}

impl EventSource {
    pub(crate) fn new(
        headers: &HeaderMap,
        body: Incoming,
        attempt: UpstreamAttempt,
        connection: ClientConnection,
    ) -> Self {
        Self {
            is_framed: is_framed(headers, &body),
            body,
            early: None,
            attempt,
            _connection: connection,
        }
    }

    /// Returns the next part of the body. Nothing is lost if the future is dropped.
    pub(crate) async fn next_frame(&mut self) -> NextFrame {
        match self.early.take() {
            Some(frame) => frame,
            None => self.body.frame().await,
        }
    }
}

/// Attempts to continue one stream.
pub(crate) struct StreamResumption {
    gateway: Rc<Gateway>,
    job: Rc<ForwardJob>,
    /// Upstreams that served the stream or were tried, which resumes avoid.
    tried: Vec<UpstreamId>,
    /// Attempts counted against the route's limit: those that had a connection, and
    /// every attempt to resume, even if no upstream was found.
    pub(crate) sends: u32,
}

impl StreamResumption {
    pub(crate) fn new(gateway: &Rc<Gateway>, job: &Rc<ForwardJob>) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            job: Rc::clone(job),
            tried: Vec::new(),
            sends: 0,
        }
    }

    /// Goes on from the attempts of the race that `winner` has won.
    pub(crate) fn take_over(&mut self, race: &RaceHandle, winner: &UpstreamId) {
        let history = race.history();
        self.sends = history.sends;
        self.tried.clone_from(&history.tried);
        self.tried.push(winner.clone());
    }

    /// Continues the stream after event `last` at another upstream, which has sent its first
    /// data; `None` if none does.
    pub(crate) async fn resume(&mut self, last: Option<u64>) -> Option<EventSource> {
        while quarantine_left(&self.gateway, &self.job).is_none()
            && take_resume_retry(&self.gateway, &self.job, self.sends)
        {
            self.sends += 1;
            if let Some(source) = self.resume_once(last).await {
                return Some(source);
            }
        }
        None
    }

    async fn resume_once(&mut self, last: Option<u64>) -> Option<EventSource> {
        let placement = resume_placement(&self.gateway, &self.job, &self.tried)?;
        self.tried.push(placement.upstream.clone());
        let mut attempt = UpstreamAttempt::register(&self.gateway, &self.job, &placement)?;
        attempt
            .reserve(&self.gateway, &self.job, &placement.memory_shares)
            .await
            .ok()?;
        if !attempt.take_send(&self.gateway) {
            return None;
        }
        let last = last.map(|id| id.to_string());
        let request = attempt.build_request(&self.gateway, &self.job, last.as_deref());
        let request = request.ok()?;
        let mut connection = match attempt.connect(&self.gateway, &self.job, false).await {
            Ok(connection) => connection,
            Err(error) => {
                attempt.record_unconnected(&self.gateway, &self.job, &error);
                return None;
            }
        };
        if !attempt.may_send(&self.gateway) {
            return None;
        }
        let left = self.job.time_left(self.gateway.now());
        let limit = if can_retry(&self.gateway, &self.job, self.sends) {
            left.min(RESUME_TIMEOUT + placement.time_to_prefill * 2)
        } else {
            left
        };
        let began = self.gateway.now();
        let answer = self.gateway.clock.timeout(limit, connection.send(request));
        let response = match answer.await {
            Some(Ok(response)) => response,
            Some(Err(ExchangeError::Sent(error))) => {
                attempt.record_broken(&self.gateway, &self.job, &error);
                return None;
            }
            Some(Err(ExchangeError::NotSent(error))) => {
                attempt.record_failure(&self.gateway, &self.job, &error);
                return None;
            }
            None => {
                let reason = "no answer head in time when resuming the stream";
                attempt.record_silence(&self.gateway, &self.job, reason);
                return None;
            }
        };
        if !self.continues_stream(&attempt, &response) {
            return None;
        }
        let elapsed = self.gateway.now().saturating_duration_since(began);
        let (head, body) = response.into_parts();
        let mut source = EventSource::new(&head.headers, body, attempt, connection);
        let first = source.next_frame();
        let limit = limit.saturating_sub(elapsed);
        let Some(first) = self.gateway.clock.timeout(limit, first).await else {
            let reason = "no data in time when resuming the stream";
            source
                .attempt
                .record_silence(&self.gateway, &self.job, reason);
            return None;
        };
        let is_end = first.is_none() && source.is_framed;
        if !is_end && !matches!(first, Some(Ok(_))) {
            let reason = "connection lost before any data when resuming the stream";
            source
                .attempt
                .record_broken(&self.gateway, &self.job, reason);
            return None;
        }
        source.early = Some(first);
        log::info!(
            "event=stream_resumed request={} upstream={} last_event={last:?}",
            self.job.request.caller_attempt_id,
            source.attempt.upstream,
        );
        Some(source)
    }

    /// Returns whether an answer is what was asked for, and records what its head says.
    fn continues_stream(&self, attempt: &UpstreamAttempt, response: &Response<Incoming>) -> bool {
        let dialect = &self.gateway.dialect;
        let head = dialect.decode_answer(response.status(), response.headers());
        attempt.record_wish(&self.gateway, head.wish);
        let caller_attempt_id = head.caller_attempt_id.as_ref();
        let matches_request =
            caller_attempt_id.is_none_or(|id| *id == self.job.request.caller_attempt_id);
        if matches_request {
            record_rate(&self.gateway, attempt, &head);
            record_answer(&self.gateway, attempt, response.status(), &head);
        }
        if !response.status().is_success() || !head.signed || !matches_request {
            attempt.back_off(&self.gateway);
            return false;
        }
        if !is_event_stream(response.headers()) {
            let reason = "what was to continue a stream is no event stream";
            attempt.record_failure(&self.gateway, &self.job, reason);
            return false;
        }
        true
    }
}

/// Returns whether an answer with these headers is a stream of events, or doesn't say.
fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE);
    content_type.is_none_or(|value| value.as_bytes().starts_with(b"text/event-stream"))
}
