//! Counts of datagrams taken and dropped.

use std::sync::atomic::{AtomicU64, Ordering};

use wire::DatagramError;

/// Datagrams since the start, by what became of them.
#[derive(Debug, Default)]
pub struct DatagramCounters {
    /// Valid ones.
    pub accepted: AtomicU64,
    /// Not decodable.
    pub malformed: AtomicU64,
    /// Signed with a key that this node doesn't hold.
    pub unknown_key: AtomicU64,
    /// With a wrong tag, or meant for another node.
    pub forged: AtomicU64,
    /// Seen before, or too old.
    pub replayed: AtomicU64,
    /// From an older life of their sender.
    pub stale_incarnation: AtomicU64,
    /// Bytes received.
    pub received_bytes: AtomicU64,
    /// Bytes sent.
    pub sent_bytes: AtomicU64,
}

impl DatagramCounters {
    /// Counts a dropped datagram.
    pub fn dropped(&self, fault: &DatagramError) {
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
