//! Request rates that upstreams take, and how the nodes divide one among them. An upstream
//! names a rate, or it is cold; if both, the stricter rate binds.
//!
//! A few nodes, chosen by rendezvous hashing, share the rate evenly, and the others send
//! the upstream nothing: if every node of a large fleet sent a single request, that would
//! already be too many.
//!
//! A rate that an upstream names holds on average over seconds, and its answers tell when it
//! ends. What a cold upstream takes is bound in every single second, and nobody tells how
//! much it got, so the shares are planned for the worst case: see [`cold_pace`].

use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use types::{NodeId, UpstreamId};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Nodes that send to an upstream that takes less than one request a second, so that the
/// loss of one doesn't cut it off. Each further request a second adds another.
const SENDERS_MIN: u32 = 2;
/// Lowest rate, in thousandths of a request a second, that all nodes send together to an
/// upstream that takes less. Only its answers tell when the limit ends.
const CHECK_RATE: u32 = 250;
/// Time by which a request may be sent before it is due, so that requests that arrive
/// together are not all turned away from an upstream with a high rate.
const TOLERANCE: Duration = Duration::from_millis(250);
/// Time without an answer after which an upstream is asked again whether its limit still
/// holds.
const RECHECK_TIME: Duration = Duration::from_secs(5);
/// Share of what a cold upstream may get in a second that the nodes plan for. The rest is
/// for nodes that see another fleet than the others: those that nobody knows of yet, and
/// those whose last knowledge of it is old.
const PLANNED_SHARE: f64 = 0.75;
/// Part of the planned requests that nodes send which are unsure of the fleet, so that all
/// of them together stay within the rest.
const UNSURE_DIVISOR: u32 = 4;
/// Difference in the time that two requests take from the decision until they arrive; the
/// time to connect and a busy node's delay make it up.
const TRANSIT_JITTER: Duration = Duration::from_millis(250);
/// Time after which a share of a cold upstream's rate lapses unless it is computed anew,
/// as it is several times a second. A process that was frozen finds its shares lapsed.
const SHARE_LIFETIME: Duration = Duration::from_secs(1);

/// What a node has learned of the rate of an upstream's process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RateNotice {
    /// Start of the process, in Unix milliseconds, if it publishes it.
    pub started_ms: Option<u64>,
    /// Orders the notices about one process; a higher one is newer.
    pub stamp: u64,
    /// Limit in thousandths of a request a second; `None` if it has ended.
    pub limit: Option<u32>,
}

impl RateNotice {
    /// Whether the notice is newer than `other`, or says less of the same time.
    fn supersedes(&self, other: &Self) -> bool {
        let rank = |notice: &Self| (notice.stamp, Reverse(notice.limit.unwrap_or(u32::MAX)));
        rank(self) > rank(other)
    }
}

/// The fleet as one node sees it when it takes its shares.
#[derive(Clone, Copy, Debug)]
pub struct FleetShare<'a> {
    /// The node itself.
    pub own: &'a NodeId,
    /// All nodes among which rates are divided, the node itself included.
    pub nodes: &'a [&'a NodeId],
    /// Whether the node can rely on the others seeing the same nodes.
    pub standing: FleetStanding,
}

/// How far a node can rely on the others seeing the same fleet as it does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FleetStanding {
    /// The node has heard from the others for some time.
    Settled,
    /// The node was settled, but has been frozen or out of touch since.
    Unsure,
    /// The node has just started; others may not know of it yet.
    New,
}

impl FleetShare<'_> {
    /// Number of nodes that go before this one in the division of an upstream's rate.
    fn rank(&self, upstream: &UpstreamId) -> u32 {
        let seed = xxh3_64(upstream.as_bytes());
        let score = |node: &NodeId| (xxh3_64_with_seed(node.as_bytes(), seed), node.clone());
        let own_score = score(self.own);
        let before = self.nodes.iter().filter(|node| score(node) > own_score);
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    fn size(&self) -> u32 {
        u32::try_from(self.nodes.len()).unwrap_or(u32::MAX).max(1)
    }
}

/// A node's pace of requests to one upstream, as a part of the fleet's.
#[derive(Clone, Copy, Debug)]
struct SharePace {
    /// Pause between two requests of all nodes.
    fleet_interval: Duration,
    /// Pause between two requests of this node; `None` if it may send none.
    interval: Option<Duration>,
    /// Time after which this node may begin.
    start_delay: Duration,
}

impl SharePace {
    fn is_stricter(&self, other: &Self) -> bool {
        let rank = |pace: &Self| (pace.interval.unwrap_or(Duration::MAX), pace.fleet_interval);
        rank(self) > rank(other)
    }
}

/// Pace under a rate that the upstream names.
fn named_pace(limit: u32, rank: u32, size: u32) -> SharePace {
    let senders = (limit / 1000 + SENDERS_MIN).min(size).max(1);
    let fleet_interval = Duration::from_secs(1000) / limit.max(CHECK_RATE);
    SharePace {
        fleet_interval,
        interval: (rank < senders).then(|| fleet_interval * senders),
        // The senders begin one after the other.
        start_delay: fleet_interval * rank.min(senders) + TOLERANCE,
    }
}

/// Pace of requests to a cold upstream that may get `bound` requests in any second.
///
/// A node with a single share sends one request in a period that is longer than a second
/// by what can bring two of its requests together, so at most one arrives in any second;
/// a node with several shares sends as many more. So the arrivals in a second never exceed
/// the number of shares, whatever the phases of the nodes.
fn cold_pace(bound: f64, rank: u32, size: u32, standing: FleetStanding) -> SharePace {
    let period = Duration::from_secs(1) + TRANSIT_JITTER + TOLERANCE;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the conversion saturates, as wanted"
    )]
    let planned = ((bound * PLANNED_SHARE) as u32).max(1);
    let shares = match standing {
        FleetStanding::Settled => planned,
        FleetStanding::Unsure => planned / UNSURE_DIVISOR,
        FleetStanding::New => 0,
    };
    let own_shares = shares / size + u32::from(rank < shares % size);
    SharePace {
        fleet_interval: period / planned,
        interval: (own_shares > 0).then(|| period / own_shares),
        start_delay: Duration::ZERO,
    }
}

/// A node's knowledge of the rate of one upstream, and its own share of it.
#[derive(Clone, Debug, Default)]
pub(crate) struct RateLimit {
    notice: Option<RateNotice>,
    /// When the limit was last named, or told by another node.
    named_at: Option<Instant>,
    /// Most requests that may arrive in a second while the upstream is cold.
    cold_bound: Option<f64>,
    /// The stricter of the paces under the two rates; `None` until the shares are computed.
    pace: Option<SharePace>,
    /// When the shares were last computed.
    shared_at: Option<Instant>,
    /// When this node's next request is due.
    next_send: Option<Instant>,
}

impl RateLimit {
    pub(crate) fn limit(&self) -> Option<u32> {
        self.notice?.limit
    }

    pub(crate) fn notice(&self) -> Option<RateNotice> {
        self.notice
    }

    /// Sets how many requests may arrive in a second, if the upstream is cold. A node sends
    /// none until it has computed its share.
    pub(crate) fn set_cold_bound(&mut self, bound: Option<f64>) {
        if bound.is_some() && self.cold_bound.is_none() {
            self.shared_at = None;
        }
        self.cold_bound = bound;
    }

    /// Records what the answer to a request that was sent at `asked_at` says; returns a
    /// notice for the other nodes if it is new.
    pub(crate) fn observe(
        &mut self,
        now: Instant,
        started_ms: Option<u64>,
        asked_at: Instant,
        limit: Option<u32>,
    ) -> Option<RateNotice> {
        let is_late = self.named_at.is_some_and(|named_at| asked_at <= named_at);
        if limit.is_none() && is_late {
            return None;
        }
        if limit.is_some() {
            self.named_at = Some(now);
        }
        if limit == self.limit() {
            return None;
        }
        let notice = RateNotice {
            started_ms,
            stamp: self.notice.map_or(0, |notice| notice.stamp) + 1,
            limit,
        };
        self.notice = Some(notice);
        Some(notice)
    }

    /// Takes over what another node has learned; returns whether it is new.
    pub(crate) fn apply(&mut self, now: Instant, notice: RateNotice) -> bool {
        let is_new = self.notice.is_none_or(|known| notice.supersedes(&known));
        if is_new {
            self.notice = Some(notice);
            if notice.limit.is_some() {
                self.named_at = Some(now);
            }
        }
        is_new
    }

    /// Sets this node's share.
    pub(crate) fn set_share(
        &mut self,
        now: Instant,
        upstream: &UpstreamId,
        share: &FleetShare<'_>,
    ) {
        self.shared_at = Some(now);
        if !self.is_limited() {
            self.pace = None;
            self.next_send = None;
            return;
        }
        let (rank, size) = (share.rank(upstream), share.size());
        let named = self.limit().map(|limit| named_pace(limit, rank, size));
        let cold = self
            .cold_bound
            .map(|bound| cold_pace(bound, rank, size, share.standing));
        let pace = match (named, cold) {
            (Some(named), Some(cold)) if cold.is_stricter(&named) => Some(cold),
            (named, cold) => named.or(cold),
        };
        let had_share = self.pace.is_some_and(|pace| pace.interval.is_some());
        self.pace = pace;
        match pace {
            Some(pace) if pace.interval.is_some() => {
                let start = now + pace.start_delay;
                let due = self.next_send.filter(|_| had_share);
                let since = self.next_send.unwrap_or(start);
                self.next_send = Some(due.unwrap_or_else(|| start.max(since)));
            }
            // A share that comes back soon doesn't forget its last request.
            _ if self.cold_bound.is_some() => {}
            _ => self.next_send = None,
        }
    }

    pub(crate) fn is_limited(&self) -> bool {
        self.limit().is_some() || self.cold_bound.is_some()
    }

    /// Whether the share of a cold upstream's rate is too old to be used.
    fn is_share_lapsed(&self, now: Instant) -> bool {
        let is_old = |at: Instant| now.saturating_duration_since(at) > SHARE_LIFETIME;
        self.cold_bound.is_some() && self.shared_at.is_none_or(is_old)
    }

    /// Time until this node may send a request; `None` if it may now. A node without a share
    /// gives the time in which another one sends a request.
    pub(crate) fn time_left(&self, now: Instant) -> Option<Duration> {
        if !self.is_limited() {
            return None;
        }
        let left = match (self.pace, self.next_send) {
            (
                Some(SharePace {
                    interval: Some(_), ..
                }),
                Some(next_send),
            ) if !self.is_share_lapsed(now) => next_send.saturating_duration_since(now + TOLERANCE),
            (Some(pace), _) => pace.fleet_interval,
            (None, _) => {
                let limit = self.limit().unwrap_or(1000);
                Duration::from_secs(1000) / limit.max(CHECK_RATE)
            }
        };
        (!left.is_zero()).then_some(left)
    }

    /// Records that this node sends a request; returns `false` if it may not.
    pub(crate) fn take_send(&mut self, now: Instant) -> bool {
        if !self.is_limited() {
            return true;
        }
        if self.time_left(now).is_some() {
            return false;
        }
        let interval = self.pace.and_then(|pace| pace.interval);
        if let (Some(interval), Some(next_send)) = (interval, self.next_send) {
            self.next_send = Some(next_send.max(now) + interval);
        }
        true
    }

    /// Gives back a request that does not count against the rate of a cold upstream.
    pub(crate) fn return_send(&mut self) {
        let interval = self.pace.and_then(|pace| pace.interval);
        if let (Some(interval), Some(next_send), None) = (interval, self.next_send, self.limit()) {
            self.next_send = next_send.checked_sub(interval);
        }
    }

    /// Whether nothing has been heard of the limit for so long that the upstream is to be
    /// asked again.
    pub(crate) fn is_recheck_due(&self, now: Instant) -> bool {
        self.limit().is_some()
            && self
                .named_at
                .is_some_and(|named_at| now.saturating_duration_since(named_at) >= RECHECK_TIME)
    }
}
