//! Fleet-wide rate limits of organisations without a shared counter.
//!
//! Each node admits its share of a rate limit: the demand it sees divided by the
//! demand that all nodes report. The share of a node lags behind moves of demand
//! between nodes by the demand averaging (`DEMAND_DECAY_TIME`), the interval
//! between two demand reports and the time until a report arrives; it is never
//! below `MIN_SHARE`. Until the first reports arrive, every node admits at the
//! full rate: an organisation that floods all N nodes gets at most N bursts of
//! `BURST_TIME` plus N times its rate until the first reports arrive, once in
//! each flood.
//!
//! The concurrency limit is checked against the requests in flight
//! that all nodes report. Limits are enforced without access to the table
//! service.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use types::{NodeId, OrganisationId, TokenCount};

/// Size of a burst: as many requests or tokens as the node's share of the rate
/// allows in this time may be admitted at once. A request that is larger than
/// this burst is admitted when the bucket is empty.
const BURST_TIME: Duration = Duration::from_secs(2);
/// Time constant of the exponential decay of measured demand.
const DEMAND_DECAY_TIME: Duration = Duration::from_secs(5);
/// Age at which a demand report of another node expires.
const DEMAND_LIFETIME: Duration = Duration::from_secs(15);
/// Lower bound of a node's share of a rate limit, for an organisation whose traffic
/// moves to this node. Its first request is within the rate limits in any case,
/// since an empty bucket has room for one request of any size.
const MIN_SHARE: f64 = 0.02;

/// Limits of one organisation over the whole fleet, from the release note.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitSettings {
    /// Maximum rate of requests.
    pub requests_per_second: u32,
    /// Maximum rate of tokens; prompt and output tokens both count.
    pub tokens_per_minute: TokenCount,
    /// Maximum number of requests in flight at the same time.
    pub concurrent_requests: u32,
}

/// Demand of one organisation on one node, as nodes report it to each other.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DemandReport {
    /// Organisation whose callers sent the requests.
    pub organisation: OrganisationId,
    /// Request rate in thousandths of a request per second; refused requests
    /// count too.
    pub milli_rate: u32,
    /// Requests in flight.
    pub running: u32,
}

#[derive(Clone, Copy, Debug)]
struct RemoteDemand {
    rate: f64,
    running: u32,
    received: Instant,
}

/// Leaky bucket whose drain rate is passed in at each use, because the share of
/// the limit changes.
#[derive(Clone, Copy, Debug)]
struct RateBucket {
    /// Requests or tokens admitted and not drained yet.
    level: f64,
    drained_until: Instant,
}

impl RateBucket {
    fn new(now: Instant) -> Self {
        Self {
            level: 0.0,
            drained_until: now,
        }
    }

    fn drain(&mut self, now: Instant, rate: f64) {
        let elapsed = now
            .saturating_duration_since(self.drained_until)
            .as_secs_f64();
        self.level = (self.level - elapsed * rate).max(0.0);
        self.drained_until = self.drained_until.max(now);
    }

    /// Time until `amount` more fits into the bucket at `rate`, at most an hour;
    /// zero if it fits now.
    fn time_until_fits(&self, amount: f64, rate: f64) -> Duration {
        let capacity = (rate * BURST_TIME.as_secs_f64()).max(amount);
        let excess = self.level + amount - capacity;
        if excess <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((excess / rate.max(f64::MIN_POSITIVE)).min(3_600.0))
    }
}

#[derive(Debug)]
struct LimitEntry {
    settings: LimitSettings,
    requests: RateBucket,
    tokens: RateBucket,
    running: u32,
    /// Requests seen, admitted or not, with exponential decay.
    demand: f64,
    demand_updated: Instant,
    remote: BTreeMap<NodeId, RemoteDemand>,
}

/// Limits and measured demand of the organisations that have limits.
#[derive(Debug, Default)]
pub struct LimitTable {
    entries: HashMap<OrganisationId, LimitEntry>,
}

impl LimitTable {
    /// Sets an organisation's limits, or removes them when `settings` is `None`.
    pub fn set(
        &mut self,
        now: Instant,
        organisation: &OrganisationId,
        settings: Option<LimitSettings>,
    ) {
        let Some(settings) = settings else {
            self.entries.remove(organisation);
            return;
        };
        if let Some(entry) = self.entries.get_mut(organisation) {
            entry.settings = settings;
            return;
        }
        let entry = LimitEntry {
            settings,
            requests: RateBucket::new(now),
            tokens: RateBucket::new(now),
            running: 0,
            demand: 0.0,
            demand_updated: now,
            remote: BTreeMap::new(),
        };
        self.entries.insert(organisation.clone(), entry);
    }

    /// Admits a request of `tokens` prompt and output tokens.
    ///
    /// # Errors
    /// Returns the time after which to retry when the organisation exceeds this
    /// node's share of a rate limit, or its limit of concurrent requests.
    pub fn admit(
        &mut self,
        now: Instant,
        organisation: &OrganisationId,
        tokens: TokenCount,
    ) -> Result<(), Duration> {
        let Some(entry) = self.entries.get_mut(organisation) else {
            return Ok(());
        };
        entry.count_demand(now);
        let share = entry.share(now);
        let limits = entry.settings;
        if entry.fleet_running(now) >= limits.concurrent_requests {
            return Err(Duration::from_secs(1));
        }
        let request_rate = f64::from(limits.requests_per_second) * share;
        let token_rate = to_f64(limits.tokens_per_minute) / 60.0 * share;
        entry.requests.drain(now, request_rate);
        entry.tokens.drain(now, token_rate);
        let wait = entry
            .requests
            .time_until_fits(1.0, request_rate)
            .max(entry.tokens.time_until_fits(to_f64(tokens), token_rate));
        if !wait.is_zero() {
            return Err(wait);
        }
        entry.requests.level += 1.0;
        entry.tokens.level += to_f64(tokens);
        entry.running += 1;
        Ok(())
    }

    /// Counts the end of a request that was admitted before.
    pub fn finish_request(&mut self, organisation: &OrganisationId) {
        if let Some(entry) = self.entries.get_mut(organisation) {
            entry.running = entry.running.saturating_sub(1);
        }
    }

    /// Stores the demand report of another node, replacing its previous one.
    pub fn merge_remote(&mut self, now: Instant, node: &NodeId, report: &DemandReport) {
        let Some(entry) = self.entries.get_mut(&report.organisation) else {
            return;
        };
        let demand = RemoteDemand {
            rate: f64::from(report.milli_rate) / 1_000.0,
            running: report.running,
            received: now,
        };
        entry.remote.insert(node.clone(), demand);
        entry.remove_expired(now);
    }

    /// Demand reports for the `max_reports` organisations with the highest
    /// utilisation of their request rate or concurrency limit on this node. The
    /// token limit and the use on other nodes are not considered.
    #[must_use]
    pub fn demand_reports(&self, now: Instant, max_reports: usize) -> Vec<DemandReport> {
        let mut reports: Vec<(f64, DemandReport)> = self
            .entries
            .iter()
            .filter_map(|(organisation, entry)| entry.demand_report(now, organisation))
            .collect();
        reports.sort_by(|left, right| right.0.total_cmp(&left.0));
        reports.truncate(max_reports);
        reports.into_iter().map(|(_, report)| report).collect()
    }
}

impl LimitEntry {
    fn request_rate(&self, now: Instant) -> f64 {
        let elapsed = now
            .saturating_duration_since(self.demand_updated)
            .as_secs_f64();
        let decay_time = DEMAND_DECAY_TIME.as_secs_f64();
        self.demand * (-elapsed / decay_time).exp() / decay_time
    }

    fn count_demand(&mut self, now: Instant) {
        self.demand = self.request_rate(now) * DEMAND_DECAY_TIME.as_secs_f64() + 1.0;
        self.demand_updated = self.demand_updated.max(now);
    }

    /// This node's share of the rate limits, as a fraction from `MIN_SHARE` to 1.
    fn share(&self, now: Instant) -> f64 {
        let own = self.request_rate(now);
        let others: f64 = self.recent_reports(now).map(|demand| demand.rate).sum();
        let share = own / (own + others).max(f64::MIN_POSITIVE);
        share.clamp(MIN_SHARE, 1.0)
    }

    fn fleet_running(&self, now: Instant) -> u32 {
        let others: u32 = self.recent_reports(now).map(|demand| demand.running).sum();
        self.running.saturating_add(others)
    }

    fn recent_reports(&self, now: Instant) -> impl Iterator<Item = &RemoteDemand> {
        self.remote
            .values()
            .filter(move |demand| now.saturating_duration_since(demand.received) < DEMAND_LIFETIME)
    }

    fn remove_expired(&mut self, now: Instant) {
        self.remote
            .retain(|_, demand| now.saturating_duration_since(demand.received) < DEMAND_LIFETIME);
    }

    /// Utilisation of the request rate or the concurrency limit by this node, the
    /// higher one, as a fraction, with the demand report; `None` for an idle
    /// organisation.
    fn demand_report(
        &self,
        now: Instant,
        organisation: &OrganisationId,
    ) -> Option<(f64, DemandReport)> {
        let rate = self.request_rate(now);
        if rate < 0.001 && self.running == 0 {
            return None;
        }
        let request_utilisation = rate / f64::from(self.settings.requests_per_second.max(1));
        let concurrency_utilisation =
            f64::from(self.running) / f64::from(self.settings.concurrent_requests.max(1));
        let report = DemandReport {
            organisation: organisation.clone(),
            milli_rate: to_thousandths(rate),
            running: self.running,
        };
        Some((request_utilisation.max(concurrency_utilisation), report))
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_thousandths(rate: f64) -> u32 {
    (rate * 1_000.0).clamp(0.0, 4.0e9) as u32
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(tokens: TokenCount) -> f64 {
    tokens as f64
}
