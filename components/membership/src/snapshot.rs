//! Snapshot of the member table for the other services of a node.

use types::{NodeId, NoteVersion};

use crate::{MemberRecord, MemberState, MemberView, OwnerCandidate};

/// Members that this node knew at one moment, including dead and left ones that
/// are not yet removed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MemberSnapshot {
    /// Node that took the snapshot; it is among `views` too.
    pub local_node: NodeId,
    /// Members in order of their identifiers.
    pub views: Vec<MemberView>,
}

impl MemberSnapshot {
    /// Returns the record of `node`, if it is a known member.
    #[must_use]
    pub fn record(&self, node: &NodeId) -> Option<&MemberRecord> {
        let mut records = self.views.iter().map(|view| &view.record);
        records.find(|record| record.node == *node)
    }

    /// Returns the members that take new work: alive, not suspected and not leaving.
    pub fn serving(&self) -> impl Iterator<Item = &MemberRecord> {
        let records = self.views.iter().map(|view| &view.record);
        records.filter(|record| record.state == MemberState::Alive)
    }

    /// Returns the members that engines are assigned to. A suspected member stays
    /// one until it is declared dead, so that a lost datagram moves no engine.
    #[must_use]
    pub fn owner_candidates(&self) -> Vec<OwnerCandidate> {
        let may_own = |state| matches!(state, MemberState::Alive | MemberState::Suspect);
        let records = self.views.iter().map(|view| &view.record);
        records
            .filter(|record| may_own(record.state))
            .map(|record| OwnerCandidate {
                node: record.node.clone(),
                zone: record.zone.clone(),
            })
            .collect()
    }

    /// Returns the other members that can serve release note `version` or a newer one.
    pub fn note_holders(&self, version: NoteVersion) -> impl Iterator<Item = &MemberRecord> {
        let records = self.views.iter().map(|view| &view.record);
        records.filter(move |record| {
            record.node != self.local_node
                && record.state.is_present()
                && record.note_version >= version
        })
    }
}
