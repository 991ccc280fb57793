//! Buffered request bodies and the memory budget that they share.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// Memory budget for the request bodies that the node buffers at the same time.
#[derive(Debug)]
pub struct BodyBudget {
    limit: u64,
    held_bytes: AtomicU64,
}

impl BodyBudget {
    /// Creates a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: u64) -> Arc<Self> {
        Arc::new(Self {
            limit,
            held_bytes: AtomicU64::new(0),
        })
    }

    /// Number of bytes that buffered bodies reserve now.
    #[must_use]
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes.load(Ordering::Relaxed)
    }

    fn try_reserve(&self, bytes: u64) -> bool {
        let previous = self.held_bytes.fetch_add(bytes, Ordering::Relaxed);
        if previous + bytes <= self.limit {
            return true;
        }
        self.held_bytes.fetch_sub(bytes, Ordering::Relaxed);
        false
    }
}

/// Request body in memory; its size counts against the budget until it is dropped.
#[derive(Debug)]
pub struct BufferedBody {
    budget: Arc<BodyBudget>,
    bytes: Vec<u8>,
    reserved_bytes: u64,
}

impl BufferedBody {
    pub(crate) fn new(budget: Arc<BodyBudget>) -> Self {
        Self {
            budget,
            bytes: Vec::new(),
            reserved_bytes: 0,
        }
    }

    /// Appends `chunk`; returns `false` when it would exceed the budget.
    pub(crate) fn extend(&mut self, chunk: &[u8]) -> bool {
        let count = chunk.len() as u64;
        if !self.budget.try_reserve(count) {
            return false;
        }
        self.reserved_bytes += count;
        self.bytes.extend_from_slice(chunk);
        true
    }

    /// Content received so far; empty after `clear`.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Frees the content but keeps its size reserved in the budget. For a handler
    /// that keeps the same amount of data in another form.
    pub fn clear(&mut self) {
        self.bytes = Vec::new();
    }
}

impl Drop for BufferedBody {
    fn drop(&mut self) {
        self.budget
            .held_bytes
            .fetch_sub(self.reserved_bytes, Ordering::Relaxed);
    }
}
