//! Streams answers to callers.

use std::{
    io,
    pin::pin,
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
    resume::{EventSource, StreamResumption},
    state::Gateway,
};

/// Stream of server-sent events from an upstream to a caller.
pub(crate) struct StreamForwarder {
    reader: EventReader,
    resumption: StreamResumption,
    /// Head of the answer until it is returned, with the first event, to the caller.
    response_head: Option<Parts>,
    /// Whether the stream has ended with an error.
    ended: bool,
}

impl Drop for StreamForwarder {
    fn drop(&mut self) {
        log::info!(
            "event=stream_over request={} upstream={} sends={} last_event={:?} longest_gap_ms={}",
            self.reader.job.request.caller_attempt_id,
            self.reader.source.attempt.upstream,
            self.resumption.sends,
            self.reader.cursor.last(),
            self.reader.longest_gap.as_millis(),
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
        Self {
            reader: EventReader::new(gateway, job, source),
            resumption: StreamResumption::new(gateway, job),
            response_head: Some(response_head),
            ended: false,
        }
    }

    /// Waits for the first event and returns the stream as the answer. Until that
    /// event the whole request can still be retried at another upstream: beside this one if it
    /// is only silent.
    pub(crate) async fn into_outcome(mut self, race: RaceHandle) -> SendOutcome {
        self.resumption.sends = race.history().sends;
        let limit = self.read_limit();
        let mut first = self.reader.next_events(limit).await;
        if first.as_ref().is_err_and(is_timeout) && !self.reader.time_left().is_zero() {
            race.report_silence();
            first = self.reader.next_events(Duration::MAX).await;
        }
        let first = match first {
            Ok(first) => first,
            Err(error) => {
                log::debug!("event=no_first_event error=\"{error}\"");
                return SendOutcome::Lost;
            }
        };
        let attempt = &self.reader.source.attempt;
        self.resumption.take_over(&race, &attempt.upstream);
        attempt.record_first_event(&self.reader.gateway);
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

    /// Returns how long a silent upstream is read before another one is tried; without end if
    /// none may be.
    fn read_limit(&self) -> Duration {
        let EventReader { gateway, job, .. } = &self.reader;
        if can_retry(gateway, job, self.resumption.sends) {
            stream_read_timeout(job)
        } else {
            Duration::MAX
        }
    }

    /// Returns the next complete events. If the upstream disconnects or sends malformed events,
    /// another one continues the stream. If it is only silent (connection open, no error),
    /// whichever sends first continues it: this one, which is awaited until the deadline, or
    /// another one that may take over.
    async fn next_events_or_resume(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            let limit = self.read_limit();
            let error = match self.reader.next_events(limit).await {
                Ok(events) => return Ok(events),
                Err(error) => error,
            };
            let is_silent = is_timeout(&error);
            log::warn!(
                "event={} request={} upstream={} last_event={:?} error=\"{error}\"",
                if is_silent {
                    "stream_silent"
                } else {
                    "stream_broken"
                },
                self.reader.job.request.caller_attempt_id,
                self.reader.source.attempt.upstream,
                self.reader.cursor.last(),
            );
            let mut resuming = pin!(self.resumption.resume(self.reader.cursor.last()));
            let resumed = if !is_silent {
                resuming.await.ok_or(error)
            } else if self.reader.time_left().is_zero() {
                Err(error)
            } else {
                let returning =
                    async { Continuation::Same(self.reader.next_events(Duration::MAX).await) };
                let other = async { Continuation::Other(resuming.as_mut().await.map(Box::new)) };
                match or(returning, other).await {
                    Continuation::Same(Ok(events)) => {
                        log::info!(
                            "event=silence_over request={} upstream={}",
                            self.reader.job.request.caller_attempt_id,
                            self.reader.source.attempt.upstream,
                        );
                        return Ok(events);
                    }
                    Continuation::Same(Err(error)) => resuming.await.ok_or(error),
                    Continuation::Other(Some(source)) => Ok(*source),
                    // The silent upstream is read on.
                    Continuation::Other(None) => continue,
                }
            };
            self.reader.switch(resumed?);
        }
    }
}

/// What continues a stream whose upstream fell silent.
enum Continuation {
    /// Events of the same upstream, or its end.
    Same(io::Result<Option<Bytes>>),
    /// Another upstream; `None` if no other can.
    Other(Option<Box<EventSource>>),
}

fn is_timeout(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::TimedOut
}

/// Reads the events of one stream, which several upstreams may serve in turn.
struct EventReader {
    gateway: Rc<Gateway>,
    job: Rc<ForwardJob>,
    cursor: EventCursor,
    /// Why the upstream's bytes after the last returned events can't be forwarded.
    malformed: Option<EventError>,
    source: EventSource,
    /// When events were last returned; `None` before the first.
    last_event_at: Option<Instant>,
    /// Longest time between two groups of events.
    longest_gap: Duration,
}

impl EventReader {
    fn new(gateway: &Rc<Gateway>, job: &Rc<ForwardJob>, source: EventSource) -> Self {
        let last = job.request.resume_after.as_deref();
        Self {
            gateway: Rc::clone(gateway),
            job: Rc::clone(job),
            cursor: EventCursor::new(last.and_then(|id| id.parse().ok())),
            malformed: None,
            source,
            last_event_at: None,
            longest_gap: Duration::ZERO,
        }
    }

    /// Goes on with another upstream after the last complete event.
    fn switch(&mut self, source: EventSource) {
        self.cursor.resume();
        self.malformed = None;
        self.source = source;
    }

    /// Returns the next complete events of this upstream; `None` at the end of the
    /// stream. An error of [`io::ErrorKind::TimedOut`] says that none came within `limit` or
    /// until the deadline; parts of an event don't prolong the wait.
    async fn next_events(&mut self, limit: Duration) -> io::Result<Option<Bytes>> {
        let began = self.gateway.now();
        loop {
            if let Some(error) = self.malformed.take() {
                let reason = format!("malformed event stream: {error:?}");
                let attempt = &self.source.attempt;
                attempt.record_failure(&self.gateway, &self.job, &reason);
                return Err(io::Error::other(reason));
            }
            let elapsed = self.gateway.now().saturating_duration_since(began);
            let left = limit.saturating_sub(elapsed).min(self.time_left());
            let frame = self.source.next_frame();
            let frame = match self.gateway.clock.timeout(left, frame).await {
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

    /// Finds out whether a stream that ended between two events is whole. One without length
    /// or chunks ends in the same way if its upstream stops after the head or crashes.
    async fn check_end(&self) -> io::Result<Option<Bytes>> {
        let attempt = &self.source.attempt;
        if self.source.is_framed {
            record_sound_answer(&self.gateway, &self.job);
            return Ok(None);
        }
        if self.last_event_at.is_none() {
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
        if let Some(last_event_at) = self.last_event_at {
            let gap = now.saturating_duration_since(last_event_at);
            self.longest_gap = self.longest_gap.max(gap);
        }
        self.last_event_at = Some(now);
        self.source.attempt.record_events(&self.gateway, &self.job);
    }

    fn time_left(&self) -> Duration {
        self.job.time_left(self.gateway.now())
    }
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
