//! Budget for the memory that callers make a process hold.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// What memory is charged for, which decides how much of the budget it may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChargeKind {
    /// What an ordinary request needs; may use the whole budget.
    Ordinary,
    /// What a request needs beyond that; may use no more than the bulk limit.
    Bulk,
}

/// Memory that callers may make a process hold. Nothing is allocated in advance: holders
/// charge what they occupy when they occupy it.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: u64,
    bulk_limit: u64,
    held_bytes: AtomicU64,
    bulk_bytes: AtomicU64,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes, of which [`ChargeKind::Bulk`] may use `bulk_limit`.
    #[must_use]
    pub fn new(limit: u64, bulk_limit: u64) -> Arc<Self> {
        Arc::new(Self {
            limit,
            bulk_limit: bulk_limit.min(limit),
            held_bytes: AtomicU64::new(0),
            bulk_bytes: AtomicU64::new(0),
        })
    }

    /// Bytes that bulk may use, and so the largest body that can be held.
    #[must_use]
    pub fn bulk_limit(&self) -> u64 {
        self.bulk_limit
    }

    /// Bytes that are charged now.
    #[must_use]
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes.load(Ordering::Relaxed)
    }

    /// Bytes that bulk may still use.
    #[must_use]
    pub fn free_bulk_bytes(&self) -> u64 {
        self.bulk_limit
            .saturating_sub(self.bulk_bytes.load(Ordering::Relaxed))
    }

    /// Returns an empty charge on this budget.
    #[must_use]
    pub fn charge(self: &Arc<Self>) -> MemoryCharge {
        MemoryCharge {
            budget: Arc::clone(self),
            ordinary_bytes: 0,
            bulk_bytes: 0,
        }
    }

    fn try_add(&self, bytes: u64, kind: ChargeKind) -> bool {
        if kind == ChargeKind::Bulk && !try_raise(&self.bulk_bytes, bytes, self.bulk_limit) {
            return false;
        }
        let is_added = try_raise(&self.held_bytes, bytes, self.limit);
        if !is_added && kind == ChargeKind::Bulk {
            self.bulk_bytes.fetch_sub(bytes, Ordering::Relaxed);
        }
        is_added
    }
}

/// Adds `bytes` to the counter if it stays within `limit`.
fn try_raise(counter: &AtomicU64, bytes: u64, limit: u64) -> bool {
    let raised = |count: u64| count.checked_add(bytes).filter(|sum| *sum <= limit);
    counter
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, raised)
        .is_ok()
}

/// Memory that one holder occupies; it is given back when this is dropped.
#[derive(Debug)]
pub struct MemoryCharge {
    budget: Arc<MemoryBudget>,
    ordinary_bytes: u64,
    bulk_bytes: u64,
}

impl MemoryCharge {
    /// Bytes that are charged.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.ordinary_bytes + self.bulk_bytes
    }

    /// Charges further `bytes`; returns whether they fit into the budget.
    pub fn try_grow(&mut self, bytes: u64, kind: ChargeKind) -> bool {
        if !self.budget.try_add(bytes, kind) {
            return false;
        }
        match kind {
            ChargeKind::Ordinary => self.ordinary_bytes += bytes,
            ChargeKind::Bulk => self.bulk_bytes += bytes,
        }
        true
    }

    /// Charges further `bytes` whether or not they fit: for what is bounded by its number, such
    /// as connections.
    pub fn grow(&mut self, bytes: u64) {
        self.budget.held_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.ordinary_bytes += bytes;
    }

    /// Gives up to `bytes` back, those of bulk first.
    pub fn shrink(&mut self, bytes: u64) {
        let bulk = bytes.min(self.bulk_bytes);
        let ordinary = (bytes - bulk).min(self.ordinary_bytes);
        self.bulk_bytes -= bulk;
        self.ordinary_bytes -= ordinary;
        self.budget.bulk_bytes.fetch_sub(bulk, Ordering::Relaxed);
        self.budget
            .held_bytes
            .fetch_sub(bulk + ordinary, Ordering::Relaxed);
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        self.shrink(self.bytes());
    }
}
