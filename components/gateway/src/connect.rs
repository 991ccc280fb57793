//! Opens connections to upstreams: from this node, or through another one while this node
//! is cut off.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use dispatch::{HomeRegions, UpstreamEntry};
use futures_lite::future::or;
use rustix::io::Errno;
use types::{NodeId, ServiceName, UpstreamId};

use crate::{
    client::ClientConnection,
    reach::{suspect_cut, wait_for_check, wait_for_cut},
    state::Gateway,
    tunnel::{TunnelError, open_tunnel},
};

/// Timeout of a connection attempt to an upstream.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which a connection that is not open yet is a reason to ask whether this node
/// is cut off.
const SLOW_CONNECT_TIME: Duration = Duration::from_millis(100);
/// Helpers that are asked for one connection.
const HELPERS_TRIED_MAX: usize = 3;
/// Time after which a caller is told to retry if no helper takes its request: about as long
/// as it takes until other helpers are known.
const NO_HELPER_RETRY_AFTER: Duration = Duration::from_millis(600);

/// Upstream to connect to.
#[derive(Clone, Debug)]
pub(crate) struct ConnectTarget {
    pub(crate) upstream: UpstreamId,
    pub(crate) service: ServiceName,
    pub(crate) address: SocketAddr,
    /// Regions of nodes that may hold the connection for this one.
    pub(crate) homes: HomeRegions,
}

impl From<&UpstreamEntry> for ConnectTarget {
    fn from(entry: &UpstreamEntry) -> Self {
        Self {
            upstream: entry.id.clone(),
            service: entry.service.clone(),
            address: entry.address,
            homes: HomeRegions::Anywhere,
        }
    }
}

/// Why there is no connection. Nothing was sent.
#[derive(Debug)]
pub(crate) enum ConnectError {
    /// The upstream was not reached.
    Upstream(io::Error),
    /// This node has no descriptor or memory for a connection. Says nothing of the upstream.
    Shortage(io::Error),
    /// This node is cut off, and no other node takes the connection now. Says nothing of the
    /// upstream.
    NoHelper(Duration),
}

impl std::fmt::Display for ConnectError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Upstream(error) => write!(formatter, "connect: {error}"),
            Self::Shortage(error) => write!(formatter, "no connection on this node: {error}"),
            Self::NoHelper(_) => write!(formatter, "cut off, and no other node helps"),
        }
    }
}

/// Connects to an upstream within `time_left`, which also ends a connection through
/// another node.
pub(crate) async fn connect_upstream(
    gateway: &Rc<Gateway>,
    target: &ConnectTarget,
    time_left: Duration,
) -> Result<ClientConnection, ConnectError> {
    let started = gateway.now();
    if !gateway.is_cut_off(&target.service) {
        let connecting = connect_directly(gateway, target, time_left);
        let cut = async {
            wait_for_cut(gateway, &target.service).await;
            Err(io::ErrorKind::NetworkUnreachable.into())
        };
        match or(connecting, cut).await {
            Ok(connection) => return Ok(connection),
            Err(error) if is_shortage(&error) => return Err(ConnectError::Shortage(error)),
            Err(error) if !gateway.is_cut_off(&target.service) => {
                return Err(ConnectError::Upstream(error));
            }
            Err(_) => {}
        }
    }
    let elapsed = gateway.now().saturating_duration_since(started);
    connect_through_helper(gateway, target, time_left.saturating_sub(elapsed)).await
}

/// Returns whether an error is this node's own want of descriptors or memory.
fn is_shortage(error: &io::Error) -> bool {
    let own = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    Errno::from_io_error(error).is_some_and(|error| own.contains(&error))
}

async fn connect_directly(
    gateway: &Rc<Gateway>,
    target: &ConnectTarget,
    time_left: Duration,
) -> io::Result<ClientConnection> {
    let opening = ClientConnection::open(&gateway.executor, gateway.source(), target.address);
    let watch = async {
        gateway.clock.sleep(SLOW_CONNECT_TIME).await;
        suspect_cut(gateway, &target.service, Some(&target.upstream));
        std::future::pending().await
    };
    let limit = CONNECT_TIMEOUT.min(time_left);
    let opened = gateway.clock.timeout(limit, or(opening, watch)).await;
    let opened = opened.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()));
    gateway.metrics.record_connect(&opened);
    if opened.is_ok() {
        let now = gateway.now();
        let mut upstreams = gateway.upstreams.borrow_mut();
        upstreams.record_contact(now, &target.upstream);
    } else if !opened.as_ref().is_err_and(is_shortage) {
        suspect_cut(gateway, &target.service, Some(&target.upstream));
        wait_for_check(gateway, &target.service).await;
    }
    opened
}

async fn connect_through_helper(
    gateway: &Rc<Gateway>,
    target: &ConnectTarget,
    time_left: Duration,
) -> Result<ClientConnection, ConnectError> {
    let mut excluded = helpers_outside(gateway, target);
    for _ in 0..HELPERS_TRIED_MAX {
        let helper = gateway.reach.borrow_mut().pick_helper(
            gateway.now(),
            &target.service,
            &gateway.settings.zone,
            &excluded,
            &mut *gateway.rng.borrow_mut(),
        );
        let Some(helper) = helper else {
            break;
        };
        match open_tunnel(gateway, &helper, target, time_left).await {
            Ok(connection) => return Ok(connection),
            Err(TunnelError::Upstream(error)) => return Err(ConnectError::Upstream(error)),
            Err(error) => {
                log::warn!(
                    "event=helper_failed helper={} upstream={} error=\"{error}\"",
                    helper.node,
                    target.upstream
                );
                if !matches!(error, TunnelError::Busy) {
                    let mut reach = gateway.reach.borrow_mut();
                    reach.remove_helper(&target.service, &helper.node);
                }
                excluded.push(helper.node);
            }
        }
    }
    Err(ConnectError::NoHelper(NO_HELPER_RETRY_AFTER))
}

/// Returns the helpers that must not see what goes to the target.
fn helpers_outside(gateway: &Gateway, target: &ConnectTarget) -> Vec<NodeId> {
    let regions = &gateway.settings.regions;
    let reach = gateway.reach.borrow();
    let helpers = reach.helpers(gateway.now(), &target.service);
    helpers
        .filter(|helper| !regions.is_home(&target.homes, &helper.zone))
        .map(|helper| helper.node.clone())
        .collect()
}
