//! What an engine has to read, and until when.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// What an engine has to read.
#[derive(Debug, Default)]
pub(crate) struct ReadQueue {
    /// When each part will have been read, and the time that it takes.
    parts: VecDeque<(Instant, Duration)>,
}

impl ReadQueue {
    /// When all of it will have been read.
    pub(crate) fn until(&self) -> Option<Instant> {
        self.parts.back().map(|(until, _)| *until)
    }

    /// Adds a part that is read from `starts` on, or after the parts before it.
    pub(crate) fn add(&mut self, now: Instant, starts: Instant, part: Duration) {
        while self.parts.front().is_some_and(|(until, _)| *until <= now) {
            self.parts.pop_front();
        }
        let starts = self.until().map_or(starts, |until| until.max(starts));
        self.parts.push_back((starts + part, part));
    }

    /// Time that the rest takes of passes.
    pub(crate) fn unread(&self, now: Instant) -> Duration {
        let left = self.parts.iter().filter(|(until, _)| *until > now);
        left.map(|(until, part)| (*part).min(*until - now)).sum()
    }
}
