//! What a node believes of one watched table, how old that is, and who said
//! it.
//!
//! A freeze, a cut, an outage of the store and a restart are the same here:
//! the belief has an age, and what depends on it asks for that age.

use std::time::{Duration, Instant};

/// Who told the newest version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FeedSource {
    /// The store itself.
    Store,
    /// Another node.
    Peer,
}

/// Version and age of one watched table.
#[derive(Clone, Copy, Debug, Default)]
pub struct TableFreshness {
    version: Option<u64>,
    confirmed_at: Option<Instant>,
    store_answered_at: Option<Instant>,
    store_failing_since: Option<Instant>,
    store_recovered_at: Option<Instant>,
    /// When another node that follows the table last knew everything.
    peer_confirmed_at: Option<Instant>,
}

/// Age of another node's knowledge up to which it counts as following: its
/// feed's wait, its summary's pause, and one summary that was lost.
const FOLLOWER_TIMEOUT: Duration = Duration::from_millis(2200);
/// Time after an outage of the store within which missing entries may return.
const RETURN_GRACE: Duration = Duration::from_millis(2200);

impl TableFreshness {
    /// The version in force.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Notes that all changes up to `version` are known at `now`; returns
    /// whether anything older was known.
    pub fn confirm(&mut self, now: Instant, version: u64, source: FeedSource) -> bool {
        if source == FeedSource::Store {
            if self.store_failing_since.take().is_some() {
                self.store_recovered_at = Some(now);
            }
            self.store_answered_at = Some(now);
        }
        let is_newer = self.version.is_none_or(|known| known < version);
        if is_newer {
            self.version = Some(version);
        }
        if is_newer || self.version == Some(version) {
            self.confirmed_at = Some(now);
        }
        is_newer
    }

    /// Notes that the store did not answer.
    pub fn record_failure(&mut self, now: Instant) {
        self.store_failing_since.get_or_insert(now);
    }

    /// Notes that another node knew everything at `at`, and would have told.
    pub fn record_follower(&mut self, at: Instant) {
        self.peer_confirmed_at = self.peer_confirmed_at.max(Some(at));
    }

    /// Whether another node follows the table, so that this one needn't.
    #[must_use]
    pub fn has_follower(&self, now: Instant) -> bool {
        self.peer_confirmed_at
            .is_some_and(|at| now.saturating_duration_since(at) < FOLLOWER_TIMEOUT)
    }

    /// Time since the store itself confirmed; `None` when it never did or
    /// does not answer.
    #[must_use]
    pub fn store_age(&self, now: Instant) -> Option<Duration> {
        let answered = self.store_answered_at.filter(|_| !self.is_failing())?;
        Some(now.saturating_duration_since(answered))
    }

    /// Time since everything was known; `None` when nothing ever was.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.confirmed_at?))
    }

    /// Whether the store did not answer the last call.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.store_failing_since.is_some()
    }

    /// Until when entries may be missing only because the store was away;
    /// `None` when a missing entry is gone.
    #[must_use]
    pub fn grace_until(&self, now: Instant) -> Option<Instant> {
        let until = self.store_recovered_at? + RETURN_GRACE;
        (now < until).then_some(until)
    }
}
