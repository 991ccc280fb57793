//! Choice of the members that get this node's own topic bodies: those of its zone more
//! often than others.

use std::{collections::BTreeMap, ops::Bound};

use types::{NodeId, ZoneId};

use crate::{MemberRecord, MemberState, table::MemberTable};

/// Round-robin order over the members in which each gets each version at most once.
#[derive(Clone, Debug)]
pub struct OwnBodySchedule {
    cross_zone_interval: u64,
    sends: u64,
    version: u64,
    sent_versions: BTreeMap<NodeId, u64>,
    same_zone_cursor: NodeId,
    cross_zone_cursor: NodeId,
}

impl OwnBodySchedule {
    /// Creates an order in which every `cross_zone_interval`th send prefers members of
    /// other zones and the rest prefer the own zone. It starts after `own`, so that
    /// members don't all send to the same one.
    #[must_use]
    pub fn new(own: &NodeId, cross_zone_interval: u64) -> Self {
        Self {
            cross_zone_interval: cross_zone_interval.max(1),
            sends: 0,
            version: 0,
            sent_versions: BTreeMap::new(),
            same_zone_cursor: own.clone(),
            cross_zone_cursor: own.clone(),
        }
    }

    /// Records that this node published a newer body, which no member has yet.
    pub fn mark_updated(&mut self) {
        self.version += 1;
    }

    /// Returns the member to send to next, or `None` when all were sent the newest
    /// version.
    pub fn next(&mut self, table: &MemberTable, own: &NodeId, zone: &ZoneId) -> Option<NodeId> {
        let cross_zone_first = (self.sends + 1).is_multiple_of(self.cross_zone_interval);
        let same_zone = self.next_unsent(table, own, &self.same_zone_cursor, |record| {
            record.zone == *zone
        });
        let cross_zone = self.next_unsent(table, own, &self.cross_zone_cursor, |record| {
            record.zone != *zone
        });
        let same_zone = same_zone.map(|node| (node, true));
        let cross_zone = cross_zone.map(|node| (node, false));
        let (node, is_same_zone) = if cross_zone_first {
            cross_zone.or(same_zone)
        } else {
            same_zone.or(cross_zone)
        }?;
        let cursor = if is_same_zone {
            &mut self.same_zone_cursor
        } else {
            &mut self.cross_zone_cursor
        };
        cursor.clone_from(&node);
        self.sends += 1;
        self.sent_versions.insert(node.clone(), self.version);
        Some(node)
    }

    /// Removes a member that left the table.
    pub fn forget(&mut self, node: &NodeId) {
        self.sent_versions.remove(node);
    }

    /// Returns the next member after `cursor` in the order of identifiers that is
    /// `wanted`, reachable and not yet sent the newest version.
    fn next_unsent(
        &self,
        table: &MemberTable,
        own: &NodeId,
        cursor: &NodeId,
        wanted: impl Fn(&MemberRecord) -> bool,
    ) -> Option<NodeId> {
        let is_pending = |record: &MemberRecord| {
            record.node != *own
                && matches!(record.state, MemberState::Alive | MemberState::Leaving)
                && wanted(record)
                && self.sent_versions.get(&record.node) != Some(&self.version)
        };
        let after_cursor = (Bound::Excluded(cursor), Bound::Unbounded);
        let mut round = table.range(after_cursor).chain(table.range(..));
        round
            .find(|record| is_pending(record))
            .map(|record| record.node.clone())
    }
}
