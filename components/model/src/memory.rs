//! Table of KV memory holds, each kept until it is released or expires.

use std::{collections::BTreeMap, time::Instant};

use types::{AttemptId, MemoryHold, RequestId, TokenCount};

use crate::HoldSpec;

/// Identifies an attempt on one engine.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct AttemptKey {
    pub(crate) request: RequestId,
    pub(crate) attempt: AttemptId,
}

impl AttemptKey {
    pub(crate) fn new(request: &RequestId, attempt: AttemptId) -> Self {
        Self {
            request: request.clone(),
            attempt,
        }
    }
}

/// KV memory held for one attempt.
#[derive(Clone, Debug)]
pub(crate) struct HeldMemory {
    pub(crate) holder: String,
    pub(crate) tokens: TokenCount,
    pub(crate) expires: Instant,
    /// Tokens of KV cache that an export or import filled.
    pub(crate) filled: TokenCount,
    /// When the import completes.
    pub(crate) ready: Instant,
    /// Whether the engine lends compute to the sequence.
    pub(crate) lending: bool,
    /// Priority of the sequence.
    pub(crate) priority: u32,
}

/// All holds of one engine, with their running totals.
#[derive(Clone, Debug, Default)]
pub(crate) struct HoldTable {
    holds: BTreeMap<AttemptKey, HeldMemory>,
    tokens: TokenCount,
    lending_count: u32,
}

impl HoldTable {
    pub(crate) fn tokens(&self) -> TokenCount {
        self.tokens
    }

    /// Lowest priority number among the sequences that the engine lends compute
    /// to; `None` when there is none.
    pub(crate) fn lending_priority(&self) -> Option<u32> {
        if self.lending_count == 0 {
            return None;
        }
        let lending = self.holds.values().filter(|hold| hold.lending);
        lending.map(|hold| hold.priority).min()
    }

    pub(crate) fn size_of(&self, key: &AttemptKey) -> TokenCount {
        self.holds.get(key).map_or(0, |hold| hold.tokens)
    }

    pub(crate) fn ready_at(&self, key: &AttemptKey) -> Option<Instant> {
        self.holds.get(key).map(|hold| hold.ready)
    }

    /// Adds a hold, or renews the attempt's existing one and keeps its import
    /// and lending state.
    pub(crate) fn insert(&mut self, now: Instant, spec: &HoldSpec) {
        let key = AttemptKey::new(&spec.request, spec.attempt);
        let previous = self.remove(&key);
        let hold = HeldMemory {
            holder: spec.holder.clone(),
            tokens: spec.tokens,
            expires: now + spec.lifetime,
            filled: previous.as_ref().map_or(0, |hold| hold.filled),
            ready: previous.as_ref().map_or(now, |hold| hold.ready),
            lending: previous.as_ref().is_some_and(|hold| hold.lending),
            priority: previous.map_or(0, |hold| hold.priority),
        };
        self.tokens += hold.tokens;
        self.lending_count += u32::from(hold.lending);
        self.holds.insert(key, hold);
    }

    pub(crate) fn remove(&mut self, key: &AttemptKey) -> Option<HeldMemory> {
        let hold = self.holds.remove(key)?;
        self.tokens -= hold.tokens;
        self.lending_count -= u32::from(hold.lending);
        Some(hold)
    }

    pub(crate) fn fill(&mut self, key: &AttemptKey, filled: TokenCount, ready: Instant) {
        if let Some(hold) = self.holds.get_mut(key) {
            hold.filled = filled;
            hold.ready = ready;
        }
    }

    pub(crate) fn set_lending(&mut self, key: &AttemptKey, lending: bool) {
        let Some(hold) = self.holds.get_mut(key) else {
            return;
        };
        self.lending_count -= u32::from(hold.lending);
        self.lending_count += u32::from(lending);
        hold.lending = lending;
    }

    pub(crate) fn set_priority(&mut self, key: &AttemptKey, priority: u32) {
        if let Some(hold) = self.holds.get_mut(key) {
            hold.priority = priority;
        }
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        let expired: Vec<AttemptKey> = self
            .holds
            .iter()
            .filter(|(_, hold)| hold.expires <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            self.remove(&key);
        }
    }

    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.holds.values().map(|hold| hold.expires).min()
    }

    pub(crate) fn report(&self, now: Instant) -> Vec<MemoryHold> {
        self.holds
            .iter()
            .map(|(key, hold)| MemoryHold {
                request: key.request.clone(),
                attempt: key.attempt,
                holder: hold.holder.clone(),
                tokens: hold.tokens,
                expires_in: hold.expires.saturating_duration_since(now),
            })
            .collect()
    }

    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }
}
