//! Upstreams that the host list names, with a client for each.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use kernel::{CancellationToken, ClockSource};
use platform::{HostEntry, HostKind, HostList, HostState};
use types::{EngineId, IncarnationNumber, ServiceName, UpstreamId, ZoneId};
use upstream::{HttpEngine, HttpService, ModelEngine, PlainService};

const POLL_PAUSE: Duration = Duration::from_secs(1);
const ENGINE_CALL_LIMIT: Duration = Duration::from_secs(5);
const SERVICE_CALL_LIMIT: Duration = Duration::from_secs(30);

/// A listed model engine.
#[derive(Clone)]
pub struct KnownEngine {
    /// Its id.
    pub id: EngineId,
    /// Address for calls.
    pub address: String,
    /// Availability zone.
    pub zone: ZoneId,
    /// Life of the process.
    pub incarnation: IncarnationNumber,
    /// Whether it takes new work.
    pub state: HostState,
    /// Client.
    pub client: Arc<dyn ModelEngine>,
}

/// A listed plain service process.
#[derive(Clone)]
pub struct KnownService {
    /// Its id.
    pub id: UpstreamId,
    /// Name callers use.
    pub name: ServiceName,
    /// Availability zone.
    pub zone: ZoneId,
    /// Whether it takes new work.
    pub state: HostState,
    /// Life of the process.
    pub incarnation: IncarnationNumber,
    /// Client.
    pub client: Arc<dyn PlainService>,
}

/// The upstreams known now.
pub struct UpstreamDirectory {
    clock: ClockSource,
    engines: Mutex<BTreeMap<EngineId, KnownEngine>>,
    services: Mutex<BTreeMap<UpstreamId, KnownService>>,
}

impl UpstreamDirectory {
    /// An empty directory.
    #[must_use]
    pub fn new(clock: ClockSource) -> Arc<Self> {
        Arc::new(Self {
            clock,
            engines: Mutex::default(),
            services: Mutex::default(),
        })
    }

    /// One engine.
    #[must_use]
    pub fn engine(&self, id: &EngineId) -> Option<KnownEngine> {
        let engines = self.engines.lock().unwrap_or_else(PoisonError::into_inner);
        engines.get(id).cloned()
    }

    /// Every engine, in the order of ids.
    #[must_use]
    pub fn engines(&self) -> Vec<KnownEngine> {
        let engines = self.engines.lock().unwrap_or_else(PoisonError::into_inner);
        engines.values().cloned().collect()
    }

    /// The processes behind a service's name that take new work, those in
    /// `zone` first.
    #[must_use]
    pub fn services(&self, name: &ServiceName, zone: &ZoneId) -> Vec<KnownService> {
        let services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let mut found: Vec<KnownService> = services
            .values()
            .filter(|service| service.name == *name && service.state == HostState::Live)
            .cloned()
            .collect();
        found.sort_by_key(|service| service.zone != *zone);
        found
    }

    /// Takes a new reading of the host list.
    pub fn update(&self, hosts: &[HostEntry]) {
        self.update_engines(hosts);
        self.update_services(hosts);
    }

    fn update_engines(&self, hosts: &[HostEntry]) {
        let mut engines = self.engines.lock().unwrap_or_else(PoisonError::into_inner);
        let listed = |kind| hosts.iter().filter(move |host| host.kind == kind);
        engines.retain(|id, _| listed(HostKind::Engine).any(|host| host.id == *id));
        for host in listed(HostKind::Engine) {
            match engines.get_mut(&host.id) {
                Some(known) if is_same(&known.address, known.incarnation, host) => {
                    known.state = host.state;
                }
                _ => {
                    engines.insert(host.id.clone(), self.known_engine(host));
                }
            }
        }
    }

    fn known_engine(&self, host: &HostEntry) -> KnownEngine {
        let client = HttpEngine::new(host.address.clone(), self.clock.clone(), ENGINE_CALL_LIMIT);
        KnownEngine {
            id: host.id.clone(),
            address: host.address.clone(),
            zone: host.zone.clone(),
            incarnation: host.incarnation,
            state: host.state,
            client: Arc::new(client),
        }
    }

    fn update_services(&self, hosts: &[HostEntry]) {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        services.clear();
        for host in hosts.iter().filter(|host| host.kind == HostKind::Service) {
            let client =
                HttpService::new(host.address.clone(), self.clock.clone(), SERVICE_CALL_LIMIT);
            let known = KnownService {
                id: host.id.clone(),
                name: host.service.clone(),
                zone: host.zone.clone(),
                state: host.state,
                incarnation: host.incarnation,
                client: Arc::new(client),
            };
            services.insert(host.id.clone(), known);
        }
    }

    /// Reads the host list again and again until `token` is cancelled. While
    /// the list can't be read, what was known stays.
    pub async fn run(self: Arc<Self>, list: Arc<dyn HostList>, token: CancellationToken) {
        while !token.is_cancelled() {
            match list.hosts().await {
                Ok(hosts) => self.update(&hosts),
                Err(error) => log::warn!("event=host_list_unread cause=\"{error}\""),
            }
            smol::future::or(self.clock.sleep(POLL_PAUSE), token.cancelled()).await;
        }
    }
}

fn is_same(address: &str, incarnation: IncarnationNumber, host: &HostEntry) -> bool {
    address == host.address && incarnation == host.incarnation
}
