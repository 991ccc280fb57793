//! Streams answers to callers.

use std::{
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_lite::{
    future::{or, yield_now},
    stream,
};
use http::{Response, header, response::Parts};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::{
    EventBatch, EventCursor, EventError,
    answer::AnswerBody,
    attempt::{SendOutcome, can_retry, stream_read_timeout},
    client::ClientConnection,
    crashes::record_sound_answer,
    forward::ForwardJob,
    leg::{UpstreamAttempt, remove_hop_by_hop_headers},
    race::RaceHandle,
    resume::{EventSource, NextFrame, StreamResumption},
    state::Gateway,
};

/// Stream of server-sent events from an upstream to a caller.
pub(crate) struct StreamForwarder {
    gateway: Rc<Gateway>,
    job: Rc<ForwardJob>,
    cursor: EventCursor,
    /// Why the upstream's bytes after the last returned events can't be forwarded.
    malformed: Option<EventError>,
    /// Head of the answer until it is returned, with the first event, to the caller.
    response_head: Option<Parts>,
    source: EventSource,
    resumption: StreamResumption,
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
            self.source.attempt.upstream,
            self.resumption.sends,
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
    ) -> Self {
        let (mut response_head, body) = response.into_parts();
        let source = EventSource::new(&response_head.headers, body, attempt, connection);
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
            source,
            resumption: StreamResumption::new(gateway, job),
            ended: false,
            last_event_at: gateway.now(),
            longest_gap: Duration::ZERO,
        }
    }

    /// Waits for the first event and returns the stream as the answer. Until that
    /// event the whole request can still be retried at another upstream: beside this one if it
    /// is only silent.
    pub(crate) async fn into_outcome(mut self, race: RaceHandle) -> SendOutcome {
        self.resumption.sends = race.history().sends;
        let mut first = self.next_events(ReadLimit::Retry).await;
        if first.as_ref().is_err_and(is_timeout) && !self.time_left().is_zero() {
            race.report_silence();
            first = self.next_events(ReadLimit::Deadline).await;
        }
        let first = match first {
            Ok(first) => first,
            Err(error) => {
                log::debug!("event=no_first_event error=\"{error}\"");
                return SendOutcome::Lost;
            }
        };
        self.resumption.take_over(&race, &self.source);
        self.source.attempt.record_first_event(&self.gateway);
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

    /// Returns the next complete events. If the upstream disconnects or sends malformed events,
    /// another one continues the stream. If it is only silent (connection open, no error),
    /// whichever sends first continues it: this one, which is awaited until the deadline, or
    /// another one that may take over.
    async fn next_events_or_resume(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            let error = match self.next_events(ReadLimit::Retry).await {
                Ok(events) => return Ok(events),
                Err(error) => error,
            };
            let timed_out = is_timeout(&error);
            log::warn!(
                "event={} request={} upstream={} last_event={:?} error=\"{error}\"",
                if timed_out {
                    "stream_silent"
                } else {
                    "stream_broken"
                },
                self.job.request.caller_attempt_id,
                self.source.attempt.upstream,
                self.cursor.last(),
            );
            if timed_out && self.time_left().is_zero() {
                return Err(error);
            }
            let last = self.cursor.last();
            let resuming =
                async { Continuation::Other(self.resumption.resume(last).await.map(Box::new)) };
            let continuation = if timed_out {
                let returning = async { Continuation::Same(self.source.next_frame().await) };
                or(returning, resuming).await
            } else {
                resuming.await
            };
            match continuation {
                Continuation::Same(frame) => {
                    log::info!(
                        "event=silence_over request={} upstream={}",
                        self.job.request.caller_attempt_id,
                        self.source.attempt.upstream,
                    );
                    self.source.early = Some(frame);
                }
                Continuation::Other(Some(source)) => {
                    self.cursor.resume();
                    self.source = *source;
                }
                Continuation::Other(None) if timed_out => {}
                Continuation::Other(None) => return Err(error),
            }
        }
    }

    /// Returns the next complete events of this upstream; `None` at the end of the
    /// stream. Parts of an event don't prolong the wait.
    async fn next_events(&mut self, read_limit: ReadLimit) -> io::Result<Option<Bytes>> {
        let silent_since = self.gateway.now();
        loop {
            if let Some(error) = self.malformed.take() {
                let reason = format!("malformed event stream: {error:?}");
                let attempt = &self.source.attempt;
                attempt.record_failure(&self.gateway, &self.job, &reason);
                return Err(io::Error::other(reason));
            }
            let limit = self.limit_left(read_limit, silent_since);
            let frame = self.source.next_frame();
            let frame = match self.gateway.clock.timeout(limit, frame).await {
                Some(Some(Ok(frame))) => frame,
                Some(Some(Err(error))) => {
                    let reason = "connection lost while reading the event stream";
                    let attempt = &self.source.attempt;
                    attempt.record_broken(&self.gateway, &self.job, reason);
                    return Err(io::Error::other(error));
                }
                Some(None) if self.cursor.at_boundary() => {
                    return self.check_end().await;
                }
                Some(None) => {
                    let reason = "the event stream ended inside an event";
                    let attempt = &self.source.attempt;
                    attempt.record_broken(&self.gateway, &self.job, reason);
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                None => {
                    let reason = "no data on the event stream within the limit";
                    let attempt = &self.source.attempt;
                    attempt.record_silence(&self.gateway, &self.job, reason);
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

    fn limit_left(&self, read_limit: ReadLimit, silent_since: Instant) -> Duration {
        let left = self.time_left();
        let may_retry = || can_retry(&self.gateway, &self.job, self.resumption.sends);
        if read_limit == ReadLimit::Deadline || !may_retry() {
            return left;
        }
        let silent_for = self.gateway.now().saturating_duration_since(silent_since);
        let limit = stream_read_timeout(&self.job);
        limit.saturating_sub(silent_for).min(left)
    }

    /// Finds out whether a stream that ended between two events is whole. One without length
    /// or chunks ends in the same way if its upstream stops after the head or crashes.
    async fn check_end(&self) -> io::Result<Option<Bytes>> {
        let attempt = &self.source.attempt;
        if self.source.is_framed {
            record_sound_answer(&self.gateway, &self.job);
            return Ok(None);
        }
        if self.response_head.is_some() {
            let reason = "connection closed before the first event";
            attempt.record_broken(&self.gateway, &self.job, reason);
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if attempt.has_crashed_at_end(&self.gateway, &self.job).await {
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
        self.source.attempt.record_events(&self.gateway, &self.job);
    }

    fn time_left(&self) -> Duration {
        self.job.time_left(self.gateway.now())
    }
}

/// How long a read waits for a silent upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReadLimit {
    /// Until another upstream is to be tried, if one may be.
    Retry,
    /// Until the deadline, as another attempt runs beside this one.
    Deadline,
}

fn is_timeout(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::TimedOut
}

/// What continues a stream whose upstream fell silent.
enum Continuation {
    /// The same upstream sends again, or its connection ends.
    Same(NextFrame),
    /// Another upstream; `None` if no other can.
    Other(Option<Box<EventSource>>),
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
    AnswerBody::streamed(stream::unfold(Some(forwarder), |forwarder| async {
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
