//! Streams answers to callers, and continues an interrupted stream at another
//! upstream.

use std::{
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_lite::{future::yield_now, stream};
use http::{HeaderMap, Response, header, response::Parts};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use types::UpstreamId;

use crate::{
    EventBatch, EventCursor, EventError,
    answer::AnswerBody,
    attempt::{SendOutcome, can_retry, quarantine_left, stream_read_timeout, take_resume_retry},
    client::{ClientConnection, ExchangeError},
    cold::record_answer,
    crashes::record_sound_answer,
    forward::ForwardJob,
    leg::{UpstreamAttempt, is_framed, remove_hop_by_hop_headers},
    place::resume_placement,
    rates::record_rate,
    state::Gateway,
};

/// Timeout for the head of an answer that continues a stream, in addition to
/// twice the prefill time.
const RESUME_TIMEOUT: Duration = Duration::from_millis(900);

/// Stream of server-sent events from an upstream to a caller.
pub(crate) struct StreamForwarder {
    gateway: Rc<Gateway>,
    job: Rc<ForwardJob>,
    cursor: EventCursor,
    /// Why the upstream's bytes after the last returned events can't be forwarded.
    malformed: Option<EventError>,
    /// Head of the answer until it is returned, with the first event, to the caller.
    response_head: Option<Parts>,
    body: Incoming,
    /// Whether the body has a length or chunks, so that its end is told from a crash.
    is_framed: bool,
    attempt: UpstreamAttempt,
    connection: ClientConnection,
    /// Upstreams that served the stream or were tried, which resumes avoid.
    tried: Vec<UpstreamId>,
    /// Attempts counted against the route's limit: those that had a connection, and
    /// every attempt to resume, even if no upstream was found.
    sends: u32,
    /// Whether the stream has ended with an error.
    ended: bool,
    last_event_at: Instant,
    /// Longest time between two groups of events forwarded to the caller.
    longest_gap: Duration,
}

impl Drop for StreamForwarder {
    fn drop(&mut self) {
        log::info!(
            "event=stream_over request={} upstream={} sends={} last_event={:?} longest_gap_ms={}",
            self.job.request.caller_attempt_id,
            self.attempt.upstream,
            self.sends,
            self.cursor.last(),
            self.longest_gap.as_millis(),
        );
    }
}

impl StreamForwarder {
    pub(crate) fn new(
        gateway: &Rc<Gateway>,
        job: &Rc<ForwardJob>,
        attempt: UpstreamAttempt,
        connection: ClientConnection,
        response: Response<Incoming>,
        sends: u32,
    ) -> Self {
        let (mut response_head, body) = response.into_parts();
        let is_framed = is_framed(&response_head.headers, &body);
        remove_hop_by_hop_headers(&mut response_head.headers);
        // Another upstream may complete the stream, so its length isn't known.
        response_head.headers.remove(header::CONTENT_LENGTH);
        let last = job.request.resume_after.as_deref();
        Self {
            cursor: EventCursor::new(last.and_then(|id| id.parse().ok())),
            malformed: None,
            gateway: Rc::clone(gateway),
            job: Rc::clone(job),
            response_head: Some(response_head),
            body,
            is_framed,
            tried: vec![attempt.upstream.clone()],
            attempt,
            connection,
            sends,
            ended: false,
            last_event_at: gateway.now(),
            longest_gap: Duration::ZERO,
        }
    }

    /// Waits for the first event and returns the stream as the answer. Until that
    /// event the whole request can still be retried at another upstream.
    pub(crate) async fn into_outcome(mut self) -> SendOutcome {
        let first = match self.next_events().await {
            Ok(first) => first,
            Err(error) => {
                log::debug!("event=no_first_event error=\"{error}\"");
                return SendOutcome::Lost;
            }
        };
        self.attempt.record_first_event(&self.gateway);
        let Some(response_head) = self.response_head.take() else {
            return SendOutcome::Lost;
        };
        let Some(first) = first else {
            return SendOutcome::Answered(Response::from_parts(
                response_head,
                AnswerBody::from(Bytes::new()),
            ));
        };
        let rest = stream::unfold(self, |mut forwarder| async move {
            if forwarder.ended {
                return None;
            }
            match forwarder.next_events_or_resume().await {
                Ok(Some(events)) => Some((Ok(events), forwarder)),
                Ok(None) => None,
                Err(error) => {
                    forwarder.ended = true;
                    // An error ends the connection at once. What was returned before it is
                    // written first.
                    yield_now().await;
                    Some((Err(error), forwarder))
                }
            }
        });
        let events = stream::StreamExt::chain(stream::once(Ok(first)), rest);
        SendOutcome::Answered(Response::from_parts(
            response_head,
            AnswerBody::streamed(events),
        ))
    }

    /// Returns the next complete events. If the upstream disconnects, sends no data in
    /// time or sends malformed events, another one continues the stream. If no other
    /// may and the upstream is only silent (connection open, no error), waits for it
    /// until the deadline.
    async fn next_events_or_resume(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            let error = match self.next_events().await {
                Ok(events) => return Ok(events),
                Err(error) => error,
            };
            let timed_out = error.kind() == io::ErrorKind::TimedOut;
            log::warn!(
                "event=stream_broken request={} upstream={} last_event={:?} error=\"{error}\"",
                self.job.request.caller_attempt_id,
                self.attempt.upstream,
                self.cursor.last(),
            );
            if timed_out && self.time_left().is_zero() {
                return Err(error);
            }
            let resumed = self.resume().await;
            if !resumed && !timed_out {
                return Err(error);
            }
        }
    }

    /// Returns the next complete events of this upstream; `None` at the end of the
    /// stream. Parts of an event don't prolong the wait.
    async fn next_events(&mut self) -> io::Result<Option<Bytes>> {
        let silent_since = self.gateway.now();
        loop {
            if let Some(error) = self.malformed.take() {
                let reason = format!("malformed event stream: {error:?}");
                self.attempt
                    .record_failure(&self.gateway, &self.job, &reason);
                return Err(io::Error::other(reason));
            }
            let left = self.time_left();
            let limit = if can_retry(&self.gateway, &self.job, self.sends) {
                let silent_for = self.gateway.now().saturating_duration_since(silent_since);
                stream_read_timeout(&self.job)
                    .saturating_sub(silent_for)
                    .min(left)
            } else {
                left
            };
            let frame = self.gateway.clock.timeout(limit, self.body.frame());
            let frame = match frame.await {
                Some(Some(Ok(frame))) => frame,
                Some(Some(Err(error))) => {
                    self.attempt.record_broken(
                        &self.gateway,
                        &self.job,
                        "connection lost while reading the event stream",
                    );
                    return Err(io::Error::other(error));
                }
                Some(None) if self.cursor.at_boundary() => {
                    return self.check_end().await;
                }
                Some(None) => {
                    self.attempt.record_broken(
                        &self.gateway,
                        &self.job,
                        "the event stream ended inside an event",
                    );
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                None => {
                    self.attempt.record_silence(
                        &self.gateway,
                        &self.job,
                        "no data on the event stream within the limit",
                    );
                    return Err(io::ErrorKind::TimedOut.into());
                }
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let EventBatch { events, error } = self.cursor.push(&data);
            self.malformed = error;
            if !events.is_empty() {
                self.record_events();
                return Ok(Some(events));
            }
        }
    }

    /// Finds out whether a stream that ended between two events is whole. One without length
    /// or chunks ends in the same way if its upstream stops after the head or crashes.
    async fn check_end(&self) -> io::Result<Option<Bytes>> {
        if self.is_framed {
            record_sound_answer(&self.gateway, &self.job);
            return Ok(None);
        }
        if self.response_head.is_some() {
            let reason = "connection closed before the first event";
            self.attempt.record_broken(&self.gateway, &self.job, reason);
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if self
            .attempt
            .has_crashed_at_end(&self.gateway, &self.job)
            .await
        {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(None)
    }

    fn record_events(&mut self) {
        let now = self.gateway.now();
        if self.response_head.is_none() {
            let gap = now.saturating_duration_since(self.last_event_at);
            self.longest_gap = self.longest_gap.max(gap);
        }
        self.last_event_at = now;
        self.attempt.record_events(&self.gateway, &self.job);
    }

    /// Continues the stream at another upstream after the last complete event;
    /// `false` if none can.
    async fn resume(&mut self) -> bool {
        while quarantine_left(&self.gateway, &self.job).is_none()
            && take_resume_retry(&self.gateway, &self.job, self.sends)
        {
            self.sends += 1;
            if self.resume_once().await {
                return true;
            }
        }
        false
    }

    async fn resume_once(&mut self) -> bool {
        let Some(placement) = resume_placement(&self.gateway, &self.job, &self.tried) else {
            return false;
        };
        self.tried.push(placement.upstream.clone());
        let Some(mut attempt) = UpstreamAttempt::register(&self.gateway, &self.job, &placement)
        else {
            return false;
        };
        let reserved = attempt
            .reserve(&self.gateway, &self.job, &placement.memory_shares)
            .await;
        if reserved.is_err() {
            return false;
        }
        if !attempt.take_send(&self.gateway) {
            return false;
        }
        let last = self.cursor.last().map(|id| id.to_string());
        let Ok(request) = attempt.build_request(&self.gateway, &self.job, last.as_deref()) else {
            return false;
        };
        let mut connection = match attempt.connect(&self.gateway, &self.job, false).await {
            Ok(connection) => connection,
            Err(error) => {
                attempt.record_unconnected(&self.gateway, &self.job, &error);
                return false;
            }
        };
        if !attempt.may_send(&self.gateway) {
            return false;
        }
        let limit = (RESUME_TIMEOUT + placement.time_to_prefill * 2).min(self.time_left());
        let answer = self.gateway.clock.timeout(limit, connection.send(request));
        let response = match answer.await {
            Some(Ok(response)) => response,
            Some(Err(ExchangeError::Sent(error))) => {
                attempt.record_broken(&self.gateway, &self.job, &error);
                return false;
            }
            Some(Err(ExchangeError::NotSent(error))) => {
                attempt.record_failure(&self.gateway, &self.job, &error);
                return false;
            }
            None => {
                attempt.record_silence(
                    &self.gateway,
                    &self.job,
                    "no answer head in time when resuming the stream",
                );
                return false;
            }
        };
        let head = self
            .gateway
            .dialect
            .decode_answer(response.status(), response.headers());
        attempt.record_wish(&self.gateway, head.wish);
        let caller_attempt_id = head.caller_attempt_id.as_ref();
        let matches_request =
            caller_attempt_id.is_none_or(|id| *id == self.job.request.caller_attempt_id);
        if matches_request {
            record_rate(&self.gateway, &attempt, &head);
            record_answer(&self.gateway, &attempt, response.status(), &head);
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
        log::info!(
            "event=stream_resumed request={} upstream={} last_event={last:?}",
            self.job.request.caller_attempt_id,
            attempt.upstream,
        );
        self.cursor.resume();
        self.is_framed = is_framed(response.headers(), response.body());
        self.body = response.into_body();
        self.attempt = attempt;
        self.connection = connection;
        true
    }

    fn time_left(&self) -> Duration {
        self.job.time_left(self.gateway.now())
    }
}

/// Returns whether an answer with these headers is a stream of events, or doesn't say.
fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE);
    content_type.is_none_or(|value| value.as_bytes().starts_with(b"text/event-stream"))
}

/// Large plain answer that is passed on as it arrives.
struct PlainForwarder {
    gateway: Rc<Gateway>,
    job: Rc<ForwardJob>,
    body: Incoming,
    attempt: UpstreamAttempt,
    /// Keeps the connection open.
    _connection: ClientConnection,
}

impl PlainForwarder {
    /// Returns the next bytes; `None` at the end of the answer.
    async fn next_bytes(&mut self) -> io::Result<Option<Bytes>> {
        let left = self.job.time_left(self.gateway.now());
        match self.gateway.clock.timeout(left, self.body.frame()).await {
            Some(Some(Ok(frame))) => Ok(Some(frame.into_data().unwrap_or_default())),
            Some(Some(Err(error))) => {
                let reason = "connection lost while reading the answer";
                self.attempt.record_broken(&self.gateway, &self.job, reason);
                Err(io::Error::other(error))
            }
            Some(None) => {
                record_sound_answer(&self.gateway, &self.job);
                Ok(None)
            }
            None => {
                let reason = "answer incomplete at the deadline";
                self.attempt
                    .record_silence(&self.gateway, &self.job, reason);
                Err(io::ErrorKind::TimedOut.into())
            }
        }
    }
}

/// Streams a large plain answer with a length to the caller until the deadline.
pub(crate) fn stream_plain_answer(
    gateway: &Rc<Gateway>,
    job: &Rc<ForwardJob>,
    body: Incoming,
    attempt: UpstreamAttempt,
    connection: ClientConnection,
) -> AnswerBody {
    let forwarder = PlainForwarder {
        gateway: Rc::clone(gateway),
        job: Rc::clone(job),
        body,
        attempt,
        _connection: connection,
    };
    AnswerBody::streamed(stream::unfold(Some(forwarder), |forwarder| async move {
        let mut forwarder = forwarder?;
        match forwarder.next_bytes().await {
            Ok(bytes) => bytes.map(|bytes| (Ok(bytes), Some(forwarder))),
            Err(error) => {
                yield_now().await;
                Some((Err(error), None))
            }
        }
    }))
}
