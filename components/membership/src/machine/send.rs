//! What is put into messages, and which may be sent.

use std::net::SocketAddr;

use rand::seq::IteratorRandom;
use types::NodeId;

use crate::{
    MemberAction, MemberRecord, MemberState, MessageKind, PeerMessage, TopicRecord,
    machine::{MembershipProtocol, PUSH_MEMBERS, SENDS_PER_DIGIT},
    message::{DATAGRAM_OVERHEAD_BYTES, encoded_size},
};

impl MembershipProtocol {
    /// Sends what waits to be passed on, then this node's own bodies.
    pub(super) fn share(&mut self) {
        let full = self.settings.datagram_limit;
        let waiting = !self.updates.is_empty() || self.topics.relays();
        if waiting && self.budget.allows(full) {
            for node in self.random_members(1) {
                self.send_to(&node, MessageKind::Share);
            }
        }
        let own: Vec<_> = self.topics.sampled_of(&self.own.node);
        let own: Vec<_> = own.into_iter().cloned().collect();
        if own.is_empty() {
            return;
        }
        while self.budget.allows(full) {
            let next = self
                .samples
                .next(&self.table, &self.own.node, &self.own.zone);
            let Some(node) = next else {
                return;
            };
            for record in &own {
                self.send_body(&node, record);
            }
        }
    }

    pub(super) fn send_body(&mut self, node: &NodeId, record: &TopicRecord) {
        let Some(entry) = self.table.get(node) else {
            return;
        };
        let to = entry.record.addresses.datagram;
        let message = PeerMessage {
            topics: vec![record.clone()],
            ..self.bare(MessageKind::Share)
        };
        self.dispatch(to, Some(node.clone()), message);
    }

    pub(super) fn random_members(&mut self, count: usize) -> Vec<NodeId> {
        self.table
            .present()
            .filter(|record| record.node != self.own.node)
            .filter(|record| record.state != MemberState::Suspect)
            .map(|record| record.node.clone())
            .sample(&mut self.rng, count)
    }

    pub(super) fn push_news(&mut self) {
        for node in self.random_members(PUSH_MEMBERS) {
            self.send_to(&node, MessageKind::Share);
        }
    }

    pub(super) fn send_to(&mut self, node: &NodeId, kind: MessageKind) {
        let Some(entry) = self.table.get(node) else {
            return;
        };
        let to = entry.record.addresses.datagram;
        self.send(to, Some(node.clone()), kind);
    }

    /// Sends `kind` with as much news as fits. A recipient that is suspected
    /// or gone is told so first, and who asks, so that it can refute.
    pub(super) fn send(&mut self, to: SocketAddr, recipient: Option<NodeId>, kind: MessageKind) {
        let mut message = self.bare(kind);
        let mut room = self.room(&message);
        for record in self.introduction(recipient.as_ref()) {
            room = room.saturating_sub(encoded_size(&record));
            message.updates.push(record);
        }
        if self.answers(recipient.as_ref()) {
            self.add_news(&mut message, &mut room);
        }
        self.dispatch(to, recipient, message);
    }

    /// Whether `recipient` is likely to get what it is sent; news sent to one
    /// that is not would count as passed on.
    fn answers(&self, recipient: Option<&NodeId>) -> bool {
        let entry = recipient.and_then(|node| self.table.get(node));
        entry.is_some_and(|entry| {
            matches!(
                entry.record.state,
                MemberState::Alive | MemberState::Leaving
            )
        })
    }

    fn add_news(&mut self, message: &mut PeerMessage, room: &mut usize) {
        let times = self.sends();
        message.updates.extend(self.updates.take(room, times));
        if self.topics.relays() && self.budget.allows(self.settings.datagram_limit) {
            message.topics = self.topics.take_relayed(room, times);
        }
    }

    pub(super) fn introduction(&self, recipient: Option<&NodeId>) -> Vec<MemberRecord> {
        let known = recipient.and_then(|node| self.table.get(node));
        let Some(entry) = known else {
            return vec![self.own.clone()];
        };
        match entry.record.state {
            MemberState::Alive | MemberState::Leaving => Vec::new(),
            MemberState::Suspect => vec![entry.record.clone()],
            MemberState::Dead | MemberState::Left => {
                vec![entry.record.clone(), self.own.clone()]
            }
        }
    }

    pub(super) fn bare(&self, kind: MessageKind) -> PeerMessage {
        PeerMessage {
            kind,
            digest: self.table.digest(),
            note: self.own.note_version,
            note_heard: self.note_heard,
            updates: Vec::new(),
            topics: Vec::new(),
        }
    }

    pub(super) fn room(&self, message: &PeerMessage) -> usize {
        let used = encoded_size(message) + DATAGRAM_OVERHEAD_BYTES;
        self.settings.datagram_limit.saturating_sub(used)
    }

    pub(super) fn sends(&self) -> u32 {
        let digits = (self.table.present().count() + 1).ilog10() + 2;
        SENDS_PER_DIGIT * digits
    }

    pub(super) fn dispatch(
        &mut self,
        to: SocketAddr,
        recipient: Option<NodeId>,
        message: PeerMessage,
    ) {
        let size = encoded_size(&message) + DATAGRAM_OVERHEAD_BYTES;
        self.budget.spend(size);
        self.actions.push(MemberAction::Send {
            to,
            recipient,
            message,
        });
    }
}
