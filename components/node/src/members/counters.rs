//! Counters of datagrams accepted and dropped.

use std::sync::atomic::{AtomicU64, Ordering};

use wire::DatagramError;

/// Counts of datagrams since the start, by outcome, and of bytes.
#[derive(Debug, Default)]
pub struct DatagramCounters {
    /// Datagrams that were valid.
    pub accepted: AtomicU64,
    /// Datagrams that could not be decoded.
    pub malformed: AtomicU64,
    /// Datagrams signed with a key that this node doesn't hold.
    pub unknown_key: AtomicU64,
    /// Datagrams with a wrong tag, or addressed to another node.
    pub forged: AtomicU64,
    /// Datagrams seen before, or too old.
    pub replayed: AtomicU64,
    /// Datagrams from an older incarnation of their sender.
    pub stale_incarnation: AtomicU64,
    /// Bytes of received datagrams.
    pub received_bytes: AtomicU64,
    /// Bytes of sent datagrams.
    pub sent_bytes: AtomicU64,
}

impl DatagramCounters {
    /// Counts a dropped datagram by the error that caused the drop.
    pub fn count_drop(&self, fault: &DatagramError) {
        let counter = match fault {
            DatagramError::Malformed => &self.malformed,
            DatagramError::UnknownKey => &self.unknown_key,
            DatagramError::Forged => &self.forged,
            DatagramError::Replayed => &self.replayed,
            DatagramError::StaleIncarnation { .. } => &self.stale_incarnation,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Adds `count` to `counter`.
    pub fn add(counter: &AtomicU64, count: usize) {
        counter.fetch_add(count as u64, Ordering::Relaxed);
    }
}
