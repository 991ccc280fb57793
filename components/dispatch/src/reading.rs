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
        self.shards.back().map(|(finishes_at, _)| *finishes_at)
    }

    /// Adds a part that is read from `starts` on, or after the parts before it.
    pub(crate) fn push_shard(&mut self, now: Instant, starts_at: Instant, shard_time: Duration) {
        while self
            .shards
            .front()
            .is_some_and(|(finishes_at, _)| *finishes_at <= now)
        {
            self.shards.pop_front();
        }
        let starts_at = self
            .finishes_at()
            .map_or(starts_at, |finishes_at| finishes_at.max(starts_at));
        self.shards.push_back((starts_at + shard_time, shard_time));
    }

    /// Time that the rest takes of passes.
    pub(crate) fn remaining_work(&self, now: Instant) -> Duration {
        let pending = self
            .shards
            .iter()
            .filter(|(finishes_at, _)| *finishes_at > now);
        pending
            .map(|(finishes_at, shard_time)| (*shard_time).min(*finishes_at - now))
            .sum()
    }
}
