//! A lagging host list in memory.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
    time::Instant,
};

use async_trait::async_trait;
use errors::PlatformError;
use kernel::ClockSource;
use types::{IncarnationNumber, UpstreamId};

use crate::{
    HostDeparture, HostEntry, HostList, HostState,
    fakes::{FaultInjector, faults::CallKind},
};

const HISTORY_ENTRIES: usize = 64;

type HostHistory = Vec<(Instant, Option<HostEntry>)>;

/// A host list in memory, with switchable faults; what it shows is as old as
/// the faults' lag.
#[derive(Debug)]
pub struct MemoryHosts {
    switch: FaultInjector,
    hosts: Mutex<BTreeMap<UpstreamId, HostHistory>>,
}

impl MemoryHosts {
    /// An empty list.
    #[must_use]
    pub fn new(clock: ClockSource) -> Self {
        Self {
            switch: FaultInjector::new("memory-hosts", clock),
            hosts: Mutex::default(),
        }
    }

    /// The faults.
    #[must_use]
    pub fn fault_injector(&self) -> &FaultInjector {
        &self.switch
    }

    /// Lists a host, or replaces its entry unless that is of a later life.
    pub fn register(&self, entry: HostEntry) {
        if self.current(&entry.id, entry.incarnation) {
            self.record(entry.id.clone(), Some(entry));
        }
    }

    /// Marks a host as leaving; an unknown host or an older life is no error.
    pub fn leave(&self, departure: &HostDeparture) {
        let Some(mut entry) = self.latest(&departure.id) else {
            return;
        };
        if entry.incarnation <= departure.incarnation {
            entry.state = HostState::Leaving;
            self.record(entry.id.clone(), Some(entry));
        }
    }

    /// Takes a host off the list; an unknown host or an older life is no
    /// error.
    pub fn deregister(&self, departure: &HostDeparture) {
        if self.current(&departure.id, departure.incarnation) {
            self.record(departure.id.clone(), None);
        }
    }

    fn latest(&self, id: &UpstreamId) -> Option<HostEntry> {
        self.locked(|hosts| hosts.get(id)?.last()?.1.clone())
    }

    fn current(&self, id: &UpstreamId, incarnation: IncarnationNumber) -> bool {
        let listed = self.latest(id).map(|entry| entry.incarnation);
        listed.is_none_or(|listed| listed <= incarnation)
    }

    fn record(&self, id: UpstreamId, entry: Option<HostEntry>) {
        let now = self.switch.clock().now();
        self.locked(|hosts| {
            let history = hosts.entry(id).or_default();
            history.push((now, entry));
            if history.len() > HISTORY_ENTRIES {
                history.remove(0);
            }
        });
    }

    fn listed(&self) -> Vec<HostEntry> {
        let at = self.switch.horizon();
        self.locked(|hosts| {
            let histories = hosts.values();
            histories
                .filter_map(|history| entry_at(history, at))
                .collect()
        })
    }

    fn locked<T>(&self, change: impl FnOnce(&mut BTreeMap<UpstreamId, HostHistory>) -> T) -> T {
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut hosts)
    }
}

fn entry_at(history: &HostHistory, at: Instant) -> Option<HostEntry> {
    let (_, entry) = history.iter().rev().find(|(since, _)| *since <= at)?;
    entry.clone()
}

#[async_trait]
impl HostList for MemoryHosts {
    async fn hosts(&self) -> Result<Vec<HostEntry>, PlatformError> {
        let effect = |_| Ok(self.listed());
        self.switch.run("hosts", CallKind::Read, effect).await
    }
}
