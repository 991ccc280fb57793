//! Jobs of several organisations, taken from the organisation with the lowest
//! counter first.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
    ops::Bound,
};

use types::TokenCount;

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

    /// The first `limit` jobs in the order in which they are served if each one's cost
    /// is charged to its organisation before the next is taken.
    pub(crate) fn first_in_order(
        &mut self,
        limit: usize,
        shares: &ShareTable,
        cost: impl Fn(&Job) -> TokenCount,
    ) -> Vec<(OrganisationIndex, Key)> {
        let mut order = Vec::new();
        // Organisations taken off the heap, with their next job and the counter that
        // they have when it is their turn.
        let mut turns: BinaryHeap<Reverse<(VirtualTokens, OrganisationIndex, Key)>> =
            BinaryHeap::new();
        let mut taken = Vec::new();
        while order.len() < limit {
            let top = self.settle_top(shares);
            let next_turn = turns.peek().map(|Reverse((counter, ..))| *counter);
            if let Some((counter, organisation)) = top
                && next_turn.is_none_or(|next| counter <= next)
            {
                self.heap.pop();
                taken.push(organisation);
                let first = self.jobs.get(&organisation);
                if let Some((key, _)) = first.and_then(BTreeMap::first_key_value) {
                    turns.push(Reverse((counter, organisation, *key)));
                }
                continue;
            }
            let Some(Reverse((counter, organisation, key))) = turns.pop() else {
                break;
            };
            order.push((organisation, key));
            let Some(jobs) = self.jobs.get(&organisation) else {
                continue;
            };
            let charge = jobs.get(&key).map_or(0, &cost);
            let counter = counter.saturating_add(shares.virtual_cost(organisation, charge));
            let later = jobs.range((Bound::Excluded(key), Bound::Unbounded)).next();
            if let Some((key, _)) = later {
                turns.push(Reverse((counter, organisation, *key)));
            }
        }
        for organisation in taken {
            let counter = shares.counter(organisation);
            self.heap.push(Reverse((counter, organisation)));
        }
        order
    }

    /// Number of jobs that are served before this one, if each organisation is served
    /// by its counter and its jobs cost about the same.
    pub(crate) fn place_of(
        &self,
        organisation: OrganisationIndex,
        key: Key,
        shares: &ShareTable,
    ) -> usize {
        let own = self.jobs.get(&organisation);
        let own = own.map_or(0, |jobs| jobs.range(..key).count());
        let counter = shares.counter(organisation);
        let others = self
            .jobs
            .iter()
            .filter(|(other, _)| **other != organisation);
        let others = others.map(|(other, jobs)| {
            let goes_first = (shares.counter(*other), *other) < (counter, organisation);
            jobs.len().min(own + usize::from(goes_first))
        });
        own + others.sum::<usize>()
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
