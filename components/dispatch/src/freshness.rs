//! Version and age of a node's copy of one watched table.
//!
//! A paused process, a network partition, an outage of the store and a restart
//! are handled alike: the copy has an age, and code that depends on the copy
//! checks that age.
//!
//! Only a few nodes, the store pollers, poll a table in the store all the time. The
//! others get their copies from a relay, with the time since the store confirmed
//! them to a store poller. While that is short, a node need not poll.

use std::time::{Duration, Instant};

/// Where a version of a table came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VersionSource {
    /// Read from the store.
    Store,
    /// Received from another node.
    Peer,
}

/// Version and age of this node's copy of one watched table.
#[derive(Clone, Copy, Debug, Default)]
pub struct TableFreshness {
    version: Option<u64>,
    confirmed_at: Option<Instant>,
    store_answered_at: Option<Instant>,
    store_failing_since: Option<Instant>,
    store_recovered_at: Option<Instant>,
    /// When a store poller was last up to date.
    peer_confirmed_at: Option<Instant>,
}

/// Time after its last answer from the store for which a node counts as polling it.
const OWN_POLL_TIMEOUT: Duration = Duration::from_millis(2200);
/// Time by which a confirmation seems later when relays have told it each other: its age
/// does not count the way, which would make copies look fresh that nobody confirms.
const ECHO_TIME: Duration = Duration::from_millis(50);
/// Time after an outage of the store during which missing entries may still
/// come back.
const RETURN_GRACE: Duration = Duration::from_millis(2200);

impl TableFreshness {
    /// The newest known version; `None` before the first one.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Records that all changes up to `version` are known at `now`; returns
    /// whether this version is newer than the one known before. An older version
    /// than the known one doesn't renew the copy's age.
    pub fn confirm(&mut self, now: Instant, version: u64, source: VersionSource) -> bool {
        if source == VersionSource::Store {
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

    /// Records that the store did not answer.
    pub fn record_failure(&mut self, now: Instant) {
        self.store_failing_since.get_or_insert(now);
    }

    /// Records that a store poller was up to date at `at`; it would have announced
    /// any change. A time that is hardly later than the known one is ignored.
    pub fn record_store_poller(&mut self, at: Instant) {
        let known = self.peer_confirmed_at;
        if known.is_none_or(|known| at.saturating_duration_since(known) > ECHO_TIME) {
            self.peer_confirmed_at = Some(at);
        }
    }

    /// Whether a store poller watches the table in the store, so that this node
    /// need not poll it. `timeout` is that of [`store_poller_timeout`].
    #[must_use]
    pub fn has_store_poller(&self, now: Instant, timeout: Duration) -> bool {
        self.peer_confirmed_at
            .is_some_and(|at| now.saturating_duration_since(at) < timeout)
    }

    /// Time since the store itself last answered; `None` when it never did or
    /// has not answered the last call.
    #[must_use]
    pub fn store_age(&self, now: Instant) -> Option<Duration> {
        let answered = self.store_answered_at.filter(|_| !self.is_failing())?;
        Some(now.saturating_duration_since(answered))
    }

    /// Whether this node polls the store, with success.
    #[must_use]
    pub fn polls_store(&self, now: Instant) -> bool {
        self.store_age(now)
            .is_some_and(|age| age < OWN_POLL_TIMEOUT)
    }

    /// Time since the store last confirmed the copy, to this node or to a store poller
    /// that it has the copy from; `None` when it never did.
    #[must_use]
    pub fn confirmed_age(&self, now: Instant) -> Option<Duration> {
        let own = self.store_answered_at.filter(|_| !self.is_failing());
        let confirmed_at = own.max(self.peer_confirmed_at)?;
        Some(now.saturating_duration_since(confirmed_at))
    }

    /// Time since the copy was last known to be complete; `None` when it never
    /// was.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let confirmed_at = self.confirmed_at.max(self.peer_confirmed_at)?;
        Some(now.saturating_duration_since(confirmed_at))
    }

    /// Whether the store did not answer the last call.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.store_failing_since.is_some()
    }

    /// Until when an entry may be missing only because of an outage of the
    /// store; `None` when a missing entry has really been removed.
    #[must_use]
    pub fn grace_until(&self, now: Instant) -> Option<Instant> {
        let until = self.store_recovered_at? + RETURN_GRACE;
        (now < until).then_some(until)
    }
}
