//! The members as one node knows them.

use std::{
    collections::BTreeMap,
    ops::RangeBounds,
    time::{Duration, Instant},
};

use sha2::{Digest, Sha256};
use types::{NodeId, NoteVersion};

use crate::{MemberRecord, MemberState, MemberView};

/// Groups of members whose digests are compared.
pub const DIGEST_BUCKETS: usize = 32;

/// What a node holds about one member.
#[derive(Clone, Debug)]
pub struct MemberEntry {
    /// The newest record.
    pub record: MemberRecord,
    /// When the state last changed.
    pub changed: Instant,
    /// When it was last heard directly.
    pub heard: Option<Instant>,
    /// Place on the probe ring.
    pub ring: u64,
    digest: u32,
}

/// All members, gone ones included until they are forgotten.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    entries: BTreeMap<NodeId, MemberEntry>,
    buckets: [u32; DIGEST_BUCKETS],
}

impl MemberTable {
    /// An empty table.
    #[must_use]
    pub fn new() -> Self {
        Self {
            entries: BTreeMap::new(),
            buckets: [0; DIGEST_BUCKETS],
        }
    }

    /// Takes `record` if it is newer; returns whether it was.
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

    /// Marks `node` as being in `state` within its incarnation.
    pub fn mark(&mut self, now: Instant, node: &NodeId, state: MemberState) -> bool {
        let Some(entry) = self.entries.get(node) else {
            return false;
        };
        let record = MemberRecord {
            state,
            ..entry.record.clone()
        };
        self.merge(now, &record)
    }

    /// Notes that `node` was heard directly, with note `version` in force.
    pub fn heard(&mut self, now: Instant, node: &NodeId, version: NoteVersion) {
        if let Some(entry) = self.entries.get_mut(node) {
            entry.heard = Some(now);
            entry.record.note_version = entry.record.note_version.max(version);
        }
    }

    /// The entry of `node`.
    #[must_use]
    pub fn get(&self, node: &NodeId) -> Option<&MemberEntry> {
        self.entries.get(node)
    }

    /// All entries in order of their ids.
    pub fn entries(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    /// Records in order of their ids, from the start of `range`.
    pub fn range(&self, range: impl RangeBounds<NodeId>) -> impl Iterator<Item = &MemberRecord> {
        self.entries.range(range).map(|(_, entry)| &entry.record)
    }

    /// Records of members that may still run.
    pub fn present(&self) -> impl Iterator<Item = &MemberRecord> {
        let records = self.entries.values().map(|entry| &entry.record);
        records.filter(|record| record.state.is_present())
    }

    /// Drops gone members `age` after they went; returns their ids.
    pub fn forget(&mut self, now: Instant, age: Duration) -> Vec<NodeId> {
        let old = |entry: &&MemberEntry| {
            !entry.record.state.is_present() && now.saturating_duration_since(entry.changed) >= age
        };
        let gone: Vec<_> = self.entries.values().filter(old).collect();
        let gone: Vec<_> = gone.iter().map(|entry| entry.record.node.clone()).collect();
        for node in &gone {
            self.entries.remove(node);
        }
        gone
    }

    /// Digest of all present members; equal tables have equal digests.
    #[must_use]
    pub fn digest(&self) -> u32 {
        self.buckets.iter().fold(0, |sum, bucket| sum ^ bucket)
    }

    /// Digests of the buckets.
    #[must_use]
    pub fn buckets(&self) -> &[u32] {
        &self.buckets
    }

    /// Bucket of `entry`.
    #[must_use]
    pub fn bucket_of(entry: &MemberEntry) -> usize {
        bucket(entry.ring)
    }

    /// What the table says now.
    #[must_use]
    pub fn views(&self, now: Instant) -> Vec<MemberView> {
        let view = |entry: &MemberEntry| MemberView {
            record: entry.record.clone(),
            last_heard_age: entry
                .heard
                .map(|heard| now.saturating_duration_since(heard)),
        };
        self.entries.values().map(view).collect()
    }

    fn insert(&mut self, now: Instant, record: MemberRecord) {
        let entry = MemberEntry {
            ring: hash(&[record.node.as_bytes()]),
            digest: record_digest(&record),
            record,
            changed: now,
            heard: None,
        };
        self.buckets[bucket(entry.ring)] ^= entry.digest;
        self.entries.insert(entry.record.node.clone(), entry);
    }

    fn replace(&mut self, now: Instant, record: MemberRecord) {
        let Some(entry) = self.entries.get_mut(&record.node) else {
            return;
        };
        let digest = record_digest(&record);
        self.buckets[bucket(entry.ring)] ^= entry.digest ^ digest;
        entry.digest = digest;
        entry.record = record;
        entry.changed = now;
    }
}

fn bucket(ring: u64) -> usize {
    usize::try_from(ring % DIGEST_BUCKETS as u64).unwrap_or(0)
}

/// Suspicion is left out: it is short and would make every digest differ.
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
