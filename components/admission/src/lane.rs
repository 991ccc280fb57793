//! Jobs of several organisations, taken from the organisation with the lowest
//! counter first.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
};

use crate::{OrganisationIndex, ShareTable, VirtualTokens};

/// Jobs that wait for the same room, by organisation and then by key.
///
/// The counters in `heap` may be outdated; they are updated when they reach the
/// top.
#[derive(Debug)]
pub(crate) struct FairLane<Key, Job> {
    heap: BinaryHeap<Reverse<(VirtualTokens, OrganisationIndex)>>,
    in_heap: BTreeSet<OrganisationIndex>,
    jobs: HashMap<OrganisationIndex, BTreeMap<Key, Job>>,
    count: usize,
}

impl<Key, Job> Default for FairLane<Key, Job> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            in_heap: BTreeSet::new(),
            jobs: HashMap::new(),
            count: 0,
        }
    }
}

impl<Key: Copy + Ord, Job> FairLane<Key, Job> {
    pub(crate) fn len(&self) -> usize {
        self.count
    }

    pub(crate) fn push(
        &mut self,
        organisation: OrganisationIndex,
        key: Key,
        job: Job,
        shares: &ShareTable,
    ) {
        self.count += 1;
        self.jobs.entry(organisation).or_default().insert(key, job);
        if self.in_heap.insert(organisation) {
            let counter = shares.counter(organisation);
            self.heap.push(Reverse((counter, organisation)));
        }
    }

    pub(crate) fn get(&self, organisation: OrganisationIndex, key: Key) -> Option<&Job> {
        self.jobs.get(&organisation)?.get(&key)
    }

    pub(crate) fn remove(&mut self, organisation: OrganisationIndex, key: Key) -> Option<Job> {
        let jobs = self.jobs.get_mut(&organisation)?;
        let job = jobs.remove(&key)?;
        if jobs.is_empty() {
            self.jobs.remove(&organisation);
        }
        self.count -= 1;
        Some(job)
    }

    /// First job of the organisation with the lowest counter.
    pub(crate) fn head(&mut self, shares: &ShareTable) -> Option<&Job> {
        let (_, organisation) = self.settle_top(shares)?;
        let jobs = self.jobs.get(&organisation)?;
        jobs.first_key_value().map(|(_, job)| job)
    }

    /// An arbitrary job.
    pub(crate) fn any(&self) -> Option<&Job> {
        self.jobs.values().next()?.values().next()
    }

    /// Key of the organisation's last job.
    pub(crate) fn last_key(&self, organisation: OrganisationIndex) -> Option<Key> {
        let jobs = self.jobs.get(&organisation)?;
        jobs.last_key_value().map(|(key, _)| *key)
    }

    /// Brings the organisation with the lowest counter to the top of the heap.
    fn settle_top(&mut self, shares: &ShareTable) -> Option<(VirtualTokens, OrganisationIndex)> {
        loop {
            let Reverse((counter, organisation)) = self.heap.peek().copied()?;
            if !self.jobs.contains_key(&organisation) {
                self.heap.pop();
                self.in_heap.remove(&organisation);
                continue;
            }
            let current = shares.counter(organisation);
            if current == counter {
                return Some((counter, organisation));
            }
            self.heap.pop();
            self.heap.push(Reverse((current, organisation)));
        }
    }
}
