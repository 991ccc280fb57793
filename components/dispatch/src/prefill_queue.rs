//! Queue of the prompt shards that an engine has to prefill.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Shards that an engine has to prefill, with the estimated time at which each
/// is done.
#[derive(Debug, Default)]
pub(crate) struct PrefillQueue {
    /// When each shard will be prefilled, and the time that its prefill takes.
    shards: VecDeque<(Instant, Duration)>,
}

impl PrefillQueue {
    /// When the last shard will be prefilled; `None` when the queue is empty.
    pub(crate) fn finishes_at(&self) -> Option<Instant> {
        self.shards.back().map(|(finishes_at, _)| *finishes_at)
    }

    /// Adds a shard whose prefill starts at `starts_at`, or later when the shards
    /// before it take longer. The estimate assumes first in, first out, although
    /// engines prefill the newest shard for another engine first. Also drops the shards that are done
    /// by `now`.
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

    /// Prefill time of the shards that are not done yet, without the time spent
    /// waiting for passes.
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
