//! Directory of upstreams, with a client for each.
//!
//! The host list lags behind, so the outcomes of this node's calls and
//! evidence from other nodes correct it.

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

/// Interval between reads of the host list.
const POLL_PAUSE: Duration = Duration::from_secs(1);
const ENGINE_CALL_LIMIT: Duration = Duration::from_secs(5);
/// Far above a service's own timeout, so that a late answer can still settle
/// an order.
const SERVICE_CALL_LIMIT: Duration = Duration::from_mins(5);
/// Capacity of the evidence channel; further evidence is dropped while it is
/// full.
const EVIDENCE_CAPACITY: usize = 256;

/// A model engine of the host list, with its state and client.
#[derive(Clone)]
pub struct KnownEngine {
    /// Id of the engine in the host list.
    pub id: EngineId,
    /// HTTP address, as the host list gives it.
    pub address: String,
    /// Availability zone in which the engine runs.
    pub zone: ZoneId,
    /// Incarnation of the process; a restart raises it.
    pub incarnation: IncarnationNumber,
    /// Whether the engine may be given new work.
    pub state: UpstreamState,
    /// Client for calls to the engine.
    pub client: Arc<dyn ModelEngine>,
}

/// A process of a plain service, from the host list, with its client.
#[derive(Clone)]
pub struct KnownService {
    /// Id of the process in the host list.
    pub id: UpstreamId,
    /// Service name under which callers address it.
    pub name: ServiceName,
    /// Availability zone in which the process runs.
    pub zone: ZoneId,
    /// Incarnation of the process; a restart raises it.
    pub incarnation: IncarnationNumber,
    /// Client for calls to the process.
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
    /// Last report of each engine. It may carry a newer incarnation than the
    /// host list, which lags behind.
    last_reports: BTreeMap<EngineId, EngineReport>,
}

/// Engines and service processes that this node knows, with their states.
pub struct UpstreamDirectory {
    clock: ClockSource,
    state: Mutex<DirectoryState>,
    evidence_sender: Sender<UpstreamEvidence>,
    evidence_receiver: Receiver<UpstreamEvidence>,
    change_sender: Sender<()>,
    change_receiver: Receiver<()>,
}

impl UpstreamDirectory {
    /// Creates an empty directory; `run` or `update` fills it.
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

    /// The engine `id` in any state; `None` when it is unknown or not an engine.
    #[must_use]
    pub fn engine(&self, id: &EngineId) -> Option<KnownEngine> {
        let now = self.clock.now();
        let state = self.locked();
        state
            .upstreams
            .get(id)
            .and_then(|known| state.known_engine(now, known))
    }

    /// All engines in any state, ordered by id.
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

    /// Processes of the service `name` that may be given new work, those in
    /// `zone` first.
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

    /// Evidence from this node's own calls and host list, to be sent to other
    /// nodes. All receivers share one channel, so each item reaches only one of
    /// them.
    #[must_use]
    pub fn local_evidence(&self) -> Receiver<UpstreamEvidence> {
        self.evidence_receiver.clone()
    }

    /// Receives a wake-up after the state of any upstream changed. All receivers
    /// share one channel, so each wake-up reaches only one of them.
    #[must_use]
    pub fn changes(&self) -> Receiver<()> {
        self.change_receiver.clone()
    }

    /// Applies a newly read host list.
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

    /// Records the outcome of one of this node's calls.
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

    /// Stores the latest report of an engine.
    pub fn record_report(&self, report: EngineReport) {
        let engine = report.profile.engine.clone();
        self.locked().last_reports.insert(engine, report);
    }

    /// The last report of an engine that this node polls or used to poll.
    #[must_use]
    pub fn last_report(&self, id: &EngineId) -> Option<EngineReport> {
        self.locked().last_reports.get(id).cloned()
    }

    /// The newest incarnation of an engine, by its last report or the host list.
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

    /// Records evidence about an upstream that `node` sent.
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

    /// Polls the host list until `token` is cancelled. While the list can't be
    /// read, the known upstreams stay.
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

/// Whether an upstream may be given new work. A half-open one may, so that a
/// call can probe it.
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
