//! Composing the services of a node, and stopping them.

use std::{error::Error, fmt, net::SocketAddr, sync::Arc, time::Duration};

use entry::{BodyBudget, EntryLimits, EntryServer};
use kernel::{CancellationToken, ClockSource, KernelError, ServiceKernel};
use platform::{HttpHosts, HttpTable};
use routing::SchedulerSettings;
use settings::NodeSettings;
use smol::net::TcpListener;
use telemetry::{HopTracer, NodeMetrics};
use wire::{KeyRing, SealKey};

use crate::{
    api::{ApiParts, api_handler},
    directory::UpstreamDirectory,
    fleet::FleetView,
    notes::NoteService,
    peers::{PeerClient, PeerHandler, PeerServer},
    prompts::{PromptParts, PromptService},
    watch::EngineWatch,
};

const SPAN_CAPACITY: usize = 20_000;
const TICK_PAUSE: Duration = Duration::from_millis(20);
const STOP_LIMIT: Duration = Duration::from_secs(5);

/// Why a node could not start.
#[derive(Debug)]
pub enum NodeError {
    /// An address could not be bound.
    Bind {
        /// What was tried.
        step: String,
        /// The address.
        peer: String,
        /// What came back.
        cause: String,
    },
    /// Services could not be composed.
    Kernel(KernelError),
}

impl fmt::Display for NodeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { step, peer, cause } => write!(
                formatter,
                "{step} {peer}: {cause}; choose another address in the settings, or end the \
                 process that has it"
            ),
            Self::Kernel(error) => error.fmt(formatter),
        }
    }
}

impl Error for NodeError {}

impl From<KernelError> for NodeError {
    fn from(error: KernelError) -> Self {
        Self::Kernel(error)
    }
}

/// A running node.
pub struct NodeDaemon {
    kernel: Arc<ServiceKernel>,
    callers: SocketAddr,
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
        let kernel = ServiceKernel::new(clock.clone(), token);
        let table_limit = Duration::from_millis(settings.platform.timeout_ms);
        let table = Arc::new(HttpTable::new(
            settings.platform.table.clone(),
            clock.clone(),
            table_limit,
        ));
        let hosts = Arc::new(HttpHosts::new(
            settings.platform.hosts.clone(),
            clock.clone(),
            table_limit,
        ));
        let ring = Arc::new(key_ring(&settings));
        let metrics = Arc::new(NodeMetrics::default());
        let tracer = HopTracer::new(&settings.node.id, SPAN_CAPACITY);
        let directory = UpstreamDirectory::new(clock.clone());
        let fleet = FleetView::new(&settings.node.id, &settings.node.zone);
        let peers = PeerClient::new(settings.node.id.clone(), Arc::clone(&ring), clock.clone());
        let notes = NoteService::new(table, clock.clone());
        let prompts = PromptService::new(PromptParts {
            node: settings.node.id.clone(),
            zone: settings.node.zone.clone(),
            clock: clock.clone(),
            directory: Arc::clone(&directory),
            peers: Arc::clone(&peers),
            tracer: tracer.clone(),
            metrics: Arc::clone(&metrics),
            settings: SchedulerSettings::default(),
        });
        let peer_listener = bind(&settings.addresses.peers).await?;
        let peer_server = PeerServer::new(
            peer_listener,
            PeerHandler {
                own: settings.node.id.clone(),
                ring,
                clock: clock.clone(),
                prompts: Arc::clone(&prompts),
                notes: Arc::clone(&notes),
            },
        );
        let budget = BodyBudget::new(settings.limits.held_body_bytes);
        let limits = entry_limits(&settings);
        let callers_address = settings.addresses.callers.clone();
        let parts = Arc::new(ApiParts {
            settings,
            clock: clock.clone(),
            notes: Arc::clone(&notes),
            prompts: Arc::clone(&prompts),
            directory: Arc::clone(&directory),
            tracer,
            metrics,
        });
        let entry = EntryServer::bind(
            &callers_address,
            api_handler(parts),
            limits,
            budget,
            clock.clone(),
        )
        .await
        .map_err(|error| bind_error(&callers_address, &error))?;
        let callers = entry
            .local_address()
            .map_err(|error| bind_error(&callers_address, &error))?;
        let watch = EngineWatch::new(clock, Arc::clone(&directory), fleet, Arc::clone(&prompts));
        kernel.register("notes", Arc::clone(&notes))?;
        kernel.register("prompts", Arc::clone(&prompts))?;
        kernel.register("directory", Arc::clone(&directory))?;
        kernel.start("notes", |token| notes.run(token));
        kernel.start("directory", |token| directory.run(hosts, token));
        kernel.start("ticker", |token| prompts.run_ticker(TICK_PAUSE, token));
        kernel.start("watch", |token| watch.run(token));
        kernel.start("peers", |token| peer_server.run(token));
        kernel.start("entry", |token| entry.run(token));
        Ok(Self { kernel, callers })
    }

    /// The address for callers and operators.
    #[must_use]
    pub fn callers_address(&self) -> SocketAddr {
        self.callers
    }

    /// Stops every service; returns the names of those that had to be cut.
    pub async fn stop(self) -> Vec<String> {
        self.kernel.stop(STOP_LIMIT).await
    }
}

async fn bind(address: &str) -> Result<TcpListener, NodeError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| bind_error(address, &error))
}

fn bind_error(address: &str, error: &std::io::Error) -> NodeError {
    NodeError::Bind {
        step: "listen on".to_owned(),
        peer: address.to_owned(),
        cause: error.to_string(),
    }
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
