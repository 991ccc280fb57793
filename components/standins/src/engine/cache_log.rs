//! Log of KV cache events that delivers them late and with gaps, to test how
//! readers cope.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use model::CacheSlice;
use types::CacheEvent;
use upstream::CacheBatch;

// Maximum length of the log; beyond it the oldest events are dropped.
const MAX_LOGGED_EVENTS: usize = 8_192;

#[derive(Clone, Copy, Debug)]
struct LoggedEvent {
    number: u64,
    readable_at: Instant,
    event: CacheEvent,
}

/// The logged cache events, including those that cannot be read yet.
#[derive(Debug, Default)]
pub(crate) struct CacheLog {
    events: VecDeque<LoggedEvent>,
    // Number of the next event to fetch from the simulation.
    next: u64,
}

impl CacheLog {
    pub(crate) fn next_number(&self) -> u64 {
        self.next
    }

    /// Appends the events of `slice`. Every `gap_every`-th event is dropped along
    /// with all logged events before it; 0 drops none.
    pub(crate) fn record(&mut self, slice: CacheSlice, readable_at: Instant, gap_every: u64) {
        for (number, event) in (slice.first..).zip(slice.events) {
            if gap_every > 0 && number % gap_every == gap_every - 1 {
                self.events.clear();
                continue;
            }
            self.events.push_back(LoggedEvent {
                number,
                readable_at,
                event,
            });
        }
        self.next = slice.next;
        while self.events.len() > MAX_LOGGED_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events that are readable at `now`, from event number `from` on,
    /// inclusive.
    pub(crate) fn batch(&self, from: u64, now: Instant) -> CacheBatch {
        let readable: Vec<&LoggedEvent> = self
            .events
            .iter()
            .filter(|logged| logged.number >= from && logged.readable_at <= now)
            .collect();
        let first = readable.first().map_or(from, |logged| logged.number);
        let next = readable.last().map_or(from, |logged| logged.number + 1);
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
