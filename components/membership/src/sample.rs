//! Whom to send this node's own bodies next: near members often, far ones seldom.

use std::{collections::BTreeMap, ops::Bound};

use types::{NodeId, ZoneId};

use crate::{MemberRecord, MemberState, table::MemberTable};

/// Goes round the members so that each is sent each body at most once.
#[derive(Clone, Debug)]
pub struct SampleOrder {
    far_interval: u64,
    count: u64,
    edition: u64,
    sent: BTreeMap<NodeId, u64>,
    near: NodeId,
    far: NodeId,
}

impl SampleOrder {
    /// An order in which every `far_interval`th sample goes to another zone.
    /// It starts after `own`, so that members don't all send to the same one.
    #[must_use]
    pub fn new(own: &NodeId, far_interval: u64) -> Self {
        Self {
            far_interval: far_interval.max(1),
            count: 0,
            edition: 0,
            sent: BTreeMap::new(),
            near: own.clone(),
            far: own.clone(),
        }
    }

    /// A newer body exists, which nobody has yet.
    pub fn renew(&mut self) {
        self.edition += 1;
    }

    /// The member to send to next; `None` when all have the newest body.
    pub fn next(&mut self, table: &MemberTable, own: &NodeId, zone: &ZoneId) -> Option<NodeId> {
        let far_first = (self.count + 1).is_multiple_of(self.far_interval);
        let near = self.after(table, own, &self.near, |record| record.zone == *zone);
        let far = self.after(table, own, &self.far, |record| record.zone != *zone);
        let near = near.map(|node| (node, true));
        let far = far.map(|node| (node, false));
        let (node, is_near) = if far_first {
            far.or(near)
        } else {
            near.or(far)
        }?;
        let cursor = if is_near {
            &mut self.near
        } else {
            &mut self.far
        };
        cursor.clone_from(&node);
        self.count += 1;
        self.sent.insert(node.clone(), self.edition);
        Some(node)
    }

    /// Forgets a gone member.
    pub fn forget(&mut self, node: &NodeId) {
        self.sent.remove(node);
    }

    fn after(
        &self,
        table: &MemberTable,
        own: &NodeId,
        cursor: &NodeId,
        wanted: impl Fn(&MemberRecord) -> bool,
    ) -> Option<NodeId> {
        let waits = |record: &MemberRecord| {
            record.node != *own
                && matches!(record.state, MemberState::Alive | MemberState::Leaving)
                && wanted(record)
                && self.sent.get(&record.node) != Some(&self.edition)
        };
        let later = (Bound::Excluded(cursor), Bound::Unbounded);
        let mut round = table.range(later).chain(table.range(..));
        round
            .find(|record| waits(record))
            .map(|record| record.node.clone())
    }
}
