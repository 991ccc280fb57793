//! Fleet-wide limits of organisations, held without a shared counter.
//!
//! Each node lets in its share of a limit, by the demand it sees over the
//! demand that all nodes tell of. With summaries every `period` that reach
//! others after `lag`, a node's share is wrong by at most the demand that
//! moved within `period + lag`; an organisation that floods all of N nodes at
//! once before any has told gets at most N times `BURST_TIME` of its rate
//! once. Nothing here needs the store.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use types::{NodeId, OrganisationId, TokenCount};

/// Time of its rate that an organisation may use at once.
const BURST_TIME: Duration = Duration::from_secs(2);
/// Time over which demand is measured.
const DEMAND_TIME: Duration = Duration::from_secs(5);
/// Age at which another node's demand is forgotten.
const DEMAND_LIFETIME: Duration = Duration::from_secs(15);
/// Part of a limit that a node keeps for an organisation it has not seen
/// lately, so that the first request after a move is let in.
const SHARE_MIN: f64 = 0.02;

/// Limits of one organisation, for the fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitSettings {
    /// Requests a second.
    pub requests_per_second: u32,
    /// Prompt and answer tokens a minute.
    pub tokens_per_minute: TokenCount,
    /// Requests under way at once.
    pub concurrent_requests: u32,
}

/// Demand of one organisation on one node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DemandReport {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Thousandths of a request a second, let in or not.
    pub milli_rate: u32,
    /// Requests under way.
    pub running: u32,
}

#[derive(Clone, Copy, Debug)]
struct RemoteDemand {
    rate: f64,
    running: u32,
    heard: Instant,
}

/// A bucket that fills at a rate given when it is used.
#[derive(Clone, Copy, Debug)]
struct RateBucket {
    /// Use beyond what was earned, in units of the rate.
    level: f64,
    at: Instant,
}

impl RateBucket {
    fn new(now: Instant) -> Self {
        Self {
            level: 0.0,
            at: now,
        }
    }

    fn drain(&mut self, now: Instant, rate: f64) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.level = (self.level - passed * rate).max(0.0);
        self.at = self.at.max(now);
    }

    /// Time until `amount` more fits at `rate`.
    fn wait(&self, amount: f64, rate: f64) -> Duration {
        let most = (rate * BURST_TIME.as_secs_f64()).max(amount);
        let over = self.level + amount - most;
        if over <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((over / rate.max(f64::MIN_POSITIVE)).min(3_600.0))
    }
}

#[derive(Debug)]
struct LimitEntry {
    settings: LimitSettings,
    requests: RateBucket,
    tokens: RateBucket,
    running: u32,
    /// Requests seen, with exponential forgetting.
    demand: f64,
    demand_at: Instant,
    remote: BTreeMap<NodeId, RemoteDemand>,
}

/// Limits of the organisations that have any.
#[derive(Debug, Default)]
pub struct LimitTable {
    entries: HashMap<OrganisationId, LimitEntry>,
}

impl LimitTable {
    /// Sets or lifts an organisation's limits.
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
            demand_at: now,
            remote: BTreeMap::new(),
        };
        self.entries.insert(organisation.clone(), entry);
    }

    /// Lets a request of `tokens` in.
    ///
    /// # Errors
    /// The time after which it would be let in, when the organisation is over
    /// this node's share of a limit.
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
        if entry.running_everywhere(now) >= limits.concurrent_requests {
            return Err(Duration::from_secs(1));
        }
        let request_rate = f64::from(limits.requests_per_second) * share;
        let token_rate = float(limits.tokens_per_minute) / 60.0 * share;
        entry.requests.drain(now, request_rate);
        entry.tokens.drain(now, token_rate);
        let wait = entry
            .requests
            .wait(1.0, request_rate)
            .max(entry.tokens.wait(float(tokens), token_rate));
        if !wait.is_zero() {
            return Err(wait);
        }
        entry.requests.level += 1.0;
        entry.tokens.level += float(tokens);
        entry.running += 1;
        Ok(())
    }

    /// Counts the end of a request that was let in.
    pub fn finish_request(&mut self, organisation: &OrganisationId) {
        if let Some(entry) = self.entries.get_mut(organisation) {
            entry.running = entry.running.saturating_sub(1);
        }
    }

    /// Takes what another node tells.
    pub fn merge_remote(&mut self, now: Instant, node: &NodeId, share: &DemandReport) {
        let Some(entry) = self.entries.get_mut(&share.organisation) else {
            return;
        };
        let demand = RemoteDemand {
            rate: f64::from(share.milli_rate) / 1_000.0,
            running: share.running,
            heard: now,
        };
        entry.remote.insert(node.clone(), demand);
        entry.forget_old(now);
    }

    /// The organisations nearest to their limits, `most` at most.
    #[must_use]
    pub fn demand_reports(&self, now: Instant, most: usize) -> Vec<DemandReport> {
        let mut shares: Vec<(f64, DemandReport)> = self
            .entries
            .iter()
            .filter_map(|(organisation, entry)| entry.told(now, organisation))
            .collect();
        shares.sort_by(|left, right| right.0.total_cmp(&left.0));
        shares.truncate(most);
        shares.into_iter().map(|(_, share)| share).collect()
    }
}

impl LimitEntry {
    fn rate(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.demand_at).as_secs_f64();
        let time = DEMAND_TIME.as_secs_f64();
        self.demand * (-passed / time).exp() / time
    }

    fn count_demand(&mut self, now: Instant) {
        self.demand = self.rate(now) * DEMAND_TIME.as_secs_f64() + 1.0;
        self.demand_at = self.demand_at.max(now);
    }

    /// This node's part of the limits.
    fn share(&self, now: Instant) -> f64 {
        let own = self.rate(now);
        let others: f64 = self.in_date(now).map(|demand| demand.rate).sum();
        let part = own / (own + others).max(f64::MIN_POSITIVE);
        part.clamp(SHARE_MIN, 1.0)
    }

    fn running_everywhere(&self, now: Instant) -> u32 {
        let others: u32 = self.in_date(now).map(|demand| demand.running).sum();
        self.running.saturating_add(others)
    }

    fn in_date(&self, now: Instant) -> impl Iterator<Item = &RemoteDemand> {
        self.remote
            .values()
            .filter(move |demand| now.saturating_duration_since(demand.heard) < DEMAND_LIFETIME)
    }

    fn forget_old(&mut self, now: Instant) {
        self.remote
            .retain(|_, demand| now.saturating_duration_since(demand.heard) < DEMAND_LIFETIME);
    }

    /// How near to its limits, with what to tell; `None` when it is idle.
    fn told(&self, now: Instant, organisation: &OrganisationId) -> Option<(f64, DemandReport)> {
        let rate = self.rate(now);
        if rate < 0.001 && self.running == 0 {
            return None;
        }
        let requests = rate / f64::from(self.settings.requests_per_second.max(1));
        let running = f64::from(self.running) / f64::from(self.settings.concurrent_requests.max(1));
        let share = DemandReport {
            organisation: organisation.clone(),
            milli_rate: thousandths(rate),
            running: self.running,
        };
        Some((requests.max(running), share))
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn thousandths(rate: f64) -> u32 {
    (rate * 1_000.0).clamp(0.0, 4.0e9) as u32
}

#[allow(clippy::cast_precision_loss)]
fn float(tokens: TokenCount) -> f64 {
    tokens as f64
}
