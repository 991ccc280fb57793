//! A stand-in's entry on the host list.

use std::time::Duration;

use kernel::ClockSource;
use serde::{Deserialize, Serialize};
use stores::{HostEntry, HostRegistrar};

const CALL_LIMIT: Duration = Duration::from_secs(2);

/// Where a stand-in lists itself.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostListing {
    /// Address of the platform stand-in; empty for no listing.
    pub platform: String,
    /// Time from a crash that it stays down after until it leaves the list,
    /// in milliseconds.
    pub unlist_ms: u64,
}

impl Default for HostListing {
    fn default() -> Self {
        Self {
            platform: String::new(),
            unlist_ms: 2_000,
        }
    }
}

impl HostListing {
    pub(crate) async fn register(&self, entry: &HostEntry, clock: &ClockSource) {
        if let Some(registrar) = self.registrar(clock) {
            let outcome = registrar.register(entry).await;
            report("register", &entry.id, outcome.err());
        }
    }

    pub(crate) async fn leave(&self, entry: &HostEntry, clock: &ClockSource) {
        if let Some(registrar) = self.registrar(clock) {
            let outcome = registrar.leave(entry).await;
            report("leave", &entry.id, outcome.err());
        }
    }

    pub(crate) async fn deregister(&self, entry: &HostEntry, clock: &ClockSource) {
        if let Some(registrar) = self.registrar(clock) {
            let outcome = registrar.deregister(entry).await;
            report("deregister", &entry.id, outcome.err());
        }
    }

    /// Takes a crashed process off the list once the platform has noticed.
    pub(crate) async fn deregister_crashed(&self, entry: &HostEntry, clock: &ClockSource) {
        if !self.platform.is_empty() {
            clock.sleep(Duration::from_millis(self.unlist_ms)).await;
            self.deregister(entry, clock).await;
        }
    }

    fn registrar(&self, clock: &ClockSource) -> Option<HostRegistrar> {
        if self.platform.is_empty() {
            return None;
        }
        let address = self.platform.clone();
        Some(HostRegistrar::new(address, clock.clone(), CALL_LIMIT))
    }
}

fn report(step: &str, host: &str, fault: Option<errors::PlatformError>) {
    match fault {
        None => log::info!("event=standin_listing step={step} host={host}"),
        Some(fault) => {
            log::warn!("event=standin_listing_failed step={step} host={host} cause=\"{fault}\"");
        }
    }
}
