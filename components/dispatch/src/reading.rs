//! What an engine has to read, and until when.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// What an engine has to read.
#[derive(Debug, Default)]
pub(crate) struct PrefillQueue {
    /// When each part will have been read, and the time that it takes.
    shards: VecDeque<(Instant, Duration)>,
}

impl PrefillQueue {
    /// When all of it will have been read.
    pub(crate) fn finishes_at(&self) -> Option<Instant> {
        self.shards.back().map(|(until, _)| *until)
    }

    /// Adds a part that is read from `starts` on, or after the parts before it.
    pub(crate) fn push_shard(&mut self, now: Instant, starts: Instant, part: Duration) {
        while self.shards.front().is_some_and(|(until, _)| *until <= now) {
            self.shards.pop_front();
        }
        let starts = self.finishes_at().map_or(starts, |until| until.max(starts));
        self.shards.push_back((starts + part, part));
    }

    /// Time that the rest takes of passes.
    pub(crate) fn remaining_work(&self, now: Instant) -> Duration {
        let left = self.shards.iter().filter(|(until, _)| *until > now);
        left.map(|(until, part)| (*part).min(*until - now)).sum()
    }
}
