//! Request rates that upstreams name, and how the nodes divide one among them.
//!
//! A few nodes, chosen by rendezvous hashing, share the rate evenly, and the others send
//! the upstream nothing: if every node of a large fleet sent a single request, that would
//! already be too many.

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

/// A node's knowledge of the rate of one upstream, and its own share of it.
#[derive(Clone, Debug, Default)]
pub(crate) struct RateLimit {
    notice: Option<RateNotice>,
    /// When the limit was last named, or told by another node.
    named_at: Option<Instant>,
    /// Pause between two requests of this node; `None` if it may send none.
    interval: Option<Duration>,
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

    /// Sets this node's share among `nodes`, which include it.
    pub(crate) fn set_share(
        &mut self,
        now: Instant,
        upstream: &UpstreamId,
        own: &NodeId,
        nodes: &[&NodeId],
    ) {
        let Some(limit) = self.limit() else {
            self.interval = None;
            self.next_send = None;
            return;
        };
        let senders = limit / 1000 + SENDERS_MIN;
        let senders = senders
            .min(u32::try_from(nodes.len()).unwrap_or(u32::MAX))
            .max(1);
        let seed = xxh3_64(upstream.as_bytes());
        let score = |node: &NodeId| (xxh3_64_with_seed(node.as_bytes(), seed), node.clone());
        let own_score = score(own);
        let before = nodes.iter().filter(|node| score(node) > own_score).count();
        let before = u32::try_from(before).unwrap_or(u32::MAX);
        if before >= senders {
            self.interval = None;
            self.next_send = None;
            return;
        }
        let fleet_interval = Duration::from_secs(1000) / limit.max(CHECK_RATE);
        self.interval = Some(fleet_interval * senders);
        // The senders begin one after the other.
        self.next_send
            .get_or_insert(now + fleet_interval * before + TOLERANCE);
    }

    /// Time until this node may send a request; `None` if it may now.
    pub(crate) fn time_left(&self, now: Instant) -> Option<Duration> {
        let limit = self.limit()?;
        let left = match (self.interval, self.next_send) {
            (Some(_), Some(next_send)) => next_send.saturating_duration_since(now + TOLERANCE),
            _ => Duration::from_secs(1000) / limit.max(CHECK_RATE),
        };
        (!left.is_zero()).then_some(left)
    }

    /// Records that this node sends a request; returns `false` if it may not.
    pub(crate) fn take_send(&mut self, now: Instant) -> bool {
        if self.limit().is_none() {
            return true;
        }
        if self.time_left(now).is_some() {
            return false;
        }
        if let (Some(interval), Some(next_send)) = (self.interval, self.next_send) {
            self.next_send = Some(next_send.max(now) + interval);
        }
        true
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
