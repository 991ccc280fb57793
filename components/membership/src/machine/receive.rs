//! What a message from another member changes.

use std::{net::SocketAddr, time::Instant};

use types::{IncarnationNumber, NodeId};

use crate::{
    MemberAction, MemberEntry, MemberRecord, MemberTable, MessageKind, PeerMessage, TopicRecord,
    machine::MemberMachine, message::encoded_size, probe::ProbeOrigin,
};

impl MemberMachine {
    pub(super) fn receive(
        &mut self,
        now: Instant,
        sender: &NodeId,
        from: SocketAddr,
        message: PeerMessage,
    ) {
        let synced = matches!(message.kind, MessageKind::SyncReply { .. });
        for record in &message.updates {
            self.learn(now, record, !synced);
        }
        self.table.heard(now, sender, message.note);
        self.hear_note(sender, &message);
        for record in message.topics {
            self.take_body(record);
        }
        if message.digest == self.table.digest() {
            self.joined = true;
        } else {
            self.differing = Some((sender.clone(), from));
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
            MessageKind::SyncReply { more: true } => self.request_sync(sender.clone(), from),
            MessageKind::SyncReply { more: false } => self.joined = true,
            MessageKind::Share => {}
            MessageKind::LifeTooOld { newest } => self.raise_life(now, newest),
        }
    }

    pub(super) fn learn(&mut self, now: Instant, record: &MemberRecord, pass_on: bool) {
        if record.node == self.own.node {
            if record.supersedes(&self.own) {
                self.renew_own(now, record.incarnation + 1);
            }
            return;
        }
        let unknown = self.table.get(&record.node).is_none();
        if unknown && !record.state.is_present() {
            return;
        }
        if !self.table.merge(now, record) {
            return;
        }
        if pass_on {
            self.updates.push(record.node.clone(), record.clone());
        }
        self.actions.push(MemberAction::Changed(record.clone()));
    }

    fn hear_note(&mut self, sender: &NodeId, message: &PeerMessage) {
        if message.note > self.note_held {
            self.note_held = message.note;
            self.actions.push(MemberAction::NoteHeard {
                version: message.note,
                holder: Some(sender.clone()),
            });
        }
        let heard = message.note.max(message.note_heard);
        if heard > self.note_heard && heard > self.note_held {
            self.actions.push(MemberAction::NoteHeard {
                version: heard,
                holder: None,
            });
        }
        self.note_heard = self.note_heard.max(heard);
    }

    pub(super) fn take_body(&mut self, record: TopicRecord) {
        let own = record.origin == self.own.node;
        if !own && self.topics.merge(&record) {
            self.actions.push(MemberAction::Body(record));
        }
    }

    pub(super) fn raise_life(&mut self, now: Instant, newest: IncarnationNumber) {
        if newest < self.life {
            return;
        }
        self.life = newest + 1;
        let incarnation = self.own.incarnation.max(self.life);
        self.actions.push(MemberAction::RaiseLife(self.life));
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
        // Whole buckets come first, so that each reply makes some equal.
        records.sort_by_key(|record| {
            let entry = self.table.get(&record.node);
            entry.map_or(0, MemberTable::bucket_of)
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
        let quiet = now.saturating_duration_since(self.table.changed());
        let patient = self.joined && quiet < self.settings.sync_patience;
        if now < self.next_sync || patient {
            return;
        }
        let Some((node, address)) = self.differing.take() else {
            return;
        };
        self.next_sync = now + self.settings.sync_period;
        self.request_sync(node, address);
    }
}
