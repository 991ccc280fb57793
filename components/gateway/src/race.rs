//! Attempts of one request that are under way at the same time: the newest, and earlier ones
//! whose upstreams are silent but may still answer.
//!
//! Silence alone ends no attempt. It only allows another one, and the first answer counts.

use std::{
    cell::{Ref, RefCell, RefMut},
    future::{Future, poll_fn},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use futures_lite::future::or;
use types::UpstreamId;

use crate::{attempt::SendOutcome, held::HeldBody};

/// Outcome of a request's attempts so far.
#[derive(Debug, Default)]
pub(crate) struct AttemptHistory {
    /// Upstreams that were tried, which later placements avoid.
    pub(crate) tried: Vec<UpstreamId>,
    /// Attempts counted against the route's limit: those that had a connection to an
    /// upstream, pooled or new. [`StreamForwarder`](crate::relay::StreamForwarder) goes on
    /// from this number and adds every attempt to resume the stream.
    pub(crate) sends: u32,
    /// Whether any upstream may have run the request.
    pub(crate) may_have_run: bool,
    /// Whether a retry was taken from the budget and not used, as nothing was sent.
    pub(crate) holds_retry: bool,
    /// Latest complete server error (5xx) of an upstream.
    pub(crate) last_answer: Option<(http::response::Parts, Rc<HeldBody>)>,
    /// Time until the first upstream takes requests again, if all asked for a pause.
    pub(crate) pause_left: Option<Duration>,
    /// Time after which another node may take the request, if this one is cut off.
    pub(crate) cut_off_left: Option<Duration>,
    /// Time until the request's quarantine ends, if it has crashed upstreams.
    pub(crate) quarantine_left: Option<Duration>,
    /// Whether the upstream of the newest attempt was found to be silent.
    newest_is_silent: bool,
}

impl AttemptHistory {
    /// Records that an upstream was tried.
    pub(crate) fn record_tried(&mut self, upstream: UpstreamId) {
        if !self.tried.contains(&upstream) {
            self.tried.push(upstream);
        }
    }
}

/// What one attempt shares with the others of its request.
#[derive(Clone, Debug, Default)]
pub(crate) struct RaceHandle {
    history: Rc<RefCell<AttemptHistory>>,
}

impl RaceHandle {
    pub(crate) fn history(&self) -> Ref<'_, AttemptHistory> {
        self.history.borrow()
    }

    pub(crate) fn history_mut(&self) -> RefMut<'_, AttemptHistory> {
        self.history.borrow_mut()
    }

    /// Records that a request is sent; returns how often that was, for the route's limit.
    pub(crate) fn record_send(&self) -> u32 {
        let mut history = self.history.borrow_mut();
        history.sends += 1;
        history.holds_retry = false;
        history.sends
    }

    pub(crate) fn take_history(&self) -> AttemptHistory {
        self.history.take()
    }

    /// Reports that the upstream of the newest attempt has been silent for so long that another
    /// one may be tried beside it.
    pub(crate) fn report_silence(&self) {
        self.history.borrow_mut().newest_is_silent = true;
    }
}

/// Attempts of one request that are under way.
#[derive(Default)]
pub(crate) struct AttemptRace {
    /// Oldest first.
    running: Vec<RunningAttempt>,
    /// Whether the newest attempt is under way and its upstream not silent yet.
    awaits_newest: bool,
    handle: RaceHandle,
}

struct RunningAttempt {
    upstream: UpstreamId,
    outcome: Pin<Box<dyn Future<Output = SendOutcome>>>,
}

/// Upstream of an attempt that has ended, and its outcome.
pub(crate) type EndedAttempt = (UpstreamId, SendOutcome);

/// What comes first.
pub(crate) enum RaceStep<T> {
    /// An attempt has ended.
    Ended(EndedAttempt),
    /// The other future has.
    Other(T),
}

impl AttemptRace {
    pub(crate) fn handle(&self) -> &RaceHandle {
        &self.handle
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// Returns whether no further attempt is needed yet.
    pub(crate) fn awaits_newest(&self) -> bool {
        self.awaits_newest
    }

    /// Adds the newest attempt.
    pub(crate) fn add(
        &mut self,
        upstream: UpstreamId,
        outcome: impl Future<Output = SendOutcome> + 'static,
    ) {
        self.awaits_newest = true;
        self.handle.history_mut().newest_is_silent = false;
        self.running.push(RunningAttempt {
            upstream,
            outcome: Box::pin(outcome),
        });
    }

    /// Waits until an attempt or `other` ends, which is dropped otherwise.
    pub(crate) async fn next_end_or<T>(&mut self, other: impl Future<Output = T>) -> RaceStep<T> {
        let ended = async { RaceStep::Ended(poll_fn(|context| self.poll_end(context)).await) };
        or(ended, async { RaceStep::Other(other.await) }).await
    }

    /// Waits until an attempt ends; `None` if the newest one's upstream is silent first, which
    /// allows another attempt.
    pub(crate) async fn next_end_or_silence(&mut self) -> Option<EndedAttempt> {
        poll_fn(|context| {
            if let Poll::Ready(ended) = self.poll_end(context) {
                return Poll::Ready(Some(ended));
            }
            let mut history = self.handle.history_mut();
            if !history.newest_is_silent {
                return Poll::Pending;
            }
            self.awaits_newest = false;
            history.may_have_run = true;
            for attempt in &self.running {
                history.record_tried(attempt.upstream.clone());
            }
            Poll::Ready(None)
        })
        .await
    }

    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<EndedAttempt> {
        for index in 0..self.running.len() {
            let running = &mut self.running[index];
            if let Poll::Ready(outcome) = running.outcome.as_mut().poll(context) {
                let ended = self.running.remove(index);
                self.awaits_newest &= index < self.running.len();
                return Poll::Ready((ended.upstream, outcome));
            }
        }
        Poll::Pending
    }
}
