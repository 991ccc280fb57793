//! Buffered request bodies, charged to the memory budget that they share.

use std::sync::Arc;

use memory::{ChargeKind, MemoryBudget, MemoryCharge, ORDINARY_BODY_BYTES};

/// Smallest buffer of a body.
const BUFFER_MIN_BYTES: usize = 4 << 10;

/// Request body in memory; its buffer counts against the budget until it is dropped.
#[derive(Debug)]
pub struct BufferedBody {
    bytes: Vec<u8>,
    charge: MemoryCharge,
}

impl BufferedBody {
    pub(crate) fn new(budget: &Arc<MemoryBudget>) -> Self {
        Self {
            bytes: Vec::new(),
            charge: budget.charge(),
        }
    }

    /// Appends `chunk`; returns `false` when its buffer would exceed the budget.
    pub(crate) fn extend(&mut self, chunk: &[u8]) -> bool {
        let needed = self.bytes.len() + chunk.len();
        let capacity = self.bytes.capacity();
        if needed > capacity {
            let doubled = needed.max(capacity * 2).max(BUFFER_MIN_BYTES);
            if !self.try_grow(doubled) && !self.try_grow(needed) {
                return false;
            }
        }
        self.bytes.extend_from_slice(chunk);
        true
    }

    fn try_grow(&mut self, capacity: usize) -> bool {
        let kind = if capacity as u64 <= ORDINARY_BODY_BYTES {
            ChargeKind::Ordinary
        } else {
            ChargeKind::Bulk
        };
        let added = capacity - self.bytes.capacity();
        let is_charged = self.charge.try_grow(added as u64, kind);
        if is_charged {
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        is_charged
    }

    /// Content received so far; empty after `clear`.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Frees the content but keeps its size charged to the budget. For a handler
    /// that keeps the same amount of data in another form.
    pub fn clear(&mut self) {
        self.bytes = Vec::new();
    }
}
