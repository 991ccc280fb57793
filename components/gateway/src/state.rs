//! What a gateway knows and holds, shared by its tasks on one thread.

use std::{
    cell::{Cell, RefCell},
    hash::RandomState,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use dispatch::{
    InFlightId, LoadTracker, NodeRoster, QuarantineList, RelaySelector, RetryBudget, RosterEntry,
    RouteTable, TableFreshness, UpstreamTable,
};
use kernel::ClockSource;
use rand::{SeedableRng, rngs::SmallRng};
use smol::LocalExecutor;

use crate::{
    GatewaySettings, RevokePolicy, WireDialect, client::ConnectionPool, metrics::GatewayMetrics,
};

/// The state of one gateway.
pub(crate) struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) dialect: Rc<dyn WireDialect>,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) clock: ClockSource,
    /// Orders this process among those of the same node.
    pub(crate) life: u64,
    pub(crate) hasher: RandomState,
    pub(crate) rng: RefCell<SmallRng>,
    pub(crate) routes: RefCell<Rc<RouteTable>>,
    /// The desired state as the store spells it, for nodes that can't read it.
    pub(crate) desired_row: RefCell<Option<(String, Bytes)>>,
    pub(crate) desired: RefCell<TableFreshness>,
    pub(crate) upstreams: RefCell<UpstreamTable>,
    pub(crate) listing: RefCell<TableFreshness>,
    pub(crate) loads: RefCell<LoadTracker>,
    pub(crate) roster: RefCell<NodeRoster>,
    /// The node asked for the sums of all others' loads.
    pub(crate) relay: RefCell<RelaySelector>,
    pub(crate) budget: RefCell<RetryBudget>,
    pub(crate) quarantine: RefCell<QuarantineList>,
    pub(crate) pool: RefCell<ConnectionPool>,
    /// Datagrams for all live nodes, sent by the peers' task.
    pub(crate) outbox: smol::channel::Sender<crate::peers::PeerNews>,
    /// When the desired state was last asked of another node.
    fetching: Cell<Option<Instant>>,
    /// When the request to stop came.
    pub(crate) leaving: Cell<Option<Instant>>,
    /// Connections of callers that are open.
    pub(crate) callers: Cell<usize>,
    /// Closed when idle connections of callers are to end.
    pub(crate) stopping: smol::channel::Receiver<()>,
    pub(crate) metrics: GatewayMetrics,
}

impl Gateway {
    pub(crate) fn new(
        settings: GatewaySettings,
        dialect: Rc<dyn WireDialect>,
        executor: Rc<LocalExecutor<'static>>,
        clock: ClockSource,
        life: u64,
        outbox: smol::channel::Sender<crate::peers::PeerNews>,
        stopping: smol::channel::Receiver<()>,
    ) -> Self {
        let budget = RetryBudget::new(
            settings.retry_window,
            settings.retry_ratio,
            settings.retry_allowance,
        );
        Self {
            settings,
            dialect,
            executor,
            clock,
            life,
            hasher: RandomState::new(),
            rng: RefCell::new(SmallRng::seed_from_u64(rand::random())),
            routes: RefCell::default(),
            desired_row: RefCell::default(),
            desired: RefCell::default(),
            upstreams: RefCell::default(),
            listing: RefCell::default(),
            loads: RefCell::default(),
            roster: RefCell::default(),
            relay: RefCell::default(),
            budget: RefCell::new(budget),
            quarantine: RefCell::default(),
            pool: RefCell::default(),
            outbox,
            fetching: Cell::new(None),
            leaving: Cell::new(None),
            callers: Cell::new(0),
            stopping,
            metrics: GatewayMetrics::new(),
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Whether a desired state is known that may be acted on.
    pub(crate) fn informed(&self) -> bool {
        let age = self.desired.borrow().age(self.now());
        match (age, self.settings.revoke) {
            (None, _) => false,
            (Some(age), RevokePolicy::RefuseAfter(limit)) => age <= limit,
            (Some(_), RevokePolicy::KeepServing) => true,
        }
    }

    /// Whether callers may be sent here.
    pub(crate) fn ready(&self) -> bool {
        self.leaving.get().is_none() && self.informed() && !self.upstreams.borrow().is_empty()
    }

    /// Whether the desired state may be asked of another node now: one call at
    /// a time, since every node tells of every new version.
    pub(crate) fn begin_fetch(&self, now: Instant, limit: Duration) -> bool {
        let fetching = self.fetching.get();
        if fetching.is_some_and(|since| now.saturating_duration_since(since) < limit) {
            return false;
        }
        self.fetching.set(Some(now));
        true
    }

    /// Allows the next call of [`begin_fetch`](Self::begin_fetch).
    pub(crate) fn end_fetch(&self) {
        self.fetching.set(None);
    }

    /// What this node says of itself.
    pub(crate) fn own_entry(&self) -> RosterEntry {
        RosterEntry {
            node: self.settings.node.clone(),
            zone: self.settings.zone.clone(),
            caller_address: self.settings.callers,
            peer_address: self.settings.peers,
            incarnation: self.life,
            ready: self.ready(),
        }
    }

    /// Tells all live nodes; news that find the queue full are dropped, since
    /// every notice is repeated by the next summary or superseded.
    pub(crate) fn tell(&self, news: crate::peers::PeerNews) {
        if self.outbox.try_send(news).is_err() {
            log::debug!("event=news_dropped reason=queue_full");
        }
    }
}

/// A request at an upstream; its end is noted when this is dropped.
pub(crate) struct FlightGuard {
    gateway: Rc<Gateway>,
    flight: InFlightId,
}

impl FlightGuard {
    pub(crate) fn new(gateway: &Rc<Gateway>, flight: InFlightId) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            flight,
        }
    }

    pub(crate) fn id(&self) -> InFlightId {
        self.flight
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.gateway.loads.borrow_mut().record_end(self.flight);
    }
}
