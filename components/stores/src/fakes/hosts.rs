//! In-memory host list that can lag behind changes.

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

/// States kept for each host; a lagging read of an older one does not list the host.
const MAX_HISTORY_ENTRIES: usize = 64;

type HostHistory = Vec<(Instant, Option<HostEntry>)>;

/// In-memory host list with fault injection. Reads return the list as it was
/// `lag_ms` ago.
#[derive(Debug)]
pub struct MemoryHosts {
    injector: FaultInjector,
    hosts: Mutex<BTreeMap<UpstreamId, HostHistory>>,
}

impl MemoryHosts {
    /// Creates an empty list.
    #[must_use]
    pub fn new(clock: ClockSource) -> Self {
        Self {
            injector: FaultInjector::new("memory-hosts", clock),
            hosts: Mutex::default(),
        }
    }

    /// Injector that sets the faults and limits of the calls.
    #[must_use]
    pub fn fault_injector(&self) -> &FaultInjector {
        &self.injector
    }

    /// Adds a host, or replaces its entry unless that has a newer incarnation.
    pub fn register(&self, entry: HostEntry) {
        if self.is_current(&entry.id, entry.incarnation) {
            self.append_history(entry.id.clone(), Some(entry));
        }
    }

    /// Marks a host as leaving. Ignores an unknown host and an older incarnation.
    pub fn leave(&self, departure: &HostDeparture) {
        let Some(mut entry) = self.latest_entry(&departure.id) else {
            return;
        };
        if entry.incarnation <= departure.incarnation {
            entry.state = HostState::Leaving;
            self.append_history(entry.id.clone(), Some(entry));
        }
    }

    /// Removes a host from the list unless its entry has a newer incarnation. An
    /// unknown host stays unlisted.
    pub fn deregister(&self, departure: &HostDeparture) {
        if self.is_current(&departure.id, departure.incarnation) {
            self.append_history(departure.id.clone(), None);
        }
    }

    fn latest_entry(&self, id: &UpstreamId) -> Option<HostEntry> {
        self.with_hosts(|hosts| hosts.get(id)?.last()?.1.clone())
    }

    fn is_current(&self, id: &UpstreamId, incarnation: IncarnationNumber) -> bool {
        let listed = self.latest_entry(id).map(|entry| entry.incarnation);
        listed.is_none_or(|listed| listed <= incarnation)
    }

    fn append_history(&self, id: UpstreamId, entry: Option<HostEntry>) {
        let now = self.injector.clock().now();
        self.with_hosts(|hosts| {
            let history = hosts.entry(id).or_default();
            history.push((now, entry));
            if history.len() > MAX_HISTORY_ENTRIES {
                history.remove(0);
            }
        });
    }

    fn visible_hosts(&self) -> Vec<HostEntry> {
        let at = self.injector.lagging_read_time();
        self.with_hosts(|hosts| {
            let histories = hosts.values();
            histories
                .filter_map(|history| entry_at(history, at))
                .collect()
        })
    }

    fn with_hosts<T>(&self, change: impl FnOnce(&mut BTreeMap<UpstreamId, HostHistory>) -> T) -> T {
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
        let effect = |_| Ok(self.visible_hosts());
        self.injector.run("hosts", CallKind::Read, effect).await
    }
}
