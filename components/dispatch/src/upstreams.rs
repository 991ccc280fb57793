//! Tracks the upstreams in the directory and their health as observed by this
//! node's calls. Ejects an upstream for a time after each failed call. Also leaves
//! out those with a high failure share or slow first events while enough others
//! are healthy.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use types::{ServiceName, UpstreamId, ZoneId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    ColdChange, ColdClaim, ColdSpec, ColdTolerance, EvacuationTable, FleetShare, RateNotice,
    cold::ColdRecord, rate_limit::RateLimit,
};

/// Time for which an upstream is ejected after its first failure since a
/// success.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(400);
/// Longest time for which an upstream is ejected after a failure.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(8);
/// Weight of the newest outcome in the moving average of failures.
const OUTCOME_WEIGHT: f64 = 0.2;
/// Half-life of the decay of the failure share to 0, and of the slowdown to 1,
/// without calls.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// Failure share from which an upstream is left out while at least half of the
/// candidates are healthy.
const MAX_FAILURE_SHARE: f64 = 0.25;
/// Ratio of the actual to the expected time to the first event from which an
/// upstream is left out while at least half of the candidates are healthy. A queue
/// of usual length causes a smaller ratio.
const MAX_SLOWDOWN: f64 = 3.0;
/// Time for which an upstream that says it leaves counts as leaving, whatever its entry
/// says; far longer than one takes to leave.
const LEAVING_MEMORY: Duration = Duration::from_mins(10);
/// Time for which the removal of an upstream is remembered.
const REMOVAL_MEMORY: Duration = Duration::from_mins(2);
/// Time for which the rate of an unlisted process is remembered; entries lag far less.
const EARLY_RATE_MEMORY: Duration = Duration::from_mins(1);
/// Time after its first upstream in which a table fills; an upstream whose start is not
/// known, and which appears later, counts as new.
const FILL_TIME: Duration = Duration::from_secs(2);
/// Weight of the newest answer in the moving average of the slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.4;

/// Directory entry of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct UpstreamEntry {
    /// Id of the upstream; usually a new one after each restart.
    pub id: UpstreamId,
    /// Service that the upstream runs.
    pub service: ServiceName,
    /// Address at which the upstream takes requests.
    pub address: SocketAddr,
    /// Availability zone in which the upstream runs.
    pub zone: ZoneId,
    /// Number of requests that the upstream runs at once.
    pub slots: u32,
    /// Whether the upstream takes new work.
    pub state: UpstreamState,
    /// Start of the upstream's process, in Unix milliseconds; `None` when the
    /// upstream does not publish it.
    pub started_ms: Option<u64>,
    /// Version of the directory in which the entry was written.
    pub version: u64,
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum UpstreamState {
    /// The upstream takes new work.
    Ready,
    /// The upstream finishes its running requests and then leaves.
    Draining,
}

/// An upstream's entry, with its health as observed by this node's calls.
#[derive(Clone, Debug)]
pub struct UpstreamHealth {
    /// The newest directory entry.
    pub entry: UpstreamEntry,
    /// Number of consecutive failures.
    consecutive_failures: u32,
    /// Moving average of the share of calls that failed, 0 to 1, as of
    /// `failure_share_at`.
    failure_share: f64,
    failure_share_at: Option<Instant>,
    /// Moving average of the time to the first event divided by the expected
    /// time, as of `slowdown_at`.
    slowdown: f64,
    slowdown_at: Option<Instant>,
    /// Until when the upstream is ejected.
    ejected_until: Option<Instant>,
    /// Until when the upstream stays selectable although its entry has expired.
    grace_until: Option<Instant>,
    /// Rate of requests that the upstream takes from all nodes.
    rate_limit: RateLimit,
    /// What is known of its warm-up.
    cold: ColdRecord,
    /// When it last accepted a connection of this node.
    reached_at: Option<Instant>,
}

/// All upstreams in the directory, and those in their grace time.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    upstreams: HashMap<UpstreamId, UpstreamHealth>,
    /// Versions in which removed upstreams left the directory, so that late news of
    /// an older version doesn't bring them back.
    removed: HashMap<UpstreamId, (Instant, u64)>,
    /// Upstreams that said themselves that they leave, with the start of the process
    /// that said so.
    leaving: HashMap<UpstreamId, (Instant, Option<u64>)>,
    /// Until when upstreams asked this node for no requests.
    paused: HashMap<UpstreamId, Instant>,
    /// Rates of processes that the directory does not list yet.
    early_rates: HashMap<UpstreamId, (Instant, RateNotice)>,
    /// Zones whose upstreams get nothing new.
    evacuations: EvacuationTable,
    /// The latest process at each address.
    occupants: HashMap<SocketAddr, UpstreamId>,
    /// Claims of processes that the directory does not list yet, by [`process_key`].
    early_claims: HashMap<u64, (Instant, ColdClaim)>,
    /// When the first upstream was examined.
    filled_since: Option<Instant>,
}

/// Whether the process of `entry` started later than that of `other`, as both say.
fn is_later(entry: &UpstreamEntry, other: &UpstreamEntry) -> bool {
    let starts = entry.started_ms.zip(other.started_ms);
    starts.is_some_and(|(started_ms, other_ms)| started_ms > other_ms)
}

/// Hash of the id of an upstream and the start of its process.
fn process_key(entry: &UpstreamEntry) -> u64 {
    xxh3_64_with_seed(entry.id.as_bytes(), entry.started_ms.unwrap_or_default())
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
            rate_limit: RateLimit::default(),
            cold: ColdRecord::default(),
            reached_at: None,
        }
    }

    /// Whether the upstream names a rate of requests that it takes.
    #[must_use]
    pub fn is_rate_limited(&self) -> bool {
        self.rate_limit.limit().is_some()
    }

    /// Whether the upstream is cold.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold.is_cold(now)
    }

    /// Whether the upstream is to be asked whether its limit still holds.
    #[must_use]
    pub fn is_recheck_due(&self, now: Instant) -> bool {
        self.rate_limit.is_recheck_due(now)
    }

    /// Whether the upstream is still ejected, at `now`, for its last failed call.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Moving average of the share of calls that failed, 0 to 1. It decays with
    /// time, so that the upstream is tried again.
    #[must_use]
    pub fn failure_share(&self, now: Instant) -> f64 {
        let Some(at) = self.failure_share_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.failure_share * 0.5f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    /// Moving average of the time to the first event divided by the expected
    /// time. It decays to 1 with time, so that the upstream is tried again.
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
    /// Stores a new or changed entry, unless a newer one or a later removal is known.
    pub fn upsert(&mut self, entry: UpstreamEntry) {
        let removal = self.removed.get(&entry.id);
        if removal.is_some_and(|(_, version)| *version >= entry.version) {
            return;
        }
        match self.upstreams.get_mut(&entry.id) {
            Some(health) if health.entry.version > entry.version => {}
            Some(health) if health.entry.started_ms == entry.started_ms => {
                health.entry = entry;
                health.grace_until = None;
            }
            // A restarted upstream that keeps its id starts with a clean record.
            _ => {
                let id = entry.id.clone();
                self.upstreams
                    .insert(id.clone(), UpstreamHealth::new(entry));
                self.record_occupant(&id);
                if let Some((at, notice)) = self.early_rates.remove(&id) {
                    self.apply_rate(at, &id, notice);
                }
            }
        }
    }

    /// Removes an upstream whose entry is gone. With `grace_until` it stays
    /// selectable until then, since its entry may have expired only because of an
    /// outage of the directory.
    pub fn remove(&mut self, id: &str, grace_until: Option<Instant>) {
        match (grace_until, self.upstreams.get_mut(id)) {
            (Some(until), Some(health)) => health.grace_until = Some(until),
            _ => {
                self.upstreams.remove(id);
            }
        }
    }

    /// Removes an upstream that left the directory in `version`, unless a newer entry
    /// is known; returns whether it was in the table.
    pub fn remove_at(&mut self, now: Instant, id: &str, version: u64) -> bool {
        let known = self.upstreams.get(id);
        if known.is_some_and(|health| health.entry.version > version) {
            return false;
        }
        self.removed
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < REMOVAL_MEMORY);
        let removal = self.removed.entry(id.to_owned()).or_insert((now, version));
        *removal = (now, removal.1.max(version));
        self.upstreams.remove(id).is_some()
    }

    /// Records that the process of an upstream that started at `started_ms` says that it
    /// leaves; returns whether this was not known yet. It gets no new work from then
    /// on, even if its entry lapses and comes back.
    pub fn record_leaving(&mut self, now: Instant, id: &str, started_ms: Option<u64>) -> bool {
        self.leaving
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < LEAVING_MEMORY);
        let known = self.leaving.insert(id.to_owned(), (now, started_ms));
        known.is_none_or(|(_, known)| known != started_ms)
    }

    /// Whether the process of an upstream that started at `started_ms` is expected to stay:
    /// the directory lists it, and it is neither draining nor leaving.
    #[must_use]
    pub fn is_staying(&self, id: &str, started_ms: Option<u64>) -> bool {
        let entry = self.upstreams.get(id).map(|health| &health.entry);
        entry.is_some_and(|entry| {
            entry.started_ms == started_ms
                && entry.state == UpstreamState::Ready
                && !self.is_leaving(entry)
        })
    }

    /// Whether the process of `entry` said that it leaves, or a later process has its
    /// address.
    fn is_leaving(&self, entry: &UpstreamEntry) -> bool {
        let leaving = self.leaving.get(&entry.id);
        leaving.is_some_and(|(_, started_ms)| *started_ms == entry.started_ms)
            || self.is_replaced(entry)
    }

    /// Whether a process that started later, under another id, has the address of `entry`,
    /// whose own process must have ended then.
    fn is_replaced(&self, entry: &UpstreamEntry) -> bool {
        let occupant = self.occupants.get(&entry.address);
        let occupant = occupant.and_then(|id| self.upstreams.get(id));
        occupant.is_some_and(|occupant| {
            occupant.entry.id != entry.id && is_later(&occupant.entry, entry)
        })
    }

    /// Notes which process has an address, if it started later than the one noted so far.
    fn record_occupant(&mut self, id: &UpstreamId) {
        let upstreams = &self.upstreams;
        self.occupants.retain(|address, id| {
            let occupant = upstreams.get(id);
            occupant.is_some_and(|health| health.entry.address == *address)
        });
        let Some(health) = upstreams.get(id) else {
            return;
        };
        let known = self.occupants.get(&health.entry.address);
        let known = known.and_then(|known| upstreams.get(known));
        if known.is_none_or(|known| is_later(&health.entry, &known.entry)) {
            self.occupants.insert(health.entry.address, id.clone());
        }
    }

    /// Records that an upstream asked this node for no requests until `until`.
    pub fn record_pause(&mut self, now: Instant, id: &str, until: Instant) {
        self.paused.retain(|_, until| *until > now);
        let pause = self.paused.entry(id.to_owned()).or_insert(until);
        *pause = (*pause).max(until);
    }

    /// Records the limit, in thousandths of a request a second, that the answer to a request
    /// of `asked_at` names, if any; returns a notice for the other nodes if it is new.
    pub fn observe_rate(
        &mut self,
        now: Instant,
        id: &str,
        started_ms: Option<u64>,
        asked_at: Instant,
        limit: Option<u32>,
    ) -> Option<RateNotice> {
        let health = self.upstreams.get_mut(id)?;
        if health.entry.started_ms != started_ms {
            return None;
        }
        health.rate_limit.observe(now, started_ms, asked_at, limit)
    }

    /// Takes over what another node has learned of an upstream's rate; returns whether it
    /// is new.
    pub fn apply_rate(&mut self, now: Instant, id: &UpstreamId, notice: RateNotice) -> bool {
        match self.upstreams.get_mut(id) {
            Some(health) if health.entry.started_ms == notice.started_ms => {
                health.rate_limit.apply(now, notice)
            }
            _ => {
                self.early_rates
                    .retain(|_, (at, _)| now.saturating_duration_since(*at) < EARLY_RATE_MEMORY);
                self.early_rates.insert(id.clone(), (now, notice));
                false
            }
        }
    }

    /// Limits that are known to hold.
    pub fn rate_notices(&self) -> impl Iterator<Item = (&UpstreamId, RateNotice)> {
        self.upstreams.iter().filter_map(|(id, health)| {
            let notice = health.rate_limit.notice()?;
            notice.limit.map(|_| (id, notice))
        })
    }

    /// Records what an upstream's process, or its row, says of its warm-up; returns whether
    /// it is new.
    pub fn record_cold(&mut self, id: &str, started_ms: Option<u64>, claim: ColdClaim) -> bool {
        match self.upstreams.get_mut(id) {
            Some(health) if health.entry.started_ms == started_ms => health.cold.record(claim),
            _ => false,
        }
    }

    /// Takes over what another node knows of the warm-up of the process `key`; it counts
    /// once the process is listed. Returns whether it is new.
    pub fn apply_cold(&mut self, now: Instant, key: u64, claim: ColdClaim) -> bool {
        let mut upstreams = self.upstreams.values_mut();
        if let Some(health) = upstreams.find(|health| process_key(&health.entry) == key) {
            return health.cold.record(claim);
        }
        self.early_claims
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < EARLY_RATE_MEMORY);
        self.early_claims.insert(key, (now, claim));
        false
    }

    /// What other nodes are to be told of upstreams that warm up, by [`process_key`].
    pub fn cold_claims(&self, now: Instant) -> impl Iterator<Item = (u64, ColdClaim)> {
        self.upstreams.values().filter_map(move |health| {
            let claim = health.cold.recent_claim(now)?;
            Some((process_key(&health.entry), claim))
        })
    }

    /// Number of upstreams that are cold.
    #[must_use]
    pub fn cold_count(&self, now: Instant) -> usize {
        let upstreams = self.upstreams.values();
        upstreams.filter(|health| health.is_cold(now)).count()
    }

    /// Determines which upstreams are cold and what they take, by how their service warms
    /// up; `unix_ms` is the time of day. Returns what has changed, for the log. To be
    /// followed by [`share_rates`](Self::share_rates).
    pub fn update_cold<'a>(
        &mut self,
        now: Instant,
        unix_ms: u64,
        tolerance: &ColdTolerance,
        spec_of: impl Fn(&str) -> Option<&'a ColdSpec>,
    ) -> Vec<(UpstreamId, ColdChange)> {
        let filled_since = *self.filled_since.get_or_insert(now);
        let is_filled = now.saturating_duration_since(filled_since) >= FILL_TIME;
        let mut changes = Vec::new();
        for (id, health) in &mut self.upstreams {
            let spec = spec_of(&health.entry.service);
            let Some((spec, bound)) = spec.and_then(|spec| Some((spec, spec.bound(tolerance)?)))
            else {
                health.rate_limit.set_cold_bound(None);
                continue;
            };
            if let Some((_, claim)) = self.early_claims.remove(&process_key(&health.entry)) {
                health.cold.record(claim);
            }
            let age = match health.entry.started_ms {
                Some(started_ms) => Duration::from_millis(unix_ms.saturating_sub(started_ms)),
                None if is_filled => Duration::ZERO,
                None => Duration::MAX,
            };
            health.cold.examine_start(now, age, spec);
            changes.extend(
                health
                    .cold
                    .take_change(now)
                    .map(|change| (id.clone(), change)),
            );
            let factor = health.cold.rate_factor(now);
            health
                .rate_limit
                .set_cold_bound(factor.map(|factor| bound * factor));
        }
        changes
    }

    /// Whether any upstream takes a limited rate of requests.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        let mut upstreams = self.upstreams.values();
        upstreams.any(|health| health.rate_limit.is_limited())
    }

    /// Divides the rates that upstreams take among the nodes.
    pub fn share_rates(&mut self, now: Instant, share: &FleetShare<'_>) {
        for (id, health) in &mut self.upstreams {
            health.rate_limit.set_share(now, id, share);
        }
    }

    /// Gives back a request that the upstream does not count, as it was meant for another.
    pub fn return_send(&mut self, id: &str) {
        if let Some(health) = self.upstreams.get_mut(id) {
            health.rate_limit.return_send();
        }
    }

    /// Whether the warm-up of the upstream leaves this node no request now.
    #[must_use]
    pub fn is_held_by_cold(&self, now: Instant, service: &str) -> bool {
        self.upstreams.values().any(|health| {
            health.entry.service == service
                && health.is_cold(now)
                && health.rate_limit.time_left(now).is_some()
        })
    }

    /// Takes one request from this node's share of the upstream's rate; returns `false` if
    /// none is left.
    pub fn take_send(&mut self, now: Instant, id: &str) -> bool {
        let health = self.upstreams.get_mut(id);
        health.is_none_or(|health| health.rate_limit.take_send(now))
    }

    /// The zones that the operator has evacuated.
    #[must_use]
    pub fn evacuations(&self) -> &EvacuationTable {
        &self.evacuations
    }

    /// The evacuated zones, to record what the operator or other nodes say.
    pub fn evacuations_mut(&mut self) -> &mut EvacuationTable {
        &mut self.evacuations
    }

    /// Whether nothing new may be sent to the upstream, as its zone is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, id: &str) -> bool {
        let health = self.upstreams.get(id);
        health.is_some_and(|health| self.evacuations.is_evacuated(&health.entry.zone))
    }

    /// Whether no request may be sent to the upstream now: it leaves or has left, as the
    /// store or its process says, asked for a pause, or its zone is evacuated.
    #[must_use]
    pub fn is_barred(&self, now: Instant, id: &str) -> bool {
        let entry = self.upstreams.get(id).map(|health| &health.entry);
        let is_staying = entry
            .is_some_and(|entry| entry.state == UpstreamState::Ready && !self.is_leaving(entry));
        !is_staying || self.is_paused(now, id) || self.is_evacuated(id)
    }

    /// Whether `service` has upstreams that would take new work, all of them in
    /// evacuated zones.
    #[must_use]
    pub fn is_wholly_evacuated(&self, service: &str) -> bool {
        let mut staying = self.staying(service).peekable();
        staying.peek().is_some()
            && staying.all(|health| self.evacuations.is_evacuated(&health.entry.zone))
    }

    /// Whether an upstream of `service` that doesn't leave satisfies `condition`.
    #[must_use]
    pub fn has_staying(&self, service: &str, condition: impl Fn(&UpstreamEntry) -> bool) -> bool {
        self.staying(service).any(|health| condition(&health.entry))
    }

    /// Upstreams of `service` that don't leave.
    fn staying(&self, service: &str) -> impl Iterator<Item = &UpstreamHealth> {
        self.upstreams.values().filter(move |health| {
            health.entry.service == service
                && health.entry.state == UpstreamState::Ready
                && !self.is_leaving(&health.entry)
        })
    }

    fn is_paused(&self, now: Instant, id: &str) -> bool {
        self.paused.get(id).is_some_and(|until| now < *until)
    }

    /// Time until the first upstream of `service` may be sent requests again; `None` if
    /// one may now, or none ever.
    #[must_use]
    pub fn pause_left(&self, now: Instant, service: &str) -> Option<Duration> {
        let open = self
            .staying(service)
            .filter(|health| !self.evacuations.is_evacuated(&health.entry.zone));
        let ends = open.map(|health| {
            let paused_until = self.paused.get(&health.entry.id).copied();
            let due = health.rate_limit.time_left(now).map(|left| now + left);
            paused_until.max(due).unwrap_or(now)
        });
        let first_end = ends.min()?;
        let left = first_end.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Newest version of the directory that an entry or a removal is known from.
    #[must_use]
    pub fn newest_version(&self) -> Option<u64> {
        let entries = self.upstreams.values().map(|health| health.entry.version);
        let removals = self.removed.values().map(|(_, version)| *version);
        entries.chain(removals).max()
    }

    /// Whether a listing from a copy of the directory, which may be older than this
    /// table, says nothing about the present: this table knows that the upstream has
    /// left since, or is draining. Upstreams that live write their entries again.
    #[must_use]
    pub fn is_outdated(&self, listed: &UpstreamEntry) -> bool {
        match self.upstreams.get(&listed.id) {
            Some(health) => {
                health.entry.started_ms == listed.started_ms
                    && health.entry.state == UpstreamState::Draining
                    && listed.state == UpstreamState::Ready
            }
            None => self.removed.contains_key(&listed.id),
        }
    }

    /// Version of the directory in which a removed upstream left it, if it was
    /// removed lately.
    #[must_use]
    pub fn removed_version(&self, id: &str) -> Option<u64> {
        self.removed.get(id).map(|(_, version)| *version)
    }

    /// Records another node's notice that an upstream is draining, as of
    /// `version` of the directory; returns whether this was not known yet.
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

    /// Updates the table to a complete listing: stores its entries, except those
    /// of which a newer version is known, and removes the others, with
    /// `grace_until` as in [`remove`](Self::remove).
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

    /// Removes upstreams whose expired entries did not come back in time; returns
    /// their ids.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<UpstreamId> {
        let is_due = |health: &UpstreamHealth| health.grace_until.is_some_and(|at| at <= now);
        let gone: Vec<UpstreamId> = self
            .upstreams
            .iter()
            .filter(|(_, health)| is_due(health))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            if let Some(health) = self.upstreams.remove(id) {
                self.removed.insert(id.clone(), (now, health.entry.version));
            }
        }
        gone
    }

    /// Digest of the ids and start times of the upstreams that take new work,
    /// equal at two nodes that know the same ones. Ignores expired entries that
    /// may come back after an outage.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest_where(|_| true)
    }

    /// Digest of those upstreams for which `is_included` holds, as in
    /// [`digest`](Self::digest).
    #[must_use]
    pub fn digest_where(&self, is_included: impl Fn(&UpstreamId) -> bool) -> u64 {
        let ready = self.upstreams.values().filter(|health| {
            health.grace_until.is_none()
                && health.entry.state == UpstreamState::Ready
                && is_included(&health.entry.id)
        });
        let hashes = ready.map(|health| process_key(&health.entry));
        hashes.fold(0, u64::wrapping_add)
    }

    /// The upstream `id`, if it is in the table.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&UpstreamHealth> {
        self.upstreams.get(id)
    }

    /// The upstream that takes requests at `address`, if one is in the table.
    #[must_use]
    pub fn find_by_address(&self, address: SocketAddr) -> Option<&UpstreamHealth> {
        let mut upstreams = self.upstreams.values();
        upstreams.find(|health| health.entry.address == address)
    }

    /// Entries of all upstreams in the table.
    pub fn entries(&self) -> impl Iterator<Item = &UpstreamEntry> {
        self.upstreams.values().map(|health| &health.entry)
    }

    /// Ids of all upstreams in the table.
    pub fn ids(&self) -> impl Iterator<Item = &UpstreamId> {
        self.upstreams.keys()
    }

    /// Whether the table contains no upstream.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Upstreams of `service` that may get new work, sorted by id, without those
    /// in `excluded`, those that say they leave, those that asked for a pause, those in
    /// evacuated zones, and those of whose rate this node has no request left.
    /// Ejected ones are left out while any is healthy; those with a
    /// high failure share or slow first events, while at least half are healthy.
    #[must_use]
    pub fn selectable(
        &self,
        now: Instant,
        service: &str,
        excluded: &[UpstreamId],
    ) -> Vec<&UpstreamHealth> {
        self.selectable_where(now, service, excluded, |_| true)
    }

    /// Those of the [`selectable`](Self::selectable) upstreams for which `is_allowed`
    /// holds; the health of others doesn't count.
    #[must_use]
    pub fn selectable_where(
        &self,
        now: Instant,
        service: &str,
        excluded: &[UpstreamId],
        is_allowed: impl Fn(&UpstreamEntry) -> bool,
    ) -> Vec<&UpstreamHealth> {
        let mut ready: Vec<&UpstreamHealth> = self
            .upstreams
            .values()
            .filter(|health| health.entry.service == service)
            .filter(|health| health.entry.state == UpstreamState::Ready)
            .filter(|health| is_allowed(&health.entry))
            .filter(|health| !self.is_barred(now, &health.entry.id))
            .filter(|health| health.rate_limit.time_left(now).is_none())
            .filter(|health| !excluded.contains(&health.entry.id))
            .collect();
        ready.sort_by(|one, other| one.entry.id.cmp(&other.entry.id));
        let healthy: Vec<&UpstreamHealth> = ready
            .iter()
            .copied()
            .filter(|health| !health.is_ejected(now) && health.is_healthy(now))
            .collect();
        // When most upstreams look unhealthy, the cause lies elsewhere, so all
        // that are not ejected stay selectable; when none is healthy, all do.
        if healthy.len() * 2 < ready.len() {
            ready.retain(|health| !health.is_ejected(now) || healthy.is_empty());
            ready
        } else {
            healthy
        }
    }

    /// Records a call that the upstream served, and ends its ejection.
    pub fn record_success(&mut self, now: Instant, id: &str) {
        if let Some(health) = self.upstreams.get_mut(id) {
            health.consecutive_failures = 0;
            health.ejected_until = None;
            health.record_outcome(now, 0.0);
        }
    }

    /// Records that an upstream has accepted a connection of this node.
    pub fn record_contact(&mut self, now: Instant, id: &str) {
        if let Some(health) = self.upstreams.get_mut(id) {
            health.reached_at = Some(now);
        }
    }

    /// Whether an upstream of `service`, or of any service, other than `excluded` has
    /// accepted a connection of this node since `since`.
    #[must_use]
    pub fn is_reached_since(
        &self,
        since: Instant,
        service: Option<&str>,
        excluded: Option<&UpstreamId>,
    ) -> bool {
        self.upstreams.values().any(|health| {
            health.reached_at >= Some(since)
                && service.is_none_or(|service| health.entry.service == service)
                && Some(&health.entry.id) != excluded
        })
    }

    /// Takes back the failures of the upstreams of `service`, whose cause was this node.
    pub fn clear_failures(&mut self, service: &str) {
        let upstreams = self.upstreams.values_mut();
        for health in upstreams.filter(|health| health.entry.service == service) {
            health.consecutive_failures = 0;
            health.ejected_until = None;
            health.failure_share = 0.0;
            health.failure_share_at = None;
        }
    }

    /// Records an answer whose first event took `ratio` times as long as
    /// expected.
    pub fn record_slowdown(&mut self, now: Instant, id: &str, ratio: f64) {
        if let Some(health) = self.upstreams.get_mut(id) {
            let slowdown = health.slowdown(now);
            health.slowdown = slowdown + SLOWDOWN_WEIGHT * (ratio - slowdown);
            health.slowdown_at = Some(now);
        }
    }

    /// Records a call that failed, and ejects the upstream for a time that
    /// doubles with each consecutive failure.
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
