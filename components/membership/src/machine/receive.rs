//! Handling of messages from other members.

use std::{net::SocketAddr, time::Instant};

use rand::RngExt;
use types::{IncarnationNumber, NodeId};

use crate::{
    DIGEST_BUCKETS, MemberAction, MemberEntry, MemberRecord, MemberTable, MessageKind, PeerMessage,
    TopicRecord, machine::MembershipProtocol, message::encoded_size, probe::ProbeRequester,
};

impl MembershipProtocol {
    pub(super) fn receive(
        &mut self,
        now: Instant,
        sender: &NodeId,
        from: SocketAddr,
        message: PeerMessage,
    ) {
        let from_sync = matches!(message.kind, MessageKind::SyncReply { .. });
        let mut has_new_records = false;
        for record in &message.updates {
            has_new_records |= self.merge_update(now, record, !from_sync);
        }
        self.table.record_contact(now, sender, message.note_version);
        self.observe_note_versions(sender, &message);
        for record in message.topics {
            self.merge_topic(record);
        }
        self.track_digest(sender, from, message.digest);
        // Requests the rest only if this reply brought new records; otherwise the peer
        // would send the same reply again. If the tables differ because this one has
        // more records, the peer has to request the sync.
        if has_new_records && message.kind == (MessageKind::SyncReply { truncated: true }) {
            self.request_sync(sender.clone(), from);
        }
        self.handle_kind(now, sender, from, message.kind);
    }

    pub(super) fn handle_kind(
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
            MessageKind::Ack { probe } => self.complete_probe(probe),
            MessageKind::PingRequest {
                probe,
                target,
                address,
            } => {
                let requester = ProbeRequester {
                    node: sender.clone(),
                    address: from,
                    probe,
                };
                self.relay_ping(now, requester, target, address);
            }
            MessageKind::SyncRequest { buckets } => self.reply_sync(sender, from, &buckets),
            MessageKind::SyncReply { truncated: false } => self.joined = true,
            MessageKind::Gossip | MessageKind::SyncReply { truncated: true } => {}
            MessageKind::IncarnationTooOld { newest } => self.raise_incarnation(now, newest),
        }
    }

    /// Counts differing digests. Updates take time to reach all members, so tables
    /// are compared only after repeated mismatches. A few equal digests don't reset
    /// the count, because those members may lack the same records.
    fn track_digest(&mut self, sender: &NodeId, from: SocketAddr, digest: u32) {
        if digest != self.table.digest() {
            self.digest_mismatches += 1;
            self.digest_matches = 0;
            self.mismatched_peer = Some((sender.clone(), from));
            return;
        }
        self.joined = true;
        self.digest_matches += 1;
        if self.digest_matches >= self.settings.sync_mismatch_threshold {
            self.digest_mismatches = 0;
        }
    }

    /// Merges the record of a member and returns whether it was new. A record that
    /// supersedes this node's own is refuted with a higher incarnation.
    pub(super) fn merge_update(
        &mut self,
        now: Instant,
        record: &MemberRecord,
        relay: bool,
    ) -> bool {
        if record.node == self.own.node {
            if record.supersedes(&self.own) {
                self.update_own_incarnation(now, record.incarnation + 1);
            }
            return false;
        }
        let is_unknown = self.table.get(&record.node).is_none();
        if is_unknown && !record.state.is_present() {
            return false;
        }
        if !self.table.merge(now, record) {
            return false;
        }
        if relay {
            self.update_queue.push(record.node.clone(), record.clone());
        }
        self.actions
            .push(MemberAction::MemberChanged(record.clone()));
        true
    }

    fn observe_note_versions(&mut self, sender: &NodeId, message: &PeerMessage) {
        if message.note_version > self.highest_held_note {
            self.highest_held_note = message.note_version;
            self.actions.push(MemberAction::NoteDiscovered {
                version: message.note_version,
                holder: Some(sender.clone()),
            });
        }
        let highest = message.note_version.max(message.highest_note_version);
        if highest > self.highest_note_version && highest > self.highest_held_note {
            self.actions.push(MemberAction::NoteDiscovered {
                version: highest,
                holder: None,
            });
        }
        self.highest_note_version = self.highest_note_version.max(highest);
    }

    pub(super) fn merge_topic(&mut self, record: TopicRecord) {
        let is_own = record.origin == self.own.node;
        if !is_own && self.topics.merge(&record) {
            self.actions.push(MemberAction::TopicUpdated(record));
        }
    }

    /// Raises the incarnation of this process above `newest`, which another member saw
    /// from this node.
    pub(super) fn raise_incarnation(&mut self, now: Instant, newest: IncarnationNumber) {
        if newest < self.process_incarnation {
            return;
        }
        self.process_incarnation = newest + 1;
        let incarnation = self.own.incarnation.max(self.process_incarnation);
        self.actions
            .push(MemberAction::RaiseIncarnation(self.process_incarnation));
        self.update_own_incarnation(now, incarnation);
    }

    pub(super) fn reply_sync(&mut self, sender: &NodeId, from: SocketAddr, peer_digests: &[u32]) {
        let mut message = self.message_without_gossip(MessageKind::SyncReply { truncated: false });
        let mut free_bytes = self.free_bytes(&message);
        let differs = |entry: &MemberEntry| {
            let bucket = MemberTable::bucket_of(entry);
            peer_digests.get(bucket) != self.table.bucket_digests().get(bucket)
        };
        let entries = self.table.entries().filter(|entry| differs(entry));
        let mut records: Vec<_> = entries.map(|entry| entry.record.clone()).collect();
        // Records are sorted by bucket, so that each reply completes some buckets,
        // and start at a random one, so that no bucket blocks the others.
        let bucket_offset = self.rng.random_range(0..DIGEST_BUCKETS);
        records.sort_by_key(|record| {
            let entry = self.table.get(&record.node);
            let bucket = entry.map_or(0, MemberTable::bucket_of);
            (bucket + bucket_offset) % DIGEST_BUCKETS
        });
        for record in records {
            let size = encoded_size(&record);
            if size > free_bytes {
                message.kind = MessageKind::SyncReply { truncated: true };
                break;
            }
            free_bytes -= size;
            message.updates.push(record);
        }
        self.queue_message(from, Some(sender.clone()), message);
    }

    pub(super) fn request_sync(&mut self, node: NodeId, address: SocketAddr) {
        let buckets = self.table.bucket_digests().to_vec();
        self.send(address, Some(node), MessageKind::SyncRequest { buckets });
    }

    pub(super) fn request_due_sync(&mut self, now: Instant) {
        let may_wait =
            self.joined && self.digest_mismatches < self.settings.sync_mismatch_threshold;
        if now < self.next_sync || may_wait {
            return;
        }
        let Some((node, address)) = self.mismatched_peer.take() else {
            return;
        };
        self.next_sync = now + self.settings.min_sync_interval;
        self.digest_mismatches = 0;
        self.request_sync(node, address);
    }
}
