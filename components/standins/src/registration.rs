//! Registers a stand-in on the host list of the platform.

use std::time::Duration;

use kernel::ClockSource;
use serde::{Deserialize, Serialize};
use stores::{HostEntry, HostRegistrar};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Settings of a stand-in's registration on the host list.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostListing {
    /// Address of the platform stand-in; if empty, the stand-in does not register.
    pub platform: String,
    /// Delay between a crash without restart and the removal from the list, in
    /// milliseconds.
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
            log_outcome("register", &entry.id, outcome.err());
        }
    }

    pub(crate) async fn leave(&self, entry: &HostEntry, clock: &ClockSource) {
        if let Some(registrar) = self.registrar(clock) {
            let outcome = registrar.leave(entry).await;
            log_outcome("leave", &entry.id, outcome.err());
        }
    }

    pub(crate) async fn deregister(&self, entry: &HostEntry, clock: &ClockSource) {
        if let Some(registrar) = self.registrar(clock) {
            let outcome = registrar.deregister(entry).await;
            log_outcome("deregister", &entry.id, outcome.err());
        }
    }

    /// Removes a crashed process from the list after `unlist_ms`, the time the
    /// platform takes to notice the crash.
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
        Some(HostRegistrar::new(address, clock.clone(), CALL_TIMEOUT))
    }
}

fn log_outcome(step: &str, host: &str, fault: Option<errors::PlatformError>) {
    match fault {
        None => log::info!("event=standin_listing step={step} host={host}"),
        Some(fault) => {
            log::warn!("event=standin_listing_failed step={step} host={host} cause=\"{fault}\"");
        }
    }
}
