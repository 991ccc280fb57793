//! What a node believes of each upstream: its own entry, and what calls show.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use types::{ServiceName, UpstreamId, ZoneId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time an upstream is left out after its first failure in a row.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(400);
/// Longest time an upstream is left out for failures.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(8);
/// Weight of the newest outcome in the failure average.
const OUTCOME_WEIGHT: f64 = 0.2;
/// Time in which the failure average halves without calls.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Failure average above which an upstream is left out while others are below.
const MAX_FAILURE_SHARE: f64 = 0.25;
/// Pace above which an upstream is left out while others are below: slower
/// than a queue of usual length makes it.
const MAX_SLOWDOWN: f64 = 3.0;
/// Weight of the newest answer in the moving pace.
const SLOWDOWN_WEIGHT: f64 = 0.4;

/// What an upstream or the directory says of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamEntry {
    /// Names one life of the upstream, mostly.
    pub id: UpstreamId,
    /// Service it belongs to.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Availability zone it runs in.
    pub zone: ZoneId,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// Start of its process, in Unix milliseconds, where it says so.
    pub started_ms: Option<u64>,
    /// Version of the directory that the entry was written in.
    pub version: u64,
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamState {
    /// It takes new work.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// An entry with the evidence of calls to it.
#[derive(Clone, Debug)]
pub struct UpstreamHealth {
    /// The newest entry.
    pub entry: UpstreamEntry,
    /// Failures in a row.
    consecutive_failures: u32,
    /// Moving share of calls that failed, 0 to 1, as of `share_at`.
    failure_share: f64,
    failure_share_at: Option<Instant>,
    /// Moving ratio of the time to the first event over the time expected,
    /// as of `pace_at`.
    slowdown: f64,
    slowdown_at: Option<Instant>,
    /// Until when it is left out.
    ejected_until: Option<Instant>,
    /// Until when a lapsed entry still counts.
    grace_until: Option<Instant>,
}

/// All upstreams that the directory lists.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    upstreams: HashMap<UpstreamId, UpstreamHealth>,
}

impl UpstreamHealth {
    fn new(entry: UpstreamEntry) -> Self {
        Self {
            entry,
            consecutive_failures: 0,
            failure_share: 0.0,
            failure_share_at: None,
            slowdown: 1.0,
            slowdown_at: None,
            ejected_until: None,
            grace_until: None,
        }
    }

    /// Whether failures keep it out at `now`.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Moving share of calls that failed, 0 to 1; it fades, so that the
    /// upstream is tried again.
    #[must_use]
    pub fn failure_share(&self, now: Instant) -> f64 {
        let Some(at) = self.failure_share_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.failure_share * 0.5f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    /// How much slower than expected it answers; it fades to 1, so that the
    /// upstream is tried again.
    #[must_use]
    pub fn slowdown(&self, now: Instant) -> f64 {
        let Some(at) = self.slowdown_at else {
            return 1.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        1.0 + (self.slowdown - 1.0) * 0.5f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    fn is_healthy(&self, now: Instant) -> bool {
        self.failure_share(now) < MAX_FAILURE_SHARE && self.slowdown(now) < MAX_SLOWDOWN
    }

    fn record_outcome(&mut self, now: Instant, failed: f64) {
        let share = self.failure_share(now);
        self.failure_share = share + OUTCOME_WEIGHT * (failed - share);
        self.failure_share_at = Some(now);
    }
}

impl UpstreamTable {
    /// Takes over a new or changed entry, unless a newer one is known.
    pub fn upsert(&mut self, entry: UpstreamEntry) {
        match self.upstreams.get_mut(&entry.id) {
            Some(health) if health.entry.version > entry.version => {}
            Some(health) if health.entry.started_ms == entry.started_ms => {
                health.entry = entry;
                health.grace_until = None;
            }
            // A new life under the old id has none of the old one's record.
            _ => {
                self.upstreams
                    .insert(entry.id.clone(), UpstreamHealth::new(entry));
            }
        }
    }

    /// Forgets an upstream whose entry is gone; until `lapse` it still counts,
    /// where its entry may have run out only because the directory was away.
    pub fn remove(&mut self, id: &str, grace_until: Option<Instant>) {
        match (grace_until, self.upstreams.get_mut(id)) {
            (Some(until), Some(health)) => health.grace_until = Some(until),
            _ => {
                self.upstreams.remove(id);
            }
        }
    }

    /// Takes over from another node that an upstream leaves, as of `version`
    /// of the directory; returns whether that is news.
    pub fn record_draining(&mut self, id: &str, version: u64) -> bool {
        let Some(health) = self.upstreams.get_mut(id) else {
            return false;
        };
        if health.entry.version >= version || health.entry.state == UpstreamState::Draining {
            return false;
        }
        health.entry.state = UpstreamState::Draining;
        health.entry.version = version;
        true
    }

    /// Replaces everything by a whole listing; `lapse` as in
    /// [`remove`](Self::remove).
    pub fn replace(&mut self, entries: Vec<UpstreamEntry>, grace_until: Option<Instant>) {
        let listed: Vec<UpstreamId> = entries.iter().map(|entry| entry.id.clone()).collect();
        let absent: Vec<UpstreamId> = self
            .upstreams
            .keys()
            .filter(|id| !listed.contains(id))
            .cloned()
            .collect();
        for id in absent {
            self.remove(&id, grace_until);
        }
        for entry in entries {
            self.upsert(entry);
        }
    }

    /// Drops lapsed entries that did not come back; returns their ids.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<UpstreamId> {
        let is_due = |health: &UpstreamHealth| health.grace_until.is_some_and(|at| at <= now);
        let gone: Vec<UpstreamId> = self
            .upstreams
            .iter()
            .filter(|(_, health)| is_due(health))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.upstreams.remove(id);
        }
        gone
    }

    /// Equal at two nodes that know the same upstreams to take new work, in the
    /// same lives. Entries that may come back after an outage don't count.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let ready = self.upstreams.values().filter(|health| {
            health.grace_until.is_none() && health.entry.state == UpstreamState::Ready
        });
        let hashes = ready.map(|health| {
            let started = health.entry.started_ms.unwrap_or_default();
            xxh3_64_with_seed(health.entry.id.as_bytes(), started)
        });
        hashes.fold(0, u64::wrapping_add)
    }

    /// One upstream.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&UpstreamHealth> {
        self.upstreams.get(id)
    }

    /// The upstream at `address`.
    #[must_use]
    pub fn find_by_address(&self, address: SocketAddr) -> Option<&UpstreamHealth> {
        let mut upstreams = self.upstreams.values();
        upstreams.find(|health| health.entry.address == address)
    }

    /// Ids of all listed upstreams.
    pub fn ids(&self) -> impl Iterator<Item = &UpstreamId> {
        self.upstreams.keys()
    }

    /// Whether none is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Upstreams of `service` that may get new work, without those in
    /// `excluded`. Ejected ones are left out while others remain.
    #[must_use]
    pub fn selectable(
        &self,
        now: Instant,
        service: &str,
        excluded: &[UpstreamId],
    ) -> Vec<&UpstreamHealth> {
        let mut ready: Vec<&UpstreamHealth> = self
            .upstreams
            .values()
            .filter(|health| health.entry.service == service)
            .filter(|health| health.entry.state == UpstreamState::Ready)
            .filter(|health| !excluded.contains(&health.entry.id))
            .collect();
        ready.sort_by(|one, other| one.entry.id.cmp(&other.entry.id));
        let healthy: Vec<&UpstreamHealth> = ready
            .iter()
            .copied()
            .filter(|health| !health.is_ejected(now) && health.is_healthy(now))
            .collect();
        // Where most fail, the cause is not theirs, and all of them count.
        if healthy.len() * 2 < ready.len() {
            ready.retain(|health| !health.is_ejected(now) || healthy.is_empty());
            ready
        } else {
            healthy
        }
    }

    /// Notes a call that the upstream served.
    pub fn record_success(&mut self, now: Instant, id: &str) {
        if let Some(health) = self.upstreams.get_mut(id) {
            health.consecutive_failures = 0;
            health.ejected_until = None;
            health.record_outcome(now, 0.0);
        }
    }

    /// Notes an answer that took `ratio` times as long as expected.
    pub fn record_slowdown(&mut self, now: Instant, id: &str, ratio: f64) {
        if let Some(health) = self.upstreams.get_mut(id) {
            let slowdown = health.slowdown(now);
            health.slowdown = slowdown + SLOWDOWN_WEIGHT * (ratio - slowdown);
            health.slowdown_at = Some(now);
        }
    }

    /// Notes a call that failed; the upstream is left out for a while that
    /// doubles with each failure in a row.
    pub fn record_failure(&mut self, now: Instant, id: &str) {
        if let Some(health) = self.upstreams.get_mut(id) {
            let backoff =
                BASE_EJECTION_TIME * 2u32.saturating_pow(health.consecutive_failures.min(8));
            health.consecutive_failures = health.consecutive_failures.saturating_add(1);
            health.record_outcome(now, 1.0);
            health.ejected_until = Some(now + backoff.min(MAX_EJECTION_TIME));
        }
    }
}
