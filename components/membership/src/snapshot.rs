//! The members at one moment, as other services read them.

use types::{NodeId, NoteVersion};

use crate::{MemberRecord, MemberState, MemberView, OwnerCandidate};

/// The members as this node knew them at one moment, gone ones included.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MemberSnapshot {
    /// The node that took it.
    pub local_node: NodeId,
    /// Members in order of their ids.
    pub views: Vec<MemberView>,
}

impl MemberSnapshot {
    /// The record of `node`.
    #[must_use]
    pub fn record(&self, node: &NodeId) -> Option<&MemberRecord> {
        let mut records = self.views.iter().map(|view| &view.record);
        records.find(|record| record.node == *node)
    }

    /// Members that take new work now: alive and not suspected.
    pub fn serving(&self) -> impl Iterator<Item = &MemberRecord> {
        let records = self.views.iter().map(|view| &view.record);
        records.filter(|record| record.state == MemberState::Alive)
    }

    /// Members among which engines are dealt. A suspect stays among them
    /// until it is dead, so that a lost datagram moves no engine.
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

    /// Other members that hold at least `version` of the release notes.
    pub fn note_holders(&self, version: NoteVersion) -> impl Iterator<Item = &MemberRecord> {
        let records = self.views.iter().map(|view| &view.record);
        records.filter(move |record| {
            record.node != self.local_node
                && record.state.is_present()
                && record.note_version >= version
        })
    }
}
