//! Which nodes gather the loads of all nodes and hand out the sums: the first
//! ready one of each availability zone, by name. No node waits for one that is
//! silent; it asks the next.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::RosterEntry;

/// Silence of a relay after which the next one is asked: a few reports.
const RELAY_TIMEOUT: Duration = Duration::from_millis(350);

/// The relays that the node `own` reports to, those of its own zone first, as
/// that traffic is cheapest. It is not among them when it is one itself.
#[must_use]
pub fn select_relays<'a>(
    own: &'a RosterEntry,
    live: impl Iterator<Item = &'a RosterEntry>,
) -> Vec<&'a RosterEntry> {
    let mut relays_by_zone: BTreeMap<&str, &RosterEntry> = BTreeMap::new();
    let all = live.chain([own]);
    for entry in all.filter(|entry| entry.ready) {
        let relay = relays_by_zone.entry(&entry.zone).or_insert(entry);
        if entry.node < relay.node {
            *relay = entry;
        }
    }
    let mut relays: Vec<&RosterEntry> = relays_by_zone.into_values().collect();
    relays.retain(|entry| entry.node != own.node);
    relays.sort_by_key(|entry| entry.zone != own.zone);
    relays
}

/// The relay that a node asks for the sums.
#[derive(Debug, Default)]
pub struct RelaySelector {
    offset: usize,
    waiting_since: Option<Instant>,
}

impl RelaySelector {
    /// Position of the relay to ask among `count`; `None` without relays.
    pub fn next_relay(&mut self, now: Instant, count: usize) -> Option<usize> {
        let since = *self.waiting_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= RELAY_TIMEOUT {
            self.offset += 1;
            self.waiting_since = Some(now);
        }
        self.offset.checked_rem(count)
    }

    /// Notes that the sums came.
    pub fn record_answer(&mut self) {
        self.waiting_since = None;
    }
}
