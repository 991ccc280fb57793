//! Decides which holder of memory or of a place gives way to another one.

use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

/// Number of a connection, unique in its process.
pub type HolderId = u64;

/// Time without progress after which a body that is not whole yet gives way to requests that
/// need its memory.
const STALL_TIME: Duration = Duration::from_secs(1);
/// Time for which the peer has taken nothing of its answer, after which the answer gives way.
/// Callers give up a stream after as long.
const UNREAD_TIME: Duration = Duration::from_secs(2);
/// An owner may hold this many times the memory that is still free for large bodies, so that
/// none takes all of it: each leaves a third of what it finds.
const FREE_SHARE: u64 = 2;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum HolderStage {
    /// No request: none has begun, or the last one is answered.
    Silent,
    /// A part of a head has arrived.
    Head,
    /// A part of a body has arrived.
    Body,
    /// The request is whole: it waits, is being sent or is being answered. Or it is refused.
    Request,
}

/// Since when writes have waited for the peer, and what it has taken since.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WriteMark {
    /// When a write had to wait for the first time.
    pub since: Instant,
    /// Bytes taken since then.
    pub bytes: u64,
}

/// A connection, as far as the decisions need it.
#[derive(Clone, Debug)]
pub struct Holder {
    /// Number of the connection.
    pub id: HolderId,
    /// What it is doing.
    pub stage: HolderStage,
    /// Since when it has been doing that; of a body, when it last made progress.
    pub since: Instant,
    /// Bytes charged for its body.
    pub held_bytes: u64,
    /// Write that waits for the peer.
    pub write: Option<WriteMark>,
    /// Number of connections of the same address.
    pub neighbours: usize,
}

impl Holder {
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    fn is_stalled(&self, now: Instant) -> bool {
        self.stage == HolderStage::Body && self.age(now) >= STALL_TIME
    }

    fn is_unread(&self, now: Instant) -> bool {
        let waits = |write: WriteMark| now.saturating_duration_since(write.since) >= UNREAD_TIME;
        self.write.is_some_and(waits)
    }
}

/// What room is needed for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoomClaim {
    /// A place for a connection.
    Connection,
    /// A place for a request.
    Request,
    /// Memory for an ordinary request, or for the answer to one that may have run.
    Ordinary,
    /// Memory for a part of a large body.
    Bulk,
}

/// Returns the holder that gives way to `claim`; `None` if none does. Connections that say
/// nothing go before those with a request, bodies that make no progress and answers that nobody
/// takes before bodies that go on. Complete requests never give way.
pub fn find_victim(
    now: Instant,
    claim: RoomClaim,
    holders: impl Iterator<Item = Holder>,
) -> Option<HolderId> {
    let ranked = holders.filter_map(|holder| {
        let rank = match (claim, holder.stage) {
            (RoomClaim::Connection, HolderStage::Silent) => 0,
            (RoomClaim::Connection, HolderStage::Head) => 1,
            (_, HolderStage::Body) if holder.is_stalled(now) => 2,
            _ if holder.is_unread(now) => 2,
            (RoomClaim::Ordinary, HolderStage::Body) if holder.held_bytes > 0 => 3,
            _ => return None,
        };
        // Among connections without a request, those of the address that has most.
        let crowd = if rank < 2 { holder.neighbours } else { 0 };
        let key = (rank, Reverse(crowd), Reverse(holder.held_bytes));
        Some(((key, Reverse(holder.age(now))), holder.id))
    });
    ranked.min().map(|(_, id)| id)
}

/// Returns whether an owner that holds `owner_bytes` of large bodies may hold more while
/// `free_bytes` are free for them.
#[must_use]
pub fn is_within_share(owner_bytes: u64, free_bytes: u64) -> bool {
    owner_bytes <= free_bytes.saturating_mul(FREE_SHARE)
}

/// Longest times of the stages that no deadline ends.
#[derive(Clone, Copy, Debug)]
pub struct StageLimits {
    /// Time for a head to arrive.
    pub head_time: Duration,
    /// Time for which a write may wait for its peer.
    pub write_time: Duration,
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OverdueReason {
    /// Its head has not arrived in time.
    Head,
    /// Its peer takes too little of its answer.
    Answer,
}

/// Returns the connections that have reached a limit.
pub fn find_overdue(
    now: Instant,
    limits: StageLimits,
    holders: impl Iterator<Item = Holder>,
) -> Vec<(HolderId, OverdueReason)> {
    let overdue = holders.filter_map(|holder| {
        let is_late = holder.stage == HolderStage::Head && holder.age(now) > limits.head_time;
        let is_unread = holder
            .write
            .is_some_and(|write| now.saturating_duration_since(write.since) > limits.write_time);
        let reason = if is_unread {
            OverdueReason::Answer
        } else if is_late {
            OverdueReason::Head
        } else {
            return None;
        };
        Some((holder.id, reason))
    });
    overdue.collect()
}

/// Returns the connections to close so that at most `limit` bytes that have arrived stay unread:
/// those with most of them. `unread` has a connection and its unread bytes each.
#[must_use]
pub fn find_unread(mut unread: Vec<(HolderId, u64)>, limit: u64) -> Vec<HolderId> {
    unread.sort_by_key(|(_, bytes)| Reverse(*bytes));
    let mut total: u64 = unread.iter().map(|(_, bytes)| bytes).sum();
    let mut closed = Vec::new();
    for (id, bytes) in unread {
        if total <= limit {
            break;
        }
        total -= bytes;
        closed.push(id);
    }
    closed
}
