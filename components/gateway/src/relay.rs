//! Passes answers on as they arrive, and goes on with a broken stream
//! elsewhere.

use std::{
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_lite::stream;
use http::{Response, response::Parts};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use types::UpstreamId;

use crate::{
    EventCursor,
    answer::AnswerBody,
    attempt::{SendOutcome, could_repeat, stream_silence, take_resume},
    client::ClientConnection,
    forward::ForwardJob,
    leg::{Leg, clean_headers},
    place::place_again,
    state::Gateway,
};

/// Time for the head of the answer that a stream goes on with.
const RESUME_TIME: Duration = Duration::from_millis(900);

/// A stream of events on its way to a caller.
pub(crate) struct StreamRelay {
    gateway: Rc<Gateway>,
    job: Rc<ForwardJob>,
    cursor: EventCursor,
    parts: Option<Parts>,
    body: Incoming,
    leg: Leg,
    connection: ClientConnection,
    tried: Vec<UpstreamId>,
    sends: u32,
    ended: bool,
    last_event: Instant,
    longest_gap: Duration,
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        log::info!(
            "event=stream_over request={} upstream={} sends={} last_event={:?} longest_gap_ms={}",
            self.job.call.attempt,
            self.leg.upstream,
            self.sends,
            self.cursor.last(),
            self.longest_gap.as_millis(),
        );
    }
}

impl StreamRelay {
    pub(crate) fn new(
        gateway: &Rc<Gateway>,
        job: &Rc<ForwardJob>,
        leg: Leg,
        connection: ClientConnection,
        response: Response<Incoming>,
        sends: u32,
    ) -> Self {
        let (mut parts, body) = response.into_parts();
        clean_headers(&mut parts.headers);
        // Another upstream may end the stream, so its length isn't known.
        parts.headers.remove(http::header::CONTENT_LENGTH);
        let last = job.call.resume_after.as_deref();
        Self {
            cursor: EventCursor::new(last.and_then(|id| id.parse().ok())),
            gateway: Rc::clone(gateway),
            job: Rc::clone(job),
            parts: Some(parts),
            body,
            tried: vec![leg.upstream.clone()],
            leg,
            connection,
            sends,
            ended: false,
            last_event: gateway.now(),
            longest_gap: Duration::ZERO,
        }
    }

    /// Waits for the first event, since until then the request may still be
    /// sent elsewhere as a whole, and answers with the stream.
    pub(crate) async fn into_outcome(mut self) -> SendOutcome {
        let first = match self.next_events().await {
            Ok(first) => first,
            Err(error) => {
                log::debug!("event=no_first_event error=\"{error}\"");
                return SendOutcome::Lost;
            }
        };
        self.leg.note_first_event(&self.gateway);
        let Some(parts) = self.parts.take() else {
            return SendOutcome::Lost;
        };
        let Some(first) = first else {
            return SendOutcome::Answered(Response::from_parts(
                parts,
                AnswerBody::from(Bytes::new()),
            ));
        };
        let rest = stream::unfold(self, |mut relay| async move {
            if relay.ended {
                return None;
            }
            match relay.next_or_resume().await {
                Ok(Some(events)) => Some((Ok(events), relay)),
                Ok(None) => None,
                Err(error) => {
                    relay.ended = true;
                    Some((Err(error), relay))
                }
            }
        });
        let events = stream::StreamExt::chain(stream::once(Ok(first)), rest);
        SendOutcome::Answered(Response::from_parts(parts, AnswerBody::passed(events)))
    }

    /// The next whole events, from another upstream where this one broke off
    /// or is silent; silence is waited out where nobody else may go on.
    async fn next_or_resume(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            let error = match self.next_events().await {
                Ok(events) => return Ok(events),
                Err(error) => error,
            };
            let silent = error.kind() == io::ErrorKind::TimedOut;
            log::warn!(
                "event=stream_broken request={} upstream={} last_event={:?} error=\"{error}\"",
                self.job.call.attempt,
                self.leg.upstream,
                self.cursor.last(),
            );
            if silent && self.time_left().is_zero() {
                return Err(error);
            }
            let resumed = self.resume().await;
            if !resumed && !silent {
                return Err(error);
            }
        }
    }

    /// The next whole events; `None` at the stream's end.
    async fn next_events(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            let left = self.time_left();
            let limit = if could_repeat(&self.gateway, &self.job, self.sends) {
                stream_silence(&self.job).min(left)
            } else {
                left
            };
            let frame = self.gateway.clock.timeout(limit, self.body.frame());
            let frame = match frame.await {
                Some(Some(Ok(frame))) => frame,
                Some(Some(Err(error))) => {
                    self.leg.note_crash(&self.gateway, &self.job, "stream cut");
                    return Err(io::Error::other(error));
                }
                Some(None) if self.cursor.at_border() => return Ok(None),
                Some(None) => return Err(io::ErrorKind::UnexpectedEof.into()),
                None => {
                    self.leg
                        .note_failure(&self.gateway, &self.job, "stream silent");
                    return Err(io::ErrorKind::TimedOut.into());
                }
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let events = self
                .cursor
                .push(&data)
                .map_err(|fault| io::Error::other(format!("{fault:?}")))?;
            if !events.is_empty() {
                self.note_events();
                return Ok(Some(events));
            }
        }
    }

    fn note_events(&mut self) {
        let now = self.gateway.now();
        if self.parts.is_none() {
            let gap = now.saturating_duration_since(self.last_event);
            self.longest_gap = self.longest_gap.max(gap);
        }
        self.last_event = now;
    }

    /// Has another upstream go on after the last whole event, if one can.
    async fn resume(&mut self) -> bool {
        while take_resume(&self.gateway, &self.job, self.sends) {
            self.sends += 1;
            if self.resume_once().await {
                return true;
            }
        }
        false
    }

    async fn resume_once(&mut self) -> bool {
        let Some(placed) = place_again(&self.gateway, &self.job, &self.tried) else {
            return false;
        };
        self.tried.push(placed.upstream.clone());
        let Some(mut leg) = Leg::start(&self.gateway, &self.job, &placed) else {
            return false;
        };
        let reserved = leg
            .reserve(&self.gateway, &self.job, &placed.memory_shares)
            .await;
        if reserved.is_err() {
            return false;
        }
        let last = self.cursor.last().map(|id| id.to_string());
        let Ok(request) = leg.request(&self.gateway, &self.job, last.as_deref()) else {
            return false;
        };
        let mut connection = match leg.connect(&self.gateway, &self.job).await {
            Ok(connection) => connection,
            Err(error) => {
                leg.note_failure(&self.gateway, &self.job, &error.to_string());
                return false;
            }
        };
        let limit = (RESUME_TIME + placed.prefill_time * 2).min(self.time_left());
        let answer = self.gateway.clock.timeout(limit, connection.send(request));
        let Some(Ok(response)) = answer.await else {
            leg.note_failure(&self.gateway, &self.job, "no answer to resume");
            return false;
        };
        let head = self
            .gateway
            .dialect
            .read_answer(response.status(), response.headers());
        let own = head.attempt.is_none_or(|one| one == self.job.call.attempt);
        if !response.status().is_success() || !head.signed || !own {
            leg.note_shed(&self.gateway);
            return false;
        }
        log::info!(
            "event=stream_resumed request={} upstream={} last_event={last:?}",
            self.job.call.attempt,
            leg.upstream,
        );
        self.cursor.resume();
        self.body = response.into_body();
        self.leg = leg;
        self.connection = connection;
        true
    }

    fn time_left(&self) -> Duration {
        self.job.time_left(self.gateway.now())
    }
}

/// Passes on a long plain answer until `deadline`.
pub(crate) fn relay_plain(
    gateway: Rc<Gateway>,
    body: Incoming,
    leg: Leg,
    connection: ClientConnection,
    deadline: Instant,
) -> AnswerBody {
    let state = Some((gateway, body, leg, connection));
    AnswerBody::passed(stream::unfold(state, move |state| async move {
        let (gateway, mut body, leg, connection) = state?;
        let left = deadline.saturating_duration_since(gateway.now());
        match gateway.clock.timeout(left, body.frame()).await {
            Some(Some(Ok(frame))) => {
                let data = frame.into_data().unwrap_or_default();
                Some((Ok(data), Some((gateway, body, leg, connection))))
            }
            Some(None) => None,
            Some(Some(Err(error))) => Some((Err(io::Error::other(error)), None)),
            None => Some((Err(io::ErrorKind::TimedOut.into()), None)),
        }
    }))
}
