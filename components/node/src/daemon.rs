//! Composing the services of a node, and stopping them.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::AtomicU32},
    time::Duration,
};

use entry::{BodyBudget, EntryLimits, EntryServer};
use kernel::{CancellationToken, ClockSource, ServiceKernel};
use membership::{AddressPlanner, AddressSettings, DrainSettings, MemberSettings};
use notes::AdopterSettings;
use platform::{
    HostList, HttpHosts, HttpObjects, HttpTable, HttpWeights, ObjectStore, TableService,
};
use routing::SchedulerSettings;
use settings::NodeSettings;
use telemetry::{HopTracer, NodeMetrics};
use types::NoteVersion;
use wire::{KeyRing, SealKey};

use crate::{
    NodeError,
    api::{ApiParts, KeyIndex, api_handler},
    directory::UpstreamDirectory,
    drain::{DrainFlag, DrainService},
    engines::{EngineOwner, FencingSource, OwnerParts},
    fleet::FleetView,
    limits::LimitFeed,
    links::MemberLinks,
    members::{MemberConfig, MemberService},
    notes::{NOTE_SERVICE, NotePeer, NoteService, NoteStore},
    orders::{OrderService, OrderSettings, ServicePeer, ServiceResolver, ServiceTarget},
    peers::{PeerClient, PeerHandler, PeerServer},
    prompts::{PromptParts, PromptService},
    quarantine::QuarantineService,
    sockets::{PeerSockets, member_identity},
    watch::EngineWatch,
};

const SPAN_CAPACITY: usize = 20_000;
const TICK_PAUSE: Duration = Duration::from_millis(20);
const LIST_PAUSE: Duration = Duration::from_secs(2);
const STOP_LIMIT: Duration = Duration::from_secs(5);

/// A running node.
pub struct NodeDaemon {
    kernel: Arc<ServiceKernel>,
    callers: SocketAddr,
    peers: SocketAddr,
    members: Arc<MemberService>,
    notes: Arc<NoteService>,
    drain: DrainService,
    drain_settings: DrainSettings,
}

/// What every service is built from.
struct DaemonBase {
    settings: NodeSettings,
    clock: ClockSource,
    ring: Arc<KeyRing>,
    metrics: Arc<NodeMetrics>,
    budget: Arc<BodyBudget>,
    tracer: HopTracer,
    directory: Arc<UpstreamDirectory>,
    fleet: Arc<FleetView>,
    draining: Arc<DrainFlag>,
    orders_token: CancellationToken,
    peers: Arc<PeerClient>,
    quarantine: Arc<QuarantineService>,
    prompts: Arc<PromptService>,
    hosts: Arc<dyn HostList>,
    table: Arc<dyn TableService>,
    objects: Arc<dyn ObjectStore>,
}

impl DaemonBase {
    fn new(settings: NodeSettings, clock: ClockSource) -> Self {
        let limit = Duration::from_millis(settings.platform.timeout_ms);
        let table: Arc<dyn TableService> = Arc::new(HttpTable::new(
            settings.platform.table.clone(),
            clock.clone(),
            limit,
        ));
        let objects = HttpObjects::new(settings.platform.objects.clone(), clock.clone(), limit);
        let hosts = HttpHosts::new(settings.platform.hosts.clone(), clock.clone(), limit);
        let ring = Arc::new(key_ring(&settings));
        let metrics = Arc::new(NodeMetrics::default());
        let tracer = HopTracer::new(&settings.node.id, SPAN_CAPACITY);
        let directory = UpstreamDirectory::new(clock.clone());
        let peers = PeerClient::new(settings.node.id.clone(), Arc::clone(&ring), clock.clone());
        let quarantine = QuarantineService::new(clock.clone());
        let prompts = PromptService::new(PromptParts {
            node: settings.node.id.clone(),
            zone: settings.node.zone.clone(),
            clock: clock.clone(),
            directory: Arc::clone(&directory),
            peers: Arc::clone(&peers),
            quarantine: Arc::clone(&quarantine),
            tracer: tracer.clone(),
            metrics: Arc::clone(&metrics),
            settings: SchedulerSettings {
                seed: rand::random(),
                ..SchedulerSettings::default()
            },
        });
        Self {
            fleet: FleetView::new(&settings.node.id, &settings.node.zone),
            draining: Arc::default(),
            orders_token: CancellationToken::new(),
            budget: BodyBudget::new(settings.limits.held_body_bytes),
            hosts: Arc::new(hosts),
            table,
            objects: Arc::new(objects),
            settings,
            clock,
            ring,
            metrics,
            tracer,
            directory,
            peers,
            quarantine,
            prompts,
        }
    }

    fn api_parts(
        &self,
        members: Arc<MemberService>,
        notes: Arc<NoteService>,
        orders: Arc<OrderService>,
        connections: Arc<AtomicU32>,
    ) -> ApiParts {
        ApiParts {
            settings: self.settings.clone(),
            clock: self.clock.clone(),
            notes,
            keys: KeyIndex::default(),
            quarantine: Arc::clone(&self.quarantine),
            prompts: Arc::clone(&self.prompts),
            orders,
            members,
            draining: Arc::clone(&self.draining),
            addresses: Mutex::new(self.address_planner()),
            fleet: Arc::clone(&self.fleet),
            directory: Arc::clone(&self.directory),
            tracer: self.tracer.clone(),
            metrics: Arc::clone(&self.metrics),
            budget: Arc::clone(&self.budget),
            connections,
        }
    }

    fn address_planner(&self) -> AddressPlanner {
        let settings = AddressSettings {
            lifetime: Duration::from_millis(self.settings.timeouts.address_lifetime_ms),
            seed: rand::random(),
            ..AddressSettings::default()
        };
        AddressPlanner::new(self.clock.now(), settings)
    }

    fn drain_service(
        &self,
        members: Arc<MemberService>,
        orders: Arc<OrderService>,
    ) -> DrainService {
        DrainService {
            clock: self.clock.clone(),
            members,
            fleet: Arc::clone(&self.fleet),
            directory: Arc::clone(&self.directory),
            prompts: Arc::clone(&self.prompts),
            orders,
            orders_token: self.orders_token.clone(),
            flag: Arc::clone(&self.draining),
        }
    }

    fn drain_settings(&self) -> DrainSettings {
        let timeouts = &self.settings.timeouts;
        DrainSettings {
            answer_lifetime: Duration::from_millis(timeouts.address_lifetime_ms),
            hard_limit: Duration::from_millis(timeouts.drain_ms),
            ..DrainSettings::default()
        }
    }

    fn peer_handler(&self, notes: Arc<NoteService>) -> PeerHandler {
        PeerHandler {
            own: self.settings.node.id.clone(),
            ring: Arc::clone(&self.ring),
            clock: self.clock.clone(),
            prompts: Arc::clone(&self.prompts),
            quarantine: Arc::clone(&self.quarantine),
            notes,
        }
    }

    fn links(&self, members: Arc<MemberService>) -> MemberLinks {
        MemberLinks {
            clock: self.clock.clone(),
            members,
            fleet: Arc::clone(&self.fleet),
            peers: Arc::clone(&self.peers),
            directory: Arc::clone(&self.directory),
            quarantine: Arc::clone(&self.quarantine),
            prompts: Arc::clone(&self.prompts),
            metrics: Arc::clone(&self.metrics),
        }
    }

    fn engine_owner(&self, notes: &Arc<NoteService>) -> EngineOwner {
        let limit = Duration::from_millis(self.settings.platform.timeout_ms);
        let address = self.settings.platform.weights.clone();
        EngineOwner::new(OwnerParts {
            node: self.settings.node.id.clone(),
            clock: self.clock.clone(),
            directory: Arc::clone(&self.directory),
            fleet: Arc::clone(&self.fleet),
            notes: Arc::clone(notes),
            prompts: Arc::clone(&self.prompts),
            weights: Arc::new(HttpWeights::new(address, self.clock.clone(), limit)),
            fencing: FencingSource::new(Arc::clone(&self.table)),
        })
    }

    fn limit_feed(&self, notes: &Arc<NoteService>) -> LimitFeed {
        LimitFeed {
            clock: self.clock.clone(),
            notes: Arc::clone(notes),
            prompts: Arc::clone(&self.prompts),
        }
    }

    fn watch(&self) -> EngineWatch {
        EngineWatch::new(
            self.clock.clone(),
            Arc::clone(&self.directory),
            Arc::clone(&self.fleet),
            Arc::clone(&self.prompts),
        )
    }

    fn start_notes(
        &self,
        kernel: &ServiceKernel,
        members: &Arc<MemberService>,
    ) -> Arc<NoteService> {
        let store = NoteStore::new(Arc::clone(&self.table), Arc::clone(&self.objects));
        NoteService::start(
            kernel,
            AdopterSettings::default(),
            store,
            Arc::clone(members),
            Arc::clone(&self.peers) as Arc<dyn NotePeer>,
        )
    }

    fn start_orders(&self, kernel: &ServiceKernel, notes: &Arc<NoteService>) -> Arc<OrderService> {
        let mut settings = OrderSettings::new(self.settings.node.id.clone());
        settings.store_limit = Duration::from_millis(self.settings.platform.timeout_ms);
        let orders = OrderService::new(
            settings,
            Arc::clone(&self.table),
            self.service_resolver(notes),
            self.clock.clone(),
            self.orders_token.clone(),
        );
        let running = Arc::clone(&orders);
        kernel.start("orders", |token| running.run(token));
        orders
    }

    /// Finds a service by the note in force and the upstreams known now.
    fn service_resolver(&self, notes: &Arc<NoteService>) -> ServiceResolver {
        let notes = Arc::clone(notes);
        let directory = Arc::clone(&self.directory);
        let zone = self.settings.node.zone.clone();
        Arc::new(move |name| {
            let state = notes.current();
            let entry = state.services.get(name)?;
            let processes = directory.services(&name.to_owned(), &zone);
            Some(ServiceTarget {
                guarantee: entry.guarantee,
                timeout: Duration::from_millis(entry.timeout_ms),
                peers: processes
                    .into_iter()
                    .map(|process| ServicePeer {
                        id: process.id,
                        client: process.client,
                    })
                    .collect(),
            })
        })
    }

    fn start_members(
        &self,
        kernel: &ServiceKernel,
        sockets: &PeerSockets,
        callers: SocketAddr,
    ) -> Arc<MemberService> {
        let seeds = self.settings.seeds.iter();
        let config = MemberConfig {
            identity: member_identity(&self.settings, sockets.address, callers),
            ring: (*self.ring).clone(),
            seeds: seeds.filter_map(|seed| seed.parse().ok()).collect(),
            settings: MemberSettings {
                seed: rand::random(),
                ..MemberSettings::default()
            },
            list_period: LIST_PAUSE,
        };
        MemberService::start(
            kernel,
            sockets.datagrams.clone(),
            config,
            Arc::clone(&self.hosts),
        )
    }
}

impl NodeDaemon {
    /// Starts every service of a node; `token` cuts them all at once.
    ///
    /// # Errors
    /// `NodeError` when an address can't be bound.
    pub async fn start(
        settings: NodeSettings,
        clock: ClockSource,
        token: CancellationToken,
    ) -> Result<Self, NodeError> {
        let base = DaemonBase::new(settings, clock.clone());
        let kernel = ServiceKernel::new(clock, token);
        let sockets = PeerSockets::bind(&base.settings.addresses.peers).await?;
        let entry = bind_entry(&base).await?;
        let callers = entry.callers;
        let peers = sockets.address;
        let members = base.start_members(&kernel, &sockets, callers);
        let notes = base.start_notes(&kernel, &members);
        let orders = base.start_orders(&kernel, &notes);
        register(&kernel, &base, &notes, &orders)?;
        start_background(&kernel, &base, &members);
        let owner = base.engine_owner(&notes);
        kernel.start("engines", |token| owner.run(token));
        let limits = base.limit_feed(&notes);
        kernel.start("limits", |token| limits.run(token));
        let peer_handler = base.peer_handler(Arc::clone(&notes));
        let peer_server = PeerServer::new(sockets.listener, peer_handler);
        kernel.start("peers", |token| peer_server.run(token));
        let parts = base.api_parts(
            Arc::clone(&members),
            Arc::clone(&notes),
            Arc::clone(&orders),
            entry.server.connections(),
        );
        let handler = api_handler(Arc::new(parts));
        let server = entry.server.with_handler(handler);
        kernel.start("entry", |token| server.run(token));
        log::info!(
            "event=node_started node={} callers={callers} peers={peers}",
            base.settings.node.id
        );
        Ok(Self {
            kernel,
            callers,
            peers,
            drain: base.drain_service(Arc::clone(&members), orders),
            drain_settings: base.drain_settings(),
            members,
            notes,
        })
    }

    /// The address for callers and operators.
    #[must_use]
    pub fn callers_address(&self) -> SocketAddr {
        self.callers
    }

    /// The address for other nodes.
    #[must_use]
    pub fn peers_address(&self) -> SocketAddr {
        self.peers
    }

    /// Number of members that take new work, as this node sees them.
    #[must_use]
    pub fn serving_members(&self) -> usize {
        self.members.members().serving().count()
    }

    /// Whether at least release note `version` is in force here.
    #[must_use]
    pub fn is_ready(&self, version: NoteVersion) -> bool {
        self.notes.current().version >= version
    }

    /// Stops as planned: no new answers name this node, callers with old
    /// answers are served, and what runs is finished. Returns the number of
    /// requests that had to be cut at the hard limit.
    pub async fn drain(self) -> usize {
        let cut = self
            .drain
            .run(&self.kernel, self.drain_settings.clone())
            .await;
        log::info!("event=node_stopped cut={cut}");
        self.kernel.stop(STOP_LIMIT).await;
        cut
    }

    /// Stops every service; returns the names of those that had to be cut.
    pub async fn stop(self) -> Vec<String> {
        self.kernel.stop(STOP_LIMIT).await
    }
}

struct BoundEntry {
    server: EntryServer,
    callers: SocketAddr,
}

async fn bind_entry(base: &DaemonBase) -> Result<BoundEntry, NodeError> {
    let address = &base.settings.addresses.callers;
    let fault = |error: std::io::Error| NodeError::bind(address, &error);
    let budget = Arc::clone(&base.budget);
    let limits = entry_limits(&base.settings);
    let server = EntryServer::bind(address, limits, budget, base.clock.clone())
        .await
        .map_err(fault)?;
    let callers = server.local_address().map_err(fault)?;
    Ok(BoundEntry { server, callers })
}

fn register(
    kernel: &ServiceKernel,
    base: &DaemonBase,
    notes: &Arc<NoteService>,
    orders: &Arc<OrderService>,
) -> Result<(), NodeError> {
    kernel.register("orders", Arc::clone(orders))?;
    kernel.register(NOTE_SERVICE, Arc::clone(notes))?;
    kernel.register("prompts", Arc::clone(&base.prompts))?;
    kernel.register("directory", Arc::clone(&base.directory))?;
    Ok(())
}

fn start_background(kernel: &ServiceKernel, base: &DaemonBase, members: &Arc<MemberService>) {
    let directory = Arc::clone(&base.directory);
    let hosts = Arc::clone(&base.hosts);
    kernel.start("directory", |token| directory.run(hosts, token));
    let prompts = Arc::clone(&base.prompts);
    kernel.start("ticker", |token| prompts.run_ticker(TICK_PAUSE, token));
    let watch = base.watch();
    kernel.start("watch", |token| watch.run(token));
    let links = base.links(Arc::clone(members));
    kernel.start("changes", |token| links.clone().run_changes(token));
    kernel.start("publisher", |token| links.clone().run_publisher(token));
    kernel.start("evidence", |token| {
        links.clone().run_evidence_publisher(token)
    });
    kernel.start("deaths", |token| links.clone().run_death_publisher(token));
    kernel.start("deaths told", |token| links.clone().run_death_reader(token));
    kernel.start("told", |token| links.clone().run_evidence_reader(token));
    kernel.start("reader", |token| links.run_reader(token));
}

fn entry_limits(settings: &NodeSettings) -> EntryLimits {
    let timeouts = &settings.timeouts;
    EntryLimits {
        body_bytes: settings.limits.body_bytes,
        connections: settings.limits.connections,
        head_time: Duration::from_millis(timeouts.head_ms),
        body_time: Duration::from_millis(timeouts.body_ms),
        write_time: Duration::from_millis(timeouts.write_ms),
    }
}

/// The settings have been checked: there is at least one key, in hexadecimal.
fn key_ring(settings: &NodeSettings) -> KeyRing {
    let mut keys: Vec<SealKey> = settings
        .cluster_keys
        .iter()
        .map(|key| SealKey {
            id: key.id,
            secret: hex::decode(&key.secret).unwrap_or_default(),
        })
        .collect();
    let signing = keys.remove(0);
    KeyRing::new(signing, keys)
}
