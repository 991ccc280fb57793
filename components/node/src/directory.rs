//! Upstreams that may be called, with a client for each.
//!
//! The host list lags; what calls show and what other nodes tell corrects it.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use kernel::{CancellationToken, ClockSource};
use membership::{
    CallEvidence, ListedUpstream, UpstreamChange, UpstreamEvent, UpstreamEvidence,
    UpstreamSettings, UpstreamState, UpstreamTable,
};
use smol::channel::{Receiver, Sender, bounded};
use stores::{HostEntry, HostKind, HostList, HostState};
use types::{EngineId, EngineReport, IncarnationNumber, NodeId, ServiceName, UpstreamId, ZoneId};
use upstream::{HttpEngine, HttpService, ModelEngine, PlainService};

const POLL_PAUSE: Duration = Duration::from_secs(1);
const ENGINE_CALL_LIMIT: Duration = Duration::from_secs(5);
/// Far above a service's own timeout: a late answer still settles an order.
const SERVICE_CALL_LIMIT: Duration = Duration::from_mins(5);
const EVIDENCE_CAPACITY: usize = 256;

/// A known model engine.
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
    /// Whether it may be given new work.
    pub state: UpstreamState,
    /// Client.
    pub client: Arc<dyn ModelEngine>,
}

/// A known process of a plain service.
#[derive(Clone)]
pub struct KnownService {
    /// Its id.
    pub id: UpstreamId,
    /// Name callers use.
    pub name: ServiceName,
    /// Availability zone.
    pub zone: ZoneId,
    /// Life of the process.
    pub incarnation: IncarnationNumber,
    /// Client.
    pub client: Arc<dyn PlainService>,
}

enum UpstreamClient {
    Engine(Arc<dyn ModelEngine>),
    Service(Arc<dyn PlainService>),
}

struct KnownUpstream {
    host: HostEntry,
    client: UpstreamClient,
}

struct DirectoryState {
    table: UpstreamTable,
    upstreams: BTreeMap<UpstreamId, KnownUpstream>,
    /// The last report of each engine; the list lags behind its incarnation.
    last_reports: BTreeMap<EngineId, EngineReport>,
}

/// The upstreams known now.
pub struct UpstreamDirectory {
    clock: ClockSource,
    state: Mutex<DirectoryState>,
    evidence_sender: Sender<UpstreamEvidence>,
    evidence_receiver: Receiver<UpstreamEvidence>,
    change_sender: Sender<()>,
    change_receiver: Receiver<()>,
}

impl UpstreamDirectory {
    /// An empty directory.
    #[must_use]
    pub fn new(clock: ClockSource) -> Arc<Self> {
        let (evidence_sender, evidence_receiver) = bounded(EVIDENCE_CAPACITY);
        let (change_sender, change_receiver) = bounded(1);
        Arc::new(Self {
            clock,
            state: Mutex::new(DirectoryState {
                table: UpstreamTable::new(UpstreamSettings::default()),
                upstreams: BTreeMap::new(),
                last_reports: BTreeMap::new(),
            }),
            evidence_sender,
            evidence_receiver,
            change_sender,
            change_receiver,
        })
    }

    /// One engine, whatever its state.
    #[must_use]
    pub fn engine(&self, id: &EngineId) -> Option<KnownEngine> {
        let now = self.clock.now();
        let state = self.locked();
        state
            .upstreams
            .get(id)
            .and_then(|known| state.known_engine(now, known))
    }

    /// Every engine, in the order of ids.
    #[must_use]
    pub fn engines(&self) -> Vec<KnownEngine> {
        let now = self.clock.now();
        let state = self.locked();
        state
            .upstreams
            .values()
            .filter_map(|known| state.known_engine(now, known))
            .collect()
    }

    /// The processes behind a service's name that may be given new work,
    /// those in `zone` first.
    #[must_use]
    pub fn services(&self, name: &ServiceName, zone: &ZoneId) -> Vec<KnownService> {
        let now = self.clock.now();
        let state = self.locked();
        let mut found: Vec<KnownService> = state
            .upstreams
            .values()
            .filter(|known| known.host.service == *name)
            .filter(|known| is_usable(state.table.state(now, &known.host.id)))
            .filter_map(known_service)
            .collect();
        found.sort_by_key(|service| service.zone != *zone);
        found
    }

    /// What this node has found out about upstreams, for other nodes.
    #[must_use]
    pub fn local_evidence(&self) -> Receiver<UpstreamEvidence> {
        self.evidence_receiver.clone()
    }

    /// Wakes its reader after any upstream's state changed.
    #[must_use]
    pub fn changes(&self) -> Receiver<()> {
        self.change_receiver.clone()
    }

    /// Takes a new reading of the host list.
    pub fn update(&self, hosts: &[HostEntry]) {
        let upstreams: Vec<&HostEntry> = hosts
            .iter()
            .filter(|host| host.kind != HostKind::Node)
            .collect();
        let listed = upstreams.iter().map(|host| listed_upstream(host)).collect();
        let now = self.clock.now();
        let mut state = self.locked();
        let changes = state.table.handle(now, UpstreamEvent::Listed(listed));
        for change in changes {
            if let UpstreamChange::New(listed) = &change
                && let Some(host) = upstreams.iter().find(|host| host.id == listed.upstream)
            {
                let known = self.known_upstream(host);
                state.upstreams.insert(host.id.clone(), known);
            }
            self.apply(&mut state, &change);
        }
    }

    /// Takes what one of this node's calls showed.
    pub fn record_call(
        &self,
        id: &UpstreamId,
        incarnation: IncarnationNumber,
        evidence: CallEvidence,
    ) {
        let event = UpstreamEvent::CallFinished(UpstreamEvidence {
            upstream: id.clone(),
            incarnation,
            evidence,
        });
        self.handle(event);
    }

    /// Takes an engine's own report.
    pub fn record_report(&self, report: EngineReport) {
        let engine = report.profile.engine.clone();
        self.locked().last_reports.insert(engine, report);
    }

    /// The last report of an engine that this node watches or watched.
    #[must_use]
    pub fn last_report(&self, id: &EngineId) -> Option<EngineReport> {
        self.locked().last_reports.get(id).cloned()
    }

    /// The life of an engine that this node heard of last.
    #[must_use]
    pub fn newest_incarnation(&self, id: &EngineId) -> Option<IncarnationNumber> {
        let state = self.locked();
        let listed = state.upstreams.get(id).map(|known| known.host.incarnation);
        let reported = state
            .last_reports
            .get(id)
            .map(|report| report.profile.incarnation);
        reported.max(listed)
    }

    /// Takes what another node told.
    pub fn record_peer_evidence(&self, node: NodeId, evidence: UpstreamEvidence) {
        self.handle(UpstreamEvent::PeerReported { node, evidence });
    }

    fn handle(&self, event: UpstreamEvent) {
        let now = self.clock.now();
        let mut state = self.locked();
        for change in state.table.handle(now, event) {
            self.apply(&mut state, &change);
        }
    }

    fn apply(&self, state: &mut DirectoryState, change: &UpstreamChange) {
        self.change_sender.try_send(()).ok();
        match change {
            UpstreamChange::New(listed) => log::info!(
                "event=upstream_new upstream={} incarnation={} address={}",
                listed.upstream,
                listed.incarnation,
                listed.address
            ),
            UpstreamChange::Leaving(evidence) => {
                log::info!("event=upstream_leaving upstream={}", evidence.upstream);
                self.evidence_sender.try_send(evidence.clone()).ok();
            }
            UpstreamChange::BackedOff(upstream) => {
                log::warn!("event=upstream_backed_off upstream={upstream}");
                if let Some(known) = state.upstreams.get(upstream) {
                    let evidence = UpstreamEvidence {
                        upstream: upstream.clone(),
                        incarnation: known.host.incarnation,
                        evidence: CallEvidence::Failed,
                    };
                    self.evidence_sender.try_send(evidence).ok();
                }
            }
            UpstreamChange::Recovered(upstream) => {
                log::info!("event=upstream_recovered upstream={upstream}");
            }
            UpstreamChange::Gone(upstream) => {
                log::info!("event=upstream_gone upstream={upstream}");
                state.upstreams.remove(upstream);
                state.last_reports.remove(upstream);
            }
        }
    }

    fn known_upstream(&self, host: &HostEntry) -> KnownUpstream {
        let address = host.address.clone();
        let clock = self.clock.clone();
        let client = if host.kind == HostKind::Engine {
            let engine = HttpEngine::new(address, clock, ENGINE_CALL_LIMIT);
            UpstreamClient::Engine(Arc::new(engine))
        } else {
            let service = HttpService::new(address, clock, SERVICE_CALL_LIMIT);
            UpstreamClient::Service(Arc::new(service))
        };
        KnownUpstream {
            host: host.clone(),
            client,
        }
    }

    fn locked(&self) -> MutexGuard<'_, DirectoryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
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

impl DirectoryState {
    fn known_engine(&self, now: std::time::Instant, known: &KnownUpstream) -> Option<KnownEngine> {
        let UpstreamClient::Engine(client) = &known.client else {
            return None;
        };
        Some(KnownEngine {
            id: known.host.id.clone(),
            address: known.host.address.clone(),
            zone: known.host.zone.clone(),
            incarnation: known.host.incarnation,
            state: self.table.state(now, &known.host.id)?,
            client: Arc::clone(client),
        })
    }
}

fn known_service(known: &KnownUpstream) -> Option<KnownService> {
    let UpstreamClient::Service(client) = &known.client else {
        return None;
    };
    Some(KnownService {
        id: known.host.id.clone(),
        name: known.host.service.clone(),
        zone: known.host.zone.clone(),
        incarnation: known.host.incarnation,
        client: Arc::clone(client),
    })
}

fn is_usable(state: Option<UpstreamState>) -> bool {
    matches!(state, Some(UpstreamState::Usable | UpstreamState::HalfOpen))
}

fn listed_upstream(host: &HostEntry) -> ListedUpstream {
    ListedUpstream {
        upstream: host.id.clone(),
        incarnation: host.incarnation,
        address: host.address.clone(),
        leaving: host.state == HostState::Leaving,
    }
}
