//! A fleet of nodes and stand-ins that run as tasks of one process.

use std::{io, sync::Arc, time::Duration};

use entry::key_digest;
use kernel::{CancellationToken, ClockSource};
use node::NodeDaemon;
use settings::{
    AddressSettings, ClusterKey, HostIdentity, LimitSettings, NodeSettings, PlatformSettings,
    SchedulingSettings, TimeoutSettings, UpstreamSettings,
};
use standins::{
    EngineServer, EngineSettings, HostListing, PlatformServer, ServiceServer, ServiceSettings,
};
use types::ModelSpec;

use super::note::{LOCAL_MODEL, LOCAL_SERVICE, MODEL_VERSION, OPERATOR_KEY};
use crate::launch::ProgramError;

const ANY_PORT: &str = "127.0.0.1:0";
const ZONES: [&str; 3] = ["duluth", "thunder-bay", "sault"];
const REGION: &str = "great-lakes";
/// Time scale of a local fleet's engines: work takes a fiftieth of its modelled
/// time.
pub const LOCAL_TIME_SCALE: f64 = 0.02;
const ENGINE_RESTART_MS: u64 = 3_000;
const ADDRESS_LIFETIME_MS: u64 = 1_000;
const PLATFORM_TIMEOUT_MS: u64 = 2_000;
const DRAIN_MS: u64 = 60_000;
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(50);
const STARTUP_TIMEOUT: Duration = Duration::from_secs(20);

/// Size of a local fleet and speed of its engines.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Number of nodes, at least 1.
    pub nodes: usize,
    /// Number of stand-in model engines, at least 1.
    pub engines: usize,
    /// Factor on the modelled time that work takes on an engine; below 1 is
    /// faster.
    pub time_scale: f64,
}

/// A running local fleet; [`stop`](Self::stop) ends its tasks.
pub struct LocalFleet {
    /// Stand-in for the table, the object store, the weight store and the host
    /// list.
    pub platform: Arc<PlatformServer>,
    /// Stand-ins for the model engines; index 0 is `engine-1`.
    pub engines: Vec<Arc<EngineServer>>,
    /// Stand-in for the plain service [`LOCAL_SERVICE`].
    pub service: Arc<ServiceServer>,
    /// The nodes that run; index 0 is `node-1`.
    pub nodes: Vec<NodeDaemon>,
    time_scale: f64,
    clock: ClockSource,
    platform_token: CancellationToken,
    upstream_token: CancellationToken,
    upstream_tasks: Vec<smol::Task<()>>,
}

impl LocalFleet {
    /// Starts stand-ins and nodes and waits until every node has discovered all
    /// others.
    ///
    /// # Errors
    /// `ProgramError::Usage` for a fleet without nodes or engines,
    /// `ProgramError::Failed` when a server does not start or the nodes do not
    /// discover each other in time.
    pub async fn start(config: &FleetConfig) -> Result<Self, ProgramError> {
        if config.nodes == 0 || config.engines == 0 {
            return Err(ProgramError::Usage(
                "a fleet needs at least one node and one engine".to_owned(),
            ));
        }
        let clock = ClockSource::System;
        let platform_token = CancellationToken::new();
        let platform = PlatformServer::bind(
            ANY_PORT,
            standins::PlatformSettings::default(),
            clock.clone(),
        )
        .await
        .map_err(|error| bind_error("127.0.0.1 (platform)", &error))?;
        smol::spawn(Arc::clone(&platform).run(platform_token.clone())).detach();
        let mut fleet = Self {
            service: bind_service(&platform, &clock).await?,
            platform,
            engines: Vec::new(),
            nodes: Vec::new(),
            time_scale: config.time_scale,
            clock,
            platform_token,
            upstream_token: CancellationToken::new(),
            upstream_tasks: Vec::new(),
        };
        let service = Arc::clone(&fleet.service);
        let task = smol::spawn(service.run(fleet.upstream_token.clone()));
        fleet.upstream_tasks.push(task);
        for position in 0..config.engines {
            fleet.start_engine(position).await?;
        }
        for position in 0..config.nodes {
            fleet.start_node(position).await?;
        }
        fleet.await_members().await?;
        Ok(fleet)
    }

    async fn start_engine(&mut self, position: usize) -> Result<(), ProgramError> {
        let settings = EngineSettings {
            id: format!("engine-{}", position + 1),
            zone: zone_name(position),
            time_scale: self.time_scale,
            restart_ms: Some(ENGINE_RESTART_MS),
            models: vec![ModelSpec {
                model: LOCAL_MODEL.to_owned(),
                version: MODEL_VERSION.to_owned(),
                adapters: Vec::new(),
            }],
            listing: self.listing(),
            ..EngineSettings::default()
        };
        let server = EngineServer::bind(ANY_PORT, settings, self.clock.clone())
            .await
            .map_err(|error| bind_error("127.0.0.1 (engine)", &error))?;
        let task = smol::spawn(Arc::clone(&server).run(self.upstream_token.clone()));
        self.upstream_tasks.push(task);
        self.engines.push(server);
        Ok(())
    }

    async fn start_node(&mut self, position: usize) -> Result<(), ProgramError> {
        let seeds = self
            .nodes
            .first()
            .map(|node| node.peers_address().to_string());
        let settings = node_settings(position, self.platform.address(), seeds);
        let daemon = NodeDaemon::start(settings, self.clock.clone(), CancellationToken::new())
            .await
            .map_err(|error| ProgramError::Failed(error.to_string()))?;
        self.nodes.push(daemon);
        Ok(())
    }

    /// Waits until every node counts all nodes as serving members.
    async fn await_members(&self) -> Result<(), ProgramError> {
        let discovery = async {
            while self
                .nodes
                .iter()
                .any(|node| node.serving_members() < self.nodes.len())
            {
                self.clock.sleep(STARTUP_POLL_INTERVAL).await;
            }
        };
        self.clock
            .timeout(STARTUP_TIMEOUT, discovery)
            .await
            .ok_or_else(|| {
                ProgramError::Failed(
                    "start the local fleet: the nodes did not discover each other in time"
                        .to_owned(),
                )
            })
    }

    /// Address for callers and operators of the node at `position` in `nodes`.
    #[must_use]
    pub fn callers_address(&self, position: usize) -> String {
        self.nodes[position].callers_address().to_string()
    }

    /// The system clock that nodes and stand-ins share.
    #[must_use]
    pub fn clock(&self) -> &ClockSource {
        &self.clock
    }

    /// Stops the nodes, then the engines and the service, then the platform.
    pub async fn stop(self) {
        for node in self.nodes {
            node.stop().await;
        }
        self.upstream_token.cancel();
        for task in self.upstream_tasks {
            task.await;
        }
        self.platform_token.cancel();
    }

    fn listing(&self) -> HostListing {
        HostListing {
            platform: self.platform.address().to_owned(),
            ..HostListing::default()
        }
    }
}

async fn bind_service(
    platform: &PlatformServer,
    clock: &ClockSource,
) -> Result<Arc<ServiceServer>, ProgramError> {
    let settings = ServiceSettings {
        service: LOCAL_SERVICE.to_owned(),
        zone: zone_name(0),
        listing: HostListing {
            platform: platform.address().to_owned(),
            ..HostListing::default()
        },
        ..ServiceSettings::default()
    };
    ServiceServer::bind(ANY_PORT, settings, clock.clone())
        .await
        .map_err(|error| bind_error("127.0.0.1 (service)", &error))
}

fn node_settings(position: usize, platform: &str, seed: Option<String>) -> NodeSettings {
    NodeSettings {
        node: HostIdentity {
            id: format!("node-{}", position + 1),
            zone: zone_name(position),
            region: REGION.to_owned(),
        },
        addresses: AddressSettings {
            callers: ANY_PORT.to_owned(),
            peers: ANY_PORT.to_owned(),
        },
        platform: PlatformSettings {
            table: platform.to_owned(),
            objects: platform.to_owned(),
            weights: platform.to_owned(),
            hosts: platform.to_owned(),
            timeout_ms: PLATFORM_TIMEOUT_MS,
        },
        cluster_keys: vec![ClusterKey {
            id: 1,
            secret: key_digest("local-cluster-key"),
        }],
        operator_key_digests: vec![key_digest(OPERATOR_KEY)],
        seeds: seed.into_iter().collect(),
        limits: LimitSettings::default(),
        timeouts: TimeoutSettings {
            address_lifetime_ms: ADDRESS_LIFETIME_MS,
            drain_ms: DRAIN_MS,
            ..TimeoutSettings::default()
        },
        scheduling: SchedulingSettings::default(),
        upstreams: UpstreamSettings::default(),
    }
}

fn zone_name(position: usize) -> String {
    ZONES[position % ZONES.len()].to_owned()
}

fn bind_error(peer: &str, error: &io::Error) -> ProgramError {
    ProgramError::failed("bind a port", peer, error, "free a port on 127.0.0.1")
}
