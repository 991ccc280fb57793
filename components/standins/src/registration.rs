//! A stand-in's entry on the host list.

use std::time::Duration;

use ::platform::{HostEntry, HostRegistrar};
use kernel::ClockSource;
use serde::{Deserialize, Serialize};

const CALL_LIMIT: Duration = Duration::from_secs(2);

/// Where a stand-in lists itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostListing {
    /// Address of the platform stand-in; empty for no listing.
    pub platform: String,
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
