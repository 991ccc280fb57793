//! Request bodies, bounded one by one and all together.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// Bytes of request bodies that the node may hold at once.
#[derive(Debug)]
pub struct BodyBudget {
    limit: u64,
    held: AtomicU64,
}

impl BodyBudget {
    /// A budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: u64) -> Arc<Self> {
        Arc::new(Self {
            limit,
            held: AtomicU64::new(0),
        })
    }

    /// Bytes held now.
    #[must_use]
    pub fn held_bytes(&self) -> u64 {
        self.held.load(Ordering::Relaxed)
    }

    fn take(&self, bytes: u64) -> bool {
        let before = self.held.fetch_add(bytes, Ordering::Relaxed);
        if before + bytes <= self.limit {
            return true;
        }
        self.held.fetch_sub(bytes, Ordering::Relaxed);
        false
    }
}

/// A request body; its bytes count against the budget until it is dropped.
#[derive(Debug)]
pub struct BufferedBody {
    budget: Arc<BodyBudget>,
    bytes: Vec<u8>,
    counted: u64,
}

impl BufferedBody {
    pub(crate) fn new(budget: Arc<BodyBudget>) -> Self {
        Self {
            budget,
            bytes: Vec::new(),
            counted: 0,
        }
    }

    /// Adds a part; `false` when the budget has no room for it.
    pub(crate) fn extend(&mut self, part: &[u8]) -> bool {
        let count = part.len() as u64;
        if !self.budget.take(count) {
            return false;
        }
        self.counted += count;
        self.bytes.extend_from_slice(part);
        true
    }

    /// The bytes.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Frees the bytes but keeps them counted, for a caller that holds the
    /// same amount in another form.
    pub fn clear(&mut self) {
        self.bytes = Vec::new();
    }
}

impl Drop for BufferedBody {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.counted, Ordering::Relaxed);
    }
}
