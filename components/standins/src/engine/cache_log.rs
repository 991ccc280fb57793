//! Cache events as they reach readers: late and with gaps.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use model::CacheSlice;
use types::CacheEvent;
use upstream::CacheBatch;

const LOG_EVENTS: usize = 8_192;

#[derive(Clone, Copy, Debug)]
struct LoggedEvent {
    place: u64,
    readable: Instant,
    event: CacheEvent,
}

/// The cache events that readers may still get.
#[derive(Debug, Default)]
pub(crate) struct CacheLog {
    events: VecDeque<LoggedEvent>,
    // Place to ask the model from next time.
    next: u64,
}

impl CacheLog {
    pub(crate) fn next(&self) -> u64 {
        self.next
    }

    /// Adds what the model recorded. Every `gap_every`-th event is lost, with
    /// all before it; 0 loses none.
    pub(crate) fn record(&mut self, slice: CacheSlice, readable: Instant, gap_every: u64) {
        for (place, event) in (slice.first..).zip(slice.events) {
            if gap_every > 0 && place % gap_every == gap_every - 1 {
                self.events.clear();
                continue;
            }
            self.events.push_back(LoggedEvent {
                place,
                readable,
                event,
            });
        }
        self.next = slice.next;
        while self.events.len() > LOG_EVENTS {
            self.events.pop_front();
        }
    }

    /// What a reader gets at `now` from place `after` on.
    pub(crate) fn batch(&self, after: u64, now: Instant) -> CacheBatch {
        let readable: Vec<&LoggedEvent> = self
            .events
            .iter()
            .filter(|logged| logged.place >= after && logged.readable <= now)
            .collect();
        let first = readable.first().map_or(after, |logged| logged.place);
        let next = readable.last().map_or(after, |logged| logged.place + 1);
        CacheBatch {
            first,
            next,
            events: readable.iter().map(|logged| logged.event).collect(),
        }
    }

    pub(crate) fn readable_at(now: Instant, delay_ms: u64) -> Instant {
        now + Duration::from_millis(delay_ms)
    }
}
