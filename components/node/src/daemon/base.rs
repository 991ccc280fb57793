//! Shared components from which the services of a node are built.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::AtomicU32},
    time::Duration,
};

use kernel::{CancellationToken, ClockSource, ServiceKernel};
use membership::{AddressPlanner, AddressSettings, DrainSettings, MemberSettings};
use memory::MemoryBudget;
use notes::AdopterSettings;
use settings::NodeSettings;
use stores::{HostList, HttpHosts, HttpObjects, HttpTable, HttpWeights, ObjectStore, TableService};
use telemetry::{HopTracer, NodeMetrics};
use wire::{KeyRing, MacKey};

use crate::{
    NodeError,
    api::{ApiContext, KeyIndex},
    directory::UpstreamDirectory,
    drain::{DrainFlag, DrainService},
    engines::{EngineReconciler, FencingAllocator, ReconcilerDependencies},
    fleet::EngineOwnership,
    knobs::scheduler_settings,
    limits::LimitUpdater,
    links::MembershipBridge,
    members::{MEMBER_SERVICE, MemberConfig, MemberService},
    notes::{NOTE_SERVICE, NoteFetcher, NoteService, NoteStore},
    orders::{
        ORDER_SERVICE, OrderService, OrderSettings, ServicePeer, ServiceResolver, ServiceTarget,
    },
    peers::{PeerClient, PeerHandler},
    prompts::{PromptDependencies, PromptService},
    quarantine::QuarantineService,
    sockets::{PeerSockets, member_identity},
    watch::EngineWatcher,
};

const SPAN_CAPACITY: usize = 10_000;
const HOST_LIST_PERIOD: Duration = Duration::from_secs(2);

/// Settings, clients and shared state of a node's services.
pub(super) struct DaemonBase {
    pub(super) settings: NodeSettings,
    pub(super) clock: ClockSource,
    pub(super) ring: Arc<KeyRing>,
    pub(super) metrics: Arc<NodeMetrics>,
    pub(super) budget: Arc<MemoryBudget>,
    pub(super) tracer: HopTracer,
    pub(super) directory: Arc<UpstreamDirectory>,
    pub(super) ownership: Arc<EngineOwnership>,
    pub(super) draining: Arc<DrainFlag>,
    pub(super) orders_token: CancellationToken,
    pub(super) peers: Arc<PeerClient>,
    pub(super) quarantine: Arc<QuarantineService>,
    pub(super) prompts: Arc<PromptService>,
    pub(super) hosts: Arc<dyn HostList>,
    pub(super) table: Arc<dyn TableService>,
    pub(super) objects: Arc<dyn ObjectStore>,
}

impl DaemonBase {
    pub(super) fn new(settings: NodeSettings, clock: ClockSource) -> Self {
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
        let prompts = PromptService::new(PromptDependencies {
            node: settings.node.id.clone(),
            zone: settings.node.zone.clone(),
            clock: clock.clone(),
            directory: Arc::clone(&directory),
            peers: Arc::clone(&peers),
            quarantine: Arc::clone(&quarantine),
            tracer: tracer.clone(),
            metrics: Arc::clone(&metrics),
            settings: scheduler_settings(&settings.scheduling, rand::random()),
        });
        Self {
            ownership: EngineOwnership::new(&settings.node.id, &settings.node.zone),
            draining: Arc::default(),
            orders_token: CancellationToken::new(),
            budget: MemoryBudget::new(
                settings.limits.held_body_bytes,
                settings.limits.held_body_bytes,
            ),
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

    pub(super) fn api_context(
        &self,
        kernel: &ServiceKernel,
        connections: Arc<AtomicU32>,
    ) -> Result<ApiContext, NodeError> {
        Ok(ApiContext {
            settings: self.settings.clone(),
            clock: self.clock.clone(),
            notes: kernel.find(NOTE_SERVICE)?,
            keys: KeyIndex::default(),
            quarantine: Arc::clone(&self.quarantine),
            prompts: Arc::clone(&self.prompts),
            orders: kernel.find(ORDER_SERVICE)?,
            members: kernel.find(MEMBER_SERVICE)?,
            draining: Arc::clone(&self.draining),
            addresses: Mutex::new(self.address_planner()),
            fleet: Arc::clone(&self.ownership),
            directory: Arc::clone(&self.directory),
            tracer: self.tracer.clone(),
            metrics: Arc::clone(&self.metrics),
            budget: Arc::clone(&self.budget),
            connections,
        })
    }

    pub(super) fn address_planner(&self) -> AddressPlanner {
        let settings = AddressSettings {
            lifetime: Duration::from_millis(self.settings.timeouts.address_lifetime_ms),
            seed: rand::random(),
            ..AddressSettings::default()
        };
        AddressPlanner::new(self.clock.now(), settings)
    }

    pub(super) fn drain_service(&self, kernel: &ServiceKernel) -> Result<DrainService, NodeError> {
        Ok(DrainService {
            clock: self.clock.clone(),
            members: kernel.find(MEMBER_SERVICE)?,
            ownership: Arc::clone(&self.ownership),
            directory: Arc::clone(&self.directory),
            prompts: Arc::clone(&self.prompts),
            orders: kernel.find(ORDER_SERVICE)?,
            orders_token: self.orders_token.clone(),
            flag: Arc::clone(&self.draining),
        })
    }

    pub(super) fn drain_settings(&self) -> DrainSettings {
        let timeouts = &self.settings.timeouts;
        DrainSettings {
            answer_lifetime: Duration::from_millis(timeouts.address_lifetime_ms),
            drain_timeout: Duration::from_millis(timeouts.drain_ms),
            ..DrainSettings::default()
        }
    }

    pub(super) fn peer_handler(&self, kernel: &ServiceKernel) -> Result<PeerHandler, NodeError> {
        Ok(PeerHandler {
            own: self.settings.node.id.clone(),
            ring: Arc::clone(&self.ring),
            clock: self.clock.clone(),
            prompts: Arc::clone(&self.prompts),
            quarantine: Arc::clone(&self.quarantine),
            notes: kernel.find(NOTE_SERVICE)?,
        })
    }

    pub(super) fn membership_bridge(
        &self,
        kernel: &ServiceKernel,
    ) -> Result<MembershipBridge, NodeError> {
        Ok(MembershipBridge {
            clock: self.clock.clone(),
            members: kernel.find(MEMBER_SERVICE)?,
            ownership: Arc::clone(&self.ownership),
            peers: Arc::clone(&self.peers),
            directory: Arc::clone(&self.directory),
            quarantine: Arc::clone(&self.quarantine),
            prompts: Arc::clone(&self.prompts),
            metrics: Arc::clone(&self.metrics),
        })
    }

    pub(super) fn engine_reconciler(
        &self,
        kernel: &ServiceKernel,
    ) -> Result<EngineReconciler, NodeError> {
        let limit = Duration::from_millis(self.settings.platform.timeout_ms);
        let address = self.settings.platform.weights.clone();
        Ok(EngineReconciler::new(ReconcilerDependencies {
            node: self.settings.node.id.clone(),
            clock: self.clock.clone(),
            directory: Arc::clone(&self.directory),
            fleet: Arc::clone(&self.ownership),
            notes: kernel.find(NOTE_SERVICE)?,
            prompts: Arc::clone(&self.prompts),
            weights: Arc::new(HttpWeights::new(address, self.clock.clone(), limit)),
            fencing: FencingAllocator::new(Arc::clone(&self.table)),
            unfenced: self.settings.upstreams.fencing_ignored.clone(),
        }))
    }

    pub(super) fn limit_updater(&self, kernel: &ServiceKernel) -> Result<LimitUpdater, NodeError> {
        Ok(LimitUpdater {
            clock: self.clock.clone(),
            notes: kernel.find(NOTE_SERVICE)?,
            prompts: Arc::clone(&self.prompts),
        })
    }

    pub(super) fn engine_watcher(&self) -> EngineWatcher {
        EngineWatcher::new(
            self.clock.clone(),
            Arc::clone(&self.directory),
            Arc::clone(&self.ownership),
            Arc::clone(&self.prompts),
        )
    }

    pub(super) fn start_notes(&self, kernel: &ServiceKernel) -> Result<(), NodeError> {
        let store = NoteStore::new(Arc::clone(&self.table), Arc::clone(&self.objects));
        let notes = NoteService::start(
            kernel,
            AdopterSettings::default(),
            store,
            kernel.find(MEMBER_SERVICE)?,
            Arc::clone(&self.peers) as Arc<dyn NoteFetcher>,
        );
        kernel.register(NOTE_SERVICE, notes)?;
        Ok(())
    }

    pub(super) fn start_orders(&self, kernel: &ServiceKernel) -> Result<(), NodeError> {
        let mut settings = OrderSettings::new(self.settings.node.id.clone());
        settings.store_limit = Duration::from_millis(self.settings.platform.timeout_ms);
        let orders = OrderService::new(
            settings,
            Arc::clone(&self.table),
            self.service_resolver(kernel.find(NOTE_SERVICE)?),
            self.clock.clone(),
            self.orders_token.clone(),
        );
        let running = Arc::clone(&orders);
        kernel.start(ORDER_SERVICE, |token| running.run(token));
        kernel.register(ORDER_SERVICE, orders)?;
        Ok(())
    }

    /// Resolves a service name by the release note in force and the upstreams
    /// known at the time of the call.
    pub(super) fn service_resolver(&self, notes: Arc<NoteService>) -> ServiceResolver {
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

    pub(super) fn start_members(
        &self,
        kernel: &ServiceKernel,
        sockets: &PeerSockets,
        callers: SocketAddr,
    ) -> Result<(), NodeError> {
        let seeds = self.settings.seeds.iter();
        let config = MemberConfig {
            identity: member_identity(&self.settings, sockets.address, callers),
            ring: (*self.ring).clone(),
            seeds: seeds.filter_map(|seed| seed.parse().ok()).collect(),
            settings: MemberSettings {
                seed: rand::random(),
                ..MemberSettings::default()
            },
            list_period: HOST_LIST_PERIOD,
        };
        let members = MemberService::start(
            kernel,
            sockets.datagrams.clone(),
            config,
            Arc::clone(&self.hosts),
        );
        kernel.register(MEMBER_SERVICE, members)?;
        Ok(())
    }
}

/// Builds the key ring. Settings are validated before: there is at least one
/// key, and keys are hexadecimal.
fn key_ring(settings: &NodeSettings) -> KeyRing {
    let mut keys: Vec<MacKey> = settings
        .cluster_keys
        .iter()
        .map(|key| MacKey {
            id: key.id,
            secret: hex::decode(&key.secret).unwrap_or_default(),
        })
        .collect();
    let signing = keys.remove(0);
    KeyRing::new(signing, keys)
}
