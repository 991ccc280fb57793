//! State of a gateway that its tasks share on one thread.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    hash::RandomState,
    net::{IpAddr, UdpSocket},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use dispatch::{
    FleetContact, FleetView, InFlightId, LoadTracker, QuarantineList, ReachTable, RetryBudget,
    RetryLimit, RosterEntry, RouteTable, RowSchedule, TableFreshness, UpstreamTable,
};
use kernel::ClockSource;
use memory::CallerLimits;
use rand::{SeedableRng, rngs::SmallRng};
use rustix::process::{Resource, getrlimit};
use smol::{Async, LocalExecutor};
use types::UpstreamId;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    GatewaySettings, RevokePolicy, WireDialect,
    caller_metrics::TurnedAway,
    callers::ConnectionTable,
    client::ConnectionPool,
    datagrams::PeerDatagram,
    listen::ListenRole,
    metrics::GatewayMetrics,
    question::ReachAnswer,
    refusals::RefusalLog,
    start::{StartPhase, StartTimes},
    stop::StopNotices,
};

/// Hash of a node's id, in datagrams.
pub(crate) type NodeKey = u64;

/// Time by which a node has to be older than this one to have run before it: hosts of a fleet
/// that starts as a whole start within less, and their clocks differ little.
const START_MARGIN: Duration = Duration::from_secs(5);

/// Listeners to which callers send no requests.
const OTHER_LISTENERS: [ListenRole; 4] = [
    ListenRole::Readiness,
    ListenRole::Directory,
    ListenRole::Peers,
    ListenRole::Metrics,
];

/// State of one gateway.
pub(crate) struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) dialect: Rc<dyn WireDialect>,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) clock: ClockSource,
    /// Start time of the process in Unix milliseconds; tells restarts of a node apart.
    pub(crate) incarnation: u64,
    /// Chooses the service of a request whose route splits its traffic.
    pub(crate) hasher: RandomState,
    pub(crate) rng: RefCell<SmallRng>,
    pub(crate) routes: RefCell<Rc<RouteTable>>,
    /// Key and value of the store's row with the desired state, for nodes that
    /// can't reach the store.
    pub(crate) desired_row: RefCell<Option<(String, Bytes)>>,
    /// Version and age of the known desired state.
    pub(crate) desired_freshness: RefCell<TableFreshness>,
    /// Store version and age of what is known of evacuated zones.
    pub(crate) evacuation_freshness: RefCell<TableFreshness>,
    pub(crate) upstreams: RefCell<UpstreamTable>,
    /// Version and age of the known upstreams.
    pub(crate) upstream_freshness: RefCell<TableFreshness>,
    pub(crate) loads: RefCell<LoadTracker>,
    /// The other nodes, and the news between them and this one.
    pub(crate) fleet: RefCell<FleetView>,
    /// How far this node can rely on the others seeing the same fleet.
    pub(crate) contact: RefCell<FleetContact>,
    /// Upstreams with a claim of their warm-up that can't be decoded, each logged once.
    pub(crate) unclear_claims: RefCell<HashSet<UpstreamId>>,
    /// Node whose polls of the store the known upstreams come from.
    pub(crate) upstreams_source: Cell<Option<NodeKey>>,
    pub(crate) retry_budget: RefCell<RetryBudget>,
    pub(crate) quarantine: RefCell<QuarantineList>,
    pub(crate) pool: RefCell<ConnectionPool>,
    /// Services from which this node is cut off, and the nodes that help it.
    pub(crate) reach: RefCell<ReachTable>,
    /// Questions to other nodes that wait for answers, by their number.
    pub(crate) reach_questions: RefCell<HashMap<u64, smol::channel::Sender<ReachAnswer>>>,
    /// Questions of other nodes that are being answered.
    pub(crate) reach_answers: Cell<u32>,
    /// Connections that this node holds for others.
    pub(crate) tunnels: Cell<u32>,
    /// Reservations of memory that are being released.
    pub(crate) open_releases: Cell<usize>,
    pub(crate) socket: Rc<Async<UdpSocket>>,
    /// Queue of datagrams for the relays, sent by a task of its own.
    pub(crate) outbox: smol::channel::Sender<PeerDatagram>,
    /// Number of the last aggregate that this node sent, in a range of its own.
    last_aggregate: Cell<u64>,
    /// When this node last asked for a listing since its upstreams differed.
    pub(crate) relisted_at: Cell<Option<Instant>>,
    /// Start of the running call that fetches the desired state from another node.
    fetch_started: Cell<Option<Instant>>,
    /// When this node's row was written, and when the rows of all nodes were listed.
    pub(crate) row_schedule: Cell<RowSchedule>,
    /// When SIGTERM arrived.
    pub(crate) stopping_since: Cell<Option<Instant>>,
    /// How much callers may make this process hold.
    pub(crate) limits: CallerLimits,
    /// Connections of callers that send requests.
    pub(crate) callers: Rc<ConnectionTable>,
    /// Connections to the other listeners.
    other_connections: Vec<Rc<ConnectionTable>>,
    pub(crate) refusal_log: RefusalLog,
    pub(crate) stop_notices: StopNotices,
    pub(crate) metrics: GatewayMetrics,
    start_times: StartTimes,
}

impl Gateway {
    pub(crate) fn new(
        settings: GatewaySettings,
        dialect: Rc<dyn WireDialect>,
        executor: Rc<LocalExecutor<'static>>,
        incarnation: u64,
        socket: Rc<Async<UdpSocket>>,
        outbox: smol::channel::Sender<PeerDatagram>,
        stop_notices: StopNotices,
    ) -> Self {
        let fleet = FleetView::new(rand::random_range(1..=u64::MAX), settings.seeds.clone());
        let clock = ClockSource::System;
        let started = clock.now();
        let retry_limit = RetryLimit {
            window: settings.retry_window,
            ratio: settings.retry_ratio,
            extra_retries: settings.retry_allowance,
        };
        let retry_budget = RetryBudget::new(started, retry_limit, rand::random());
        let limits = caller_limits(&settings);
        Self {
            settings,
            dialect,
            executor,
            clock: clock.clone(),
            incarnation,
            hasher: RandomState::new(),
            rng: RefCell::new(SmallRng::seed_from_u64(rand::random())),
            routes: RefCell::default(),
            desired_row: RefCell::default(),
            desired_freshness: RefCell::default(),
            evacuation_freshness: RefCell::default(),
            upstreams: RefCell::default(),
            upstream_freshness: RefCell::default(),
            loads: RefCell::new(LoadTracker::starting(started)),
            fleet: RefCell::new(fleet),
            contact: RefCell::new(FleetContact::new(started)),
            unclear_claims: RefCell::default(),
            upstreams_source: Cell::default(),
            retry_budget: RefCell::new(retry_budget),
            quarantine: RefCell::default(),
            pool: RefCell::default(),
            reach: RefCell::default(),
            reach_questions: RefCell::default(),
            reach_answers: Cell::default(),
            tunnels: Cell::default(),
            open_releases: Cell::default(),
            socket,
            outbox,
            last_aggregate: Cell::new(u64::from(rand::random::<u32>()) << u32::BITS),
            relisted_at: Cell::default(),
            fetch_started: Cell::new(None),
            row_schedule: Cell::default(),
            stopping_since: Cell::new(None),
            callers: ConnectionTable::new(
                ListenRole::Callers,
                clock.clone(),
                limits.connections,
                limits.requests,
            ),
            other_connections: OTHER_LISTENERS
                .map(|role| {
                    ConnectionTable::new(role, clock.clone(), limits.listener_connections, 0)
                })
                .to_vec(),
            limits,
            refusal_log: RefusalLog::default(),
            stop_notices,
            metrics: GatewayMetrics::new(),
            start_times: StartTimes::new(started),
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns whether this node is cut off from the service while other nodes reach it.
    pub(crate) fn is_cut_off(&self, service: &str) -> bool {
        self.reach.borrow().is_cut_off(self.now(), service)
    }

    /// Returns the address from which this node connects to others.
    pub(crate) fn source(&self) -> IpAddr {
        self.settings.peers.ip()
    }

    /// Returns whether a desired state is known and, under
    /// [`RevokePolicy::RefuseAfter`], recent enough.
    pub(crate) fn has_valid_state(&self) -> bool {
        let age = self.desired_freshness.borrow().age(self.now());
        match (age, self.settings.revoke_policy) {
            (None, _) => false,
            (Some(age), RevokePolicy::RefuseAfter(limit)) => age <= limit,
            (Some(_), RevokePolicy::KeepServing) => true,
        }
    }

    /// Returns the connections to the listener for `role`.
    pub(crate) fn connections(&self, role: ListenRole) -> &Rc<ConnectionTable> {
        let others = self.other_connections.iter();
        let mut matching = others.filter(|table| table.role() == role);
        matching.next().unwrap_or(&self.callers)
    }

    /// Returns the connections of all listeners.
    pub(crate) fn connection_tables(&self) -> impl Iterator<Item = &Rc<ConnectionTable>> {
        std::iter::once(&self.callers).chain(&self.other_connections)
    }

    /// Returns the largest body of a request or a held answer, in bytes: the limit of the
    /// desired state, unless the process has too little memory for one.
    pub(crate) fn body_limit(&self) -> usize {
        let limit = self.routes.borrow().state().limits.body_bytes;
        let memory = self.limits.budget.bulk_limit();
        limit.min(usize::try_from(memory).unwrap_or(usize::MAX))
    }

    /// Counts that something was turned away, and logs it within bounds.
    pub(crate) fn turn_away(&self, reason: TurnedAway, line: impl FnOnce() -> String) {
        self.metrics.callers.record_turned_away(reason);
        self.refusal_log.write(self.now(), line);
    }

    /// Returns whether callers may be sent to this node.
    pub(crate) fn ready(&self) -> bool {
        self.stopping_since.get().is_none()
            && self.has_valid_state()
            && !self.upstreams.borrow().is_empty()
    }

    /// Returns whether a fetch of the desired state from another node may start, and
    /// records its start. Only one runs at a time, since each answer of a relay names
    /// its version; one that began more than `limit` ago no longer counts.
    pub(crate) fn begin_fetch(&self, now: Instant, limit: Duration) -> bool {
        if self.is_fetching(limit) {
            return false;
        }
        self.fetch_started.set(Some(now));
        true
    }

    /// Returns whether a fetch of the desired state that began at most `limit` ago is under
    /// way.
    pub(crate) fn is_fetching(&self, limit: Duration) -> bool {
        let fetch_started = self.fetch_started.get();
        fetch_started.is_some_and(|since| self.now().saturating_duration_since(since) < limit)
    }

    /// Ends the fetch that [`begin_fetch`](Self::begin_fetch) allowed.
    pub(crate) fn end_fetch(&self) {
        self.fetch_started.set(None);
    }

    /// Returns a number for the next aggregate, higher than the last one.
    pub(crate) fn next_aggregate(&self) -> u64 {
        let number = self.last_aggregate.get() + 1;
        self.last_aggregate.set(number);
        number
    }

    /// Returns the number of nodes among which the fleet's retry budget is divided; `None`
    /// while this node has read no list of all nodes.
    pub(crate) fn sharing_nodes(&self, now: Instant) -> Option<usize> {
        let known = self
            .fleet
            .borrow_mut()
            .roster_mut()
            .recent_fleet_size(now)?;
        Some(self.contact.borrow().sharing_nodes(now, known))
    }

    /// Returns for how long this process has been running.
    pub(crate) fn running_time(&self) -> Duration {
        self.start_times.running_time(self.now())
    }

    /// Returns whether this node has just started and still lacks what it needs to serve.
    pub(crate) fn is_starting(&self) -> bool {
        self.start_times.is_starting(self.now())
    }

    /// Records that another node was heard, which says by its start time whether the whole
    /// fleet has just started.
    pub(crate) fn record_member(&self, entry: &RosterEntry) {
        self.record_start_phase(StartPhase::Members);
        let margin = u64::try_from(START_MARGIN.as_millis()).unwrap_or(u64::MAX);
        if entry.ready && entry.incarnation.saturating_add(margin) < self.incarnation {
            self.loads.borrow_mut().record_running_fleet();
        }
    }

    /// Records a step of this node's row.
    pub(crate) fn update_row_schedule(&self, update: impl FnOnce(&mut RowSchedule, Instant)) {
        let mut schedule = self.row_schedule.get();
        update(&mut schedule, self.now());
        self.row_schedule.set(schedule);
    }

    /// Records that a phase of the start has ended.
    pub(crate) fn record_start_phase(&self, phase: StartPhase) {
        self.start_times
            .record(self.now(), phase, &self.settings.node);
    }

    /// Returns the hash of this node's id.
    pub(crate) fn own_key(&self) -> NodeKey {
        xxh3_64(self.settings.node.as_bytes())
    }

    /// Returns the entry that this node publishes about itself.
    pub(crate) fn own_entry(&self) -> RosterEntry {
        RosterEntry {
            node: self.settings.node.clone(),
            zone: self.settings.zone.clone(),
            caller_address: self.settings.callers,
            peer_address: self.settings.peers,
            incarnation: self.incarnation,
            ready: self.ready(),
            capacity: self.settings.capacity,
        }
    }

    /// Queues a datagram for the relays, which tell all nodes. It is dropped if the
    /// queue is full; other nodes then learn of the event late or not at all.
    pub(crate) fn queue_datagram(&self, datagram: PeerDatagram) {
        if self.outbox.try_send(datagram).is_err() {
            log::debug!("event=news_dropped reason=queue_full");
        }
    }
}

/// Derives what callers may make the process hold from its settings, and from what the system
/// allows it where that is less.
fn caller_limits(settings: &GatewaySettings) -> CallerLimits {
    let allowed = getrlimit(Resource::Nofile).current;
    let descriptors = allowed.map_or(settings.descriptors, |allowed| {
        settings.descriptors.min(allowed)
    });
    let limits = CallerLimits::new(settings.memory_bytes, descriptors);
    log::info!(
        "event=caller_limits memory_bytes={} descriptors={descriptors} body_bytes={} \
         connections={} requests={} listener_connections={}",
        settings.memory_bytes,
        limits.budget.bulk_limit(),
        limits.connections,
        limits.requests,
        limits.listener_connections,
    );
    limits
}

/// Counts a request as in flight at its engines until it is dropped.
pub(crate) struct InFlightGuard {
    gateway: Rc<Gateway>,
    in_flight_id: InFlightId,
}

impl InFlightGuard {
    pub(crate) fn new(gateway: &Rc<Gateway>, in_flight_id: InFlightId) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            in_flight_id,
        }
    }

    pub(crate) fn id(&self) -> InFlightId {
        self.in_flight_id
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.gateway
            .loads
            .borrow_mut()
            .record_end(self.in_flight_id);
    }
}
