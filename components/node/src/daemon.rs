//! Starts the services of a node and stops them.

mod base;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use entry::{EntryLimits, EntryServer};
use kernel::{CancellationToken, ClockSource, ServiceKernel};
use membership::DrainSettings;
use settings::NodeSettings;
use types::NoteVersion;

use self::base::DaemonBase;
use crate::{
    NodeError,
    api::api_handler,
    drain::DrainService,
    members::{MEMBER_SERVICE, MemberService},
    notes::{NOTE_SERVICE, NoteService},
    peers::PeerServer,
    sockets::PeerSockets,
};

/// Interval between ticks of the scheduler.
const TICK_PAUSE: Duration = Duration::from_millis(20);
/// Time after which services that have not ended are cancelled.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// A running node with its services and the addresses it listens on.
pub struct NodeDaemon {
    kernel: Arc<ServiceKernel>,
    callers: SocketAddr,
    peers: SocketAddr,
    members: Arc<MemberService>,
    notes: Arc<NoteService>,
    drain: DrainService,
    drain_settings: DrainSettings,
}

impl NodeDaemon {
    /// Starts every service of a node; cancelling `token` stops all of them
    /// without a drain.
    ///
    /// # Errors
    /// `NodeError` when an address can't be bound or a service can't be found.
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
        base.start_members(&kernel, &sockets, callers)?;
        base.start_notes(&kernel)?;
        base.start_orders(&kernel)?;
        start_background(&kernel, &base)?;
        let peer_server = PeerServer::new(sockets.listener, base.peer_handler(&kernel)?);
        kernel.start("peers", |token| peer_server.run(token));
        let context = base.api_context(&kernel, entry.server.connections())?;
        let handler = api_handler(Arc::new(context));
        let server = entry.server.with_handler(handler);
        kernel.start("entry", |token| server.run(token));
        log::info!(
            "event=node_started node={} callers={callers} peers={peers}",
            base.settings.node.id
        );
        Ok(Self {
            callers,
            peers,
            drain: base.drain_service(&kernel)?,
            drain_settings: base.drain_settings(),
            members: kernel.find(MEMBER_SERVICE)?,
            notes: kernel.find(NOTE_SERVICE)?,
            kernel,
        })
    }

    /// The address on which callers and operators reach this node over HTTP.
    #[must_use]
    pub fn callers_address(&self) -> SocketAddr {
        self.callers
    }

    /// The address on which other nodes reach this node, over TCP and UDP.
    #[must_use]
    pub fn peers_address(&self) -> SocketAddr {
        self.peers
    }

    /// Number of members that accept new work, according to this node.
    #[must_use]
    pub fn serving_members(&self) -> usize {
        self.members.members().serving().count()
    }

    /// Whether release note `version` or a newer one is in force on this node.
    #[must_use]
    pub fn has_in_force(&self, version: NoteVersion) -> bool {
        self.notes.current().version >= version
    }

    /// Drains and stops the node: address answers no longer name it, callers
    /// that hold an older answer are still served, and requests in flight
    /// finish. Returns the number of requests cancelled at the hard limit.
    pub async fn drain(self) -> usize {
        let cut = self
            .drain
            .run(&self.kernel, self.drain_settings.clone())
            .await;
        log::info!("event=node_stopped cut={cut}");
        self.kernel.stop(STOP_TIMEOUT).await;
        cut
    }

    /// Stops every service; returns the names of those cancelled because they
    /// did not end in time.
    pub async fn stop(self) -> Vec<String> {
        self.kernel.stop(STOP_TIMEOUT).await
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

/// Starts the background tasks.
fn start_background(kernel: &ServiceKernel, base: &DaemonBase) -> Result<(), NodeError> {
    let directory = Arc::clone(&base.directory);
    let hosts = Arc::clone(&base.hosts);
    kernel.start("directory", |token| directory.run(hosts, token));
    let prompts = Arc::clone(&base.prompts);
    kernel.start("ticker", |token| prompts.run_ticker(TICK_PAUSE, token));
    let watcher = base.engine_watcher();
    kernel.start("watch", |token| watcher.run(token));
    let reconciler = base.engine_reconciler(kernel)?;
    kernel.start("engines", |token| reconciler.run(token));
    let limits = base.limit_updater(kernel)?;
    kernel.start("limits", |token| limits.run(token));
    let bridge = base.membership_bridge(kernel)?;
    kernel.start("changes", |token| bridge.clone().run_member_changes(token));
    kernel.start("publisher", |token| {
        bridge.clone().run_summary_publisher(token)
    });
    kernel.start("evidence", |token| {
        bridge.clone().run_evidence_publisher(token)
    });
    kernel.start("deaths", |token| bridge.clone().run_death_publisher(token));
    kernel.start("deaths told", |token| {
        bridge.clone().run_death_reader(token)
    });
    kernel.start("told", |token| bridge.clone().run_evidence_reader(token));
    kernel.start("reader", |token| bridge.run_summary_reader(token));
    Ok(())
}

fn entry_limits(settings: &NodeSettings) -> EntryLimits {
    let timeouts = &settings.timeouts;
    EntryLimits {
        body_bytes: settings.limits.body_bytes,
        connections: settings.limits.connections,
        head_timeout: Duration::from_millis(timeouts.head_ms),
        body_timeout: Duration::from_millis(timeouts.body_ms),
        write_timeout: Duration::from_millis(timeouts.write_ms),
    }
}
