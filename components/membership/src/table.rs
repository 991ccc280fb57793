//! Member table of one node, with digests to compare it with those of others.

use std::{
    collections::BTreeMap,
    ops::RangeBounds,
    time::{Duration, Instant},
};

use sha2::{Digest, Sha256};
use types::{NodeId, NoteVersion};

use crate::{MemberRecord, MemberState, MemberView};

/// Number of buckets into which members are hashed; a sync transfers only the buckets
/// whose digests differ.
pub const DIGEST_BUCKETS: usize = 32;

/// Entry of the member table.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// Newest known record of the member.
    pub record: MemberRecord,
    /// Time at which the state or incarnation last changed.
    pub changed_at: Instant,
    /// Time of the last datagram from the member itself; `None` if there was none. For
    /// this node it is the time at which a release note last came into force.
    pub last_heard: Option<Instant>,
    /// Position on the hash ring that orders the probes.
    pub ring_position: u64,
    digest: u32,
}

/// All known members; dead and left ones stay until their retention ends.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    entries: BTreeMap<NodeId, MemberEntry>,
    bucket_digests: [u32; DIGEST_BUCKETS],
}

impl MemberTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self {
            entries: BTreeMap::new(),
            bucket_digests: [0; DIGEST_BUCKETS],
        }
    }

    /// Stores `record` if it supersedes the known one; returns whether it did. Of another
    /// record of the same incarnation only a higher note version is kept.
    pub fn merge(&mut self, now: Instant, record: &MemberRecord) -> bool {
        let Some(entry) = self.entries.get_mut(&record.node) else {
            self.insert(now, record.clone());
            return true;
        };
        if record.supersedes(&entry.record) {
            self.replace(now, record.clone());
            return true;
        }
        if record.incarnation == entry.record.incarnation {
            let known = entry.record.note_version;
            entry.record.note_version = known.max(record.note_version);
        }
        false
    }

    /// Sets `node` to a later `state` of its incarnation; returns whether it changed.
    pub fn set_state(&mut self, now: Instant, node: &NodeId, state: MemberState) -> bool {
        let Some(entry) = self.entries.get(node) else {
            return false;
        };
        let record = MemberRecord {
            state,
            ..entry.record.clone()
        };
        self.merge(now, &record)
    }

    /// Sets the time at which `node` was last heard, and raises its release note version
    /// to `version` if that is higher. Called for each datagram from it and, for this
    /// node, when a note comes into force.
    pub fn record_contact(&mut self, now: Instant, node: &NodeId, version: NoteVersion) {
        if let Some(entry) = self.entries.get_mut(node) {
            entry.last_heard = Some(now);
            entry.record.note_version = entry.record.note_version.max(version);
        }
    }

    /// Returns the entry of `node`, if it is known.
    #[must_use]
    pub fn get(&self, node: &NodeId) -> Option<&MemberEntry> {
        self.entries.get(node)
    }

    /// Returns all entries in order of their identifiers.
    pub fn entries(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    /// Returns the records in `range` in order of their identifiers.
    pub fn range(&self, range: impl RangeBounds<NodeId>) -> impl Iterator<Item = &MemberRecord> {
        self.entries.range(range).map(|(_, entry)| &entry.record)
    }

    /// Returns the records of members whose processes may still be running.
    pub fn present(&self) -> impl Iterator<Item = &MemberRecord> {
        let records = self.entries.values().map(|entry| &entry.record);
        records.filter(|record| record.state.is_present())
    }

    /// Removes members that were dead or left for `retention`; returns their identifiers.
    pub fn remove_expired(&mut self, now: Instant, retention: Duration) -> Vec<NodeId> {
        let is_expired = |entry: &&MemberEntry| {
            !entry.record.state.is_present()
                && now.saturating_duration_since(entry.changed_at) >= retention
        };
        let gone: Vec<_> = self.entries.values().filter(is_expired).collect();
        let gone: Vec<_> = gone.iter().map(|entry| entry.record.node.clone()).collect();
        for node in &gone {
            self.entries.remove(node);
        }
        gone
    }

    /// Returns the digest of all present members; equal tables have equal digests.
    #[must_use]
    pub fn digest(&self) -> u32 {
        self.bucket_digests
            .iter()
            .fold(0, |sum, bucket| sum ^ bucket)
    }

    /// Returns the digest of each bucket.
    #[must_use]
    pub fn bucket_digests(&self) -> &[u32] {
        &self.bucket_digests
    }

    /// Returns the index of the bucket that holds `entry`.
    #[must_use]
    pub fn bucket_of(entry: &MemberEntry) -> usize {
        bucket_index(entry.ring_position)
    }

    /// Returns all members with the time since each was last heard.
    #[must_use]
    pub fn views(&self, now: Instant) -> Vec<MemberView> {
        let view = |entry: &MemberEntry| MemberView {
            record: entry.record.clone(),
            last_heard_age: entry
                .last_heard
                .map(|heard| now.saturating_duration_since(heard)),
        };
        self.entries.values().map(view).collect()
    }

    fn insert(&mut self, now: Instant, record: MemberRecord) {
        let entry = MemberEntry {
            ring_position: hash(&[record.node.as_bytes()]),
            digest: record_digest(&record),
            record,
            changed_at: now,
            last_heard: None,
        };
        self.bucket_digests[bucket_index(entry.ring_position)] ^= entry.digest;
        self.entries.insert(entry.record.node.clone(), entry);
    }

    fn replace(&mut self, now: Instant, record: MemberRecord) {
        let Some(entry) = self.entries.get_mut(&record.node) else {
            return;
        };
        let digest = record_digest(&record);
        self.bucket_digests[bucket_index(entry.ring_position)] ^= entry.digest ^ digest;
        entry.digest = digest;
        entry.record = record;
        entry.changed_at = now;
    }
}

fn bucket_index(ring_position: u64) -> usize {
    usize::try_from(ring_position % DIGEST_BUCKETS as u64).unwrap_or(0)
}

/// Returns the digest of a present member's identifier and incarnation. Its state is
/// left out, because short suspicions would make all digests differ.
fn record_digest(record: &MemberRecord) -> u32 {
    if !record.state.is_present() {
        return 0;
    }
    let sum = hash(&[record.node.as_bytes(), &record.incarnation.to_le_bytes()]);
    (sum >> 32) as u32
}

fn hash(parts: &[&[u8]]) -> u64 {
    let mut digest = Sha256::new();
    for part in parts {
        digest.update(part);
        digest.update([0]);
    }
    let bytes: [u8; 32] = digest.finalize().into();
    bytes
        .iter()
        .take(8)
        .fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}
