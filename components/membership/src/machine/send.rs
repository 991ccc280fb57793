//! Contents of outgoing messages, within the datagram limit and the send budget.

use std::net::SocketAddr;

use rand::seq::IteratorRandom;
use types::NodeId;

use crate::{
    MemberAction, MemberRecord, MemberState, MessageKind, PeerMessage, TopicRecord,
    machine::{MembershipProtocol, PUSH_FANOUT, SENDS_PER_LOG_UNIT},
    message::{DATAGRAM_OVERHEAD_BYTES, encoded_size},
};

impl MembershipProtocol {
    /// Sends queued updates and topic bodies to a random member, then this node's own
    /// bodies of the topics that only the origin sends, as far as the send budget allows.
    pub(super) fn send_gossip(&mut self) {
        let max_bytes = self.settings.max_datagram_bytes;
        let has_queued = !self.update_queue.is_empty() || self.topics.has_queued();
        if has_queued && self.budget.allows(max_bytes) {
            for node in self.random_members(1) {
                self.send_to(&node, MessageKind::Gossip);
            }
        }
        let own_bodies: Vec<_> = self.topics.origin_only_records_of(&self.own.node);
        let own_bodies: Vec<_> = own_bodies.into_iter().cloned().collect();
        if own_bodies.is_empty() {
            return;
        }
        while self.budget.allows(max_bytes) {
            let next = self
                .own_body_schedule
                .next(&self.table, &self.own.node, &self.own.zone);
            let Some(node) = next else {
                return;
            };
            for record in &own_bodies {
                self.send_topic(&node, record);
            }
        }
    }

    pub(super) fn send_topic(&mut self, node: &NodeId, record: &TopicRecord) {
        let Some(entry) = self.table.get(node) else {
            return;
        };
        let to = entry.record.addresses.datagram;
        let message = PeerMessage {
            topics: vec![record.clone()],
            ..self.message_without_gossip(MessageKind::Gossip)
        };
        self.queue_message(to, Some(node.clone()), message);
    }

    pub(super) fn random_members(&mut self, count: usize) -> Vec<NodeId> {
        self.table
            .present()
            .filter(|record| record.node != self.own.node)
            .filter(|record| record.state != MemberState::Suspect)
            .map(|record| record.node.clone())
            .sample(&mut self.rng, count)
    }

    pub(super) fn push_updates(&mut self) {
        for node in self.random_members(PUSH_FANOUT) {
            self.send_to(&node, MessageKind::Gossip);
        }
    }

    pub(super) fn send_to(&mut self, node: &NodeId, kind: MessageKind) {
        let Some(entry) = self.table.get(node) else {
            return;
        };
        let to = entry.record.addresses.datagram;
        self.send(to, Some(node.clone()), kind);
    }

    /// Sends a message of `kind`. To an alive or leaving member it carries as many queued
    /// updates and, within the send budget, topic bodies as fit. A suspected, dead or
    /// left recipient gets its own record instead, so that it can refute; a dead, left
    /// or unknown one also gets the record of this node.
    pub(super) fn send(&mut self, to: SocketAddr, recipient: Option<NodeId>, kind: MessageKind) {
        let mut message = self.message_without_gossip(kind);
        let mut free_bytes = self.free_bytes(&message);
        for record in self.introduction_records(recipient.as_ref()) {
            free_bytes = free_bytes.saturating_sub(encoded_size(&record));
            message.updates.push(record);
        }
        if self.is_reachable(recipient.as_ref()) {
            self.add_gossip(&mut message, &mut free_bytes);
        }
        self.queue_message(to, recipient, message);
    }

    /// Returns whether `recipient` is likely to receive a message. Updates sent to an
    /// unreachable member would count as sent all the same.
    fn is_reachable(&self, recipient: Option<&NodeId>) -> bool {
        let entry = recipient.and_then(|node| self.table.get(node));
        entry.is_some_and(|entry| {
            matches!(
                entry.record.state,
                MemberState::Alive | MemberState::Leaving
            )
        })
    }

    fn add_gossip(&mut self, message: &mut PeerMessage, free_bytes: &mut usize) {
        let max_sends = self.max_sends();
        message
            .updates
            .extend(self.update_queue.take(free_bytes, max_sends));
        if self.topics.has_queued() && self.budget.allows(self.settings.max_datagram_bytes) {
            message.topics = self.topics.take_relayed(free_bytes, max_sends);
        }
    }

    pub(super) fn introduction_records(&self, recipient: Option<&NodeId>) -> Vec<MemberRecord> {
        let entry = recipient.and_then(|node| self.table.get(node));
        let Some(entry) = entry else {
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

    /// Returns a message of `kind` without updates and topic bodies.
    pub(super) fn message_without_gossip(&self, kind: MessageKind) -> PeerMessage {
        PeerMessage {
            kind,
            digest: self.table.digest(),
            note_version: self.own.note_version,
            highest_note_version: self.highest_note_version,
            updates: Vec::new(),
            topics: Vec::new(),
        }
    }

    pub(super) fn free_bytes(&self, message: &PeerMessage) -> usize {
        let used_bytes = encoded_size(message) + DATAGRAM_OVERHEAD_BYTES;
        self.settings.max_datagram_bytes.saturating_sub(used_bytes)
    }

    /// Returns how many times this node sends each member update or relayed topic body.
    /// Gossip needs a number of sends that
    /// grows with the logarithm of the member count.
    pub(super) fn max_sends(&self) -> u32 {
        let log_factor = (self.table.present().count() + 1).ilog10() + 2;
        SENDS_PER_LOG_UNIT * log_factor
    }

    pub(super) fn queue_message(
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
