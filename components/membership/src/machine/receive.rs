//! What a message from another member changes.

use std::{net::SocketAddr, time::Instant};

use rand::RngExt;
use types::{IncarnationNumber, NodeId};

use crate::{
    DIGEST_BUCKETS, MemberAction, MemberEntry, MemberRecord, MemberTable, MessageKind, PeerMessage,
    TopicRecord, machine::MembershipProtocol, message::encoded_size, probe::ProbeOrigin,
};

impl MembershipProtocol {
    pub(super) fn receive(
        &mut self,
        now: Instant,
        sender: &NodeId,
        from: SocketAddr,
        message: PeerMessage,
    ) {
        let synced = matches!(message.kind, MessageKind::SyncReply { .. });
        let mut learned = false;
        for record in &message.updates {
            learned |= self.learn(now, record, !synced);
        }
        self.table.heard(now, sender, message.note);
        self.hear_note(sender, &message);
        for record in message.topics {
            self.take_body(record);
        }
        self.compare_digest(sender, from, message.digest);
        // A reply that taught nothing would be given again: where tables differ
        // because this one has more, it is the other's turn to ask.
        if learned && message.kind == (MessageKind::SyncReply { more: true }) {
            self.request_sync(sender.clone(), from);
        }
        self.answer(now, sender, from, message.kind);
    }

    pub(super) fn answer(
        &mut self,
        now: Instant,
        sender: &NodeId,
        from: SocketAddr,
        kind: MessageKind,
    ) {
        match kind {
            MessageKind::Ping { probe } => {
                self.send(from, Some(sender.clone()), MessageKind::Ack { probe });
            }
            MessageKind::Ack { probe } => self.acknowledge(probe),
            MessageKind::PingRequest {
                probe,
                target,
                address,
            } => {
                let origin = ProbeOrigin {
                    node: sender.clone(),
                    address: from,
                    probe,
                };
                self.relay_ping(now, origin, target, address);
            }
            MessageKind::SyncRequest { buckets } => self.reply_sync(sender, from, &buckets),
            MessageKind::SyncReply { more: false } => self.joined = true,
            MessageKind::Share | MessageKind::SyncReply { more: true } => {}
            MessageKind::IncarnationTooOld { newest } => self.raise_incarnation(now, newest),
        }
    }

    /// News takes a while to reach all, so tables that differ are compared
    /// only when they go on differing. A few that are equal don't end that:
    /// they may lack the same.
    fn compare_digest(&mut self, sender: &NodeId, from: SocketAddr, digest: u32) {
        if digest != self.table.digest() {
            self.mismatches += 1;
            self.matches = 0;
            self.differing = Some((sender.clone(), from));
            return;
        }
        self.joined = true;
        self.matches += 1;
        if self.matches >= self.settings.sync_patience {
            self.mismatches = 0;
        }
    }

    /// Takes news of a member; returns whether it was news.
    pub(super) fn learn(&mut self, now: Instant, record: &MemberRecord, pass_on: bool) -> bool {
        if record.node == self.own.node {
            if record.supersedes(&self.own) {
                self.renew_own(now, record.incarnation + 1);
            }
            return false;
        }
        let unknown = self.table.get(&record.node).is_none();
        if unknown && !record.state.is_present() {
            return false;
        }
        if !self.table.merge(now, record) {
            return false;
        }
        if pass_on {
            self.updates.push(record.node.clone(), record.clone());
        }
        self.actions.push(MemberAction::Changed(record.clone()));
        true
    }

    fn hear_note(&mut self, sender: &NodeId, message: &PeerMessage) {
        if message.note > self.note_held {
            self.note_held = message.note;
            self.actions.push(MemberAction::NoteDiscovered {
                version: message.note,
                holder: Some(sender.clone()),
            });
        }
        let heard = message.note.max(message.note_heard);
        if heard > self.note_heard && heard > self.note_held {
            self.actions.push(MemberAction::NoteDiscovered {
                version: heard,
                holder: None,
            });
        }
        self.note_heard = self.note_heard.max(heard);
    }

    pub(super) fn take_body(&mut self, record: TopicRecord) {
        let own = record.origin == self.own.node;
        if !own && self.topics.merge(&record) {
            self.actions.push(MemberAction::TopicUpdated(record));
        }
    }

    pub(super) fn raise_incarnation(&mut self, now: Instant, newest: IncarnationNumber) {
        if newest < self.process_incarnation {
            return;
        }
        self.process_incarnation = newest + 1;
        let incarnation = self.own.incarnation.max(self.process_incarnation);
        self.actions
            .push(MemberAction::RaiseIncarnation(self.process_incarnation));
        self.renew_own(now, incarnation);
    }

    pub(super) fn reply_sync(&mut self, sender: &NodeId, from: SocketAddr, buckets: &[u32]) {
        let mut message = self.bare(MessageKind::SyncReply { more: false });
        let mut room = self.room(&message);
        let differs = |entry: &MemberEntry| {
            let bucket = MemberTable::bucket_of(entry);
            buckets.get(bucket) != self.table.buckets().get(bucket)
        };
        let entries = self.table.entries().filter(|entry| differs(entry));
        let mut records: Vec<_> = entries.map(|entry| entry.record.clone()).collect();
        // Whole buckets come first, so that each reply makes some equal, and
        // another bucket each time, so that none stands in the way.
        let first = self.rng.random_range(0..DIGEST_BUCKETS);
        records.sort_by_key(|record| {
            let entry = self.table.get(&record.node);
            let bucket = entry.map_or(0, MemberTable::bucket_of);
            (bucket + first) % DIGEST_BUCKETS
        });
        for record in records {
            let size = encoded_size(&record);
            if size > room {
                message.kind = MessageKind::SyncReply { more: true };
                break;
            }
            room -= size;
            message.updates.push(record);
        }
        self.dispatch(from, Some(sender.clone()), message);
    }

    pub(super) fn request_sync(&mut self, node: NodeId, address: SocketAddr) {
        let buckets = self.table.buckets().to_vec();
        self.send(address, Some(node), MessageKind::SyncRequest { buckets });
    }

    pub(super) fn compare_tables(&mut self, now: Instant) {
        let patient = self.joined && self.mismatches < self.settings.sync_patience;
        if now < self.next_sync || patient {
            return;
        }
        let Some((node, address)) = self.differing.take() else {
            return;
        };
        self.next_sync = now + self.settings.sync_period;
        self.mismatches = 0;
        self.request_sync(node, address);
    }
}
