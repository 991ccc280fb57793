//! Selects the relays, which gather the load reports of all nodes and return
//! the aggregate: in each availability zone, the first ready node by name. When
//! a relay does not answer, a node asks the next one.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::RosterEntry;

/// Time without an answer after which the next relay is asked: a few report
/// intervals.
const RELAY_TIMEOUT: Duration = Duration::from_millis(350);

/// Returns the relays that the node `own` reports to, without itself. The relay
/// of its own zone comes first, as traffic within a zone is cheapest.
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

/// Selects the relay that this node asks for the aggregate of the other nodes'
/// loads.
#[derive(Debug, Default)]
pub struct RelaySelector {
    offset: usize,
    waiting_since: Option<Instant>,
}

impl RelaySelector {
    /// Index of the relay to ask among `count`; `None` without relays. The first
    /// call after an answer starts the timeout. Moves on to the next relay when the
    /// current one has not answered in time.
    pub fn relay_to_ask(&mut self, now: Instant, count: usize) -> Option<usize> {
        let since = *self.waiting_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= RELAY_TIMEOUT {
            self.offset += 1;
            self.waiting_since = Some(now);
        }
        self.offset.checked_rem(count)
    }

    /// Records that the aggregate has arrived.
    pub fn record_answer(&mut self) {
        self.waiting_since = None;
    }
}
