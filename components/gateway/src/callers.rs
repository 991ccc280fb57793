//! Connections that were accepted, what each is doing and holds, and who gives way when places
//! or memory run out.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    io,
    net::{IpAddr, TcpStream},
    rc::Rc,
    task::Poll,
    time::{Duration, Instant},
};

use kernel::{CancellationToken, ClockSource};
use memory::{
    CONNECTION_BYTES, Holder, HolderId, HolderStage, MemoryCharge, OverdueReason, REQUEST_BYTES,
    RoomClaim, StageLimits, WriteMark, find_overdue, find_unread, find_victim, is_within_share,
};
use smol::Async;
use types::OrganisationId;

use crate::{
    caller_metrics::TurnedAway, caller_socket::SharedSocket, listen::ListenRole, state::Gateway,
};

/// Bytes of a body that count as progress. A body that is slower than this in a second is
/// legal, but gives way when its memory is needed.
const PROGRESS_BYTES: u64 = 16 << 10;
/// Bytes of an answer that count as progress of a peer that takes it slowly.
const WRITE_PROGRESS_BYTES: u64 = 4 << 10;
/// Time for which a write may wait for its peer without that. Callers give an answer up much
/// earlier.
const WRITE_STALL_TIME: Duration = Duration::from_secs(10);
/// Added to the time limit of heads, so that a head that just keeps it is not cut.
const HEAD_MARGIN: Duration = Duration::from_secs(1);
/// Interval at which connections are checked for what no deadline ends.
const WATCH_PAUSE: Duration = Duration::from_secs(1);

/// An accepted connection.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    id: HolderId,
    address: IpAddr,
    pub(crate) socket: SharedSocket,
    stage: Cell<HolderStage>,
    /// Since when it is in its stage; of a body, when it last made progress.
    since: Cell<Instant>,
    /// Bytes of the body since then.
    received: Cell<u64>,
    /// Bytes charged for the body.
    held_bytes: Cell<u64>,
    organisation: RefCell<Option<OrganisationId>>,
    write: Cell<Option<WriteMark>>,
    /// Whether the rest of a refused body is being read and dropped.
    is_discarding: Cell<bool>,
    /// Cancelled when the request has to give way; it is answered.
    giving_way: CancellationToken,
    /// Cancelled when the connection has to end at once.
    closing: CancellationToken,
    _charge: MemoryCharge,
}

impl CallerConnection {
    /// Waits until the request has to give way.
    pub(crate) async fn gave_way(&self) {
        self.giving_way.cancelled().await;
    }

    /// Waits until the connection has to end at once.
    pub(crate) async fn closed(&self) {
        self.closing.cancelled().await;
    }

    /// Records whether the rest of a refused body is being read and dropped.
    pub(crate) fn set_discarding(&self, is_discarding: bool) {
        self.is_discarding.set(is_discarding);
    }

    /// Records how much is charged for the body.
    pub(crate) fn record_held(&self, bytes: u64) {
        self.held_bytes.set(bytes);
    }

    /// Records that bytes of a body have arrived.
    pub(crate) fn record_received(&self, now: Instant, bytes: u64) {
        let received = self.received.get() + bytes;
        if received < PROGRESS_BYTES {
            self.received.set(received);
        } else {
            self.received.set(0);
            self.since.set(now);
        }
    }

    fn enter_stage(&self, now: Instant, stage: HolderStage) {
        self.stage.set(stage);
        self.since.set(now);
        self.received.set(0);
    }

    fn shares_owner(&self, other: &Self) -> bool {
        match (&*self.organisation.borrow(), &*other.organisation.borrow()) {
            (None, None) => self.address == other.address,
            (own, others) => own == others,
        }
    }

    /// Records that a head begins to arrive on a connection without a request.
    pub(crate) fn record_read(&self, now: impl FnOnce() -> Instant) {
        if self.stage.get() == HolderStage::Silent && !self.is_discarding.get() {
            self.enter_stage(now(), HolderStage::Head);
        }
    }

    /// Records whether the peer takes what is written to it.
    pub(crate) fn record_write(
        &self,
        now: impl FnOnce() -> Instant,
        written: &Poll<io::Result<usize>>,
    ) {
        let mark = match (self.write.get(), written) {
            (None, Poll::Pending) => Some(WriteMark {
                since: now(),
                bytes: 0,
            }),
            (Some(mark), Poll::Ready(Ok(count))) => {
                let bytes = mark.bytes + *count as u64;
                (bytes < WRITE_PROGRESS_BYTES).then_some(WriteMark { bytes, ..mark })
            }
            (mark, _) => mark,
        };
        self.write.set(mark);
    }

    /// Bytes that have arrived and are not read, while the connection answers a request.
    fn unread_bytes(&self) -> Option<u64> {
        if self.stage.get() != HolderStage::Request && self.write.get().is_none() {
            return None;
        }
        match self.socket.unread_bytes() {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                log::debug!("event=unread_unknown error=\"{error}\"");
                None
            }
        }
    }
}

/// Which holders may have to give way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum VictimScope {
    /// All of them.
    Any,
    /// Those of the claimant's owner, which has more than its share.
    SameOwner,
}

impl VictimScope {
    /// Returns the scope for a claim of an owner that is within its share, or isn't.
    pub(crate) fn new(is_within_share: bool) -> Self {
        if is_within_share {
            Self::Any
        } else {
            Self::SameOwner
        }
    }
}

/// Connections to one listener.
#[derive(Debug)]
pub(crate) struct ConnectionTable {
    role: ListenRole,
    clock: ClockSource,
    connections_max: usize,
    requests_max: usize,
    open: RefCell<BTreeMap<HolderId, Rc<CallerConnection>>>,
    by_address: RefCell<HashMap<IpAddr, usize>>,
    last_id: Cell<HolderId>,
    requests: Cell<usize>,
}

impl ConnectionTable {
    /// Creates a table with places for as many connections, and as many requests on them.
    pub(crate) fn new(
        role: ListenRole,
        clock: ClockSource,
        connections_max: usize,
        requests_max: usize,
    ) -> Rc<Self> {
        Rc::new(Self {
            role,
            clock,
            connections_max,
            requests_max,
            open: RefCell::default(),
            by_address: RefCell::default(),
            last_id: Cell::default(),
            requests: Cell::default(),
        })
    }

    pub(crate) fn role(&self) -> ListenRole {
        self.role
    }

    /// Number of open connections.
    pub(crate) fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Number of requests in progress.
    pub(crate) fn requests(&self) -> usize {
        self.requests.get()
    }

    /// Gives a new connection a place, if need be that of another one; `None` if there is none.
    pub(crate) fn admit(
        self: &Rc<Self>,
        gateway: &Gateway,
        socket: Async<TcpStream>,
        address: IpAddr,
    ) -> Option<ConnectionPlace> {
        if self.len() >= self.connections_max && !self.free_place(gateway) {
            return None;
        }
        let mut charge = gateway.limits.budget.charge();
        charge.grow(CONNECTION_BYTES);
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let connection = Rc::new(CallerConnection {
            id,
            address,
            socket: SharedSocket::new(socket),
            stage: Cell::new(HolderStage::Silent),
            since: Cell::new(self.clock.now()),
            received: Cell::default(),
            held_bytes: Cell::default(),
            organisation: RefCell::default(),
            write: Cell::default(),
            is_discarding: Cell::default(),
            giving_way: CancellationToken::new(),
            closing: CancellationToken::new(),
            _charge: charge,
        });
        self.open.borrow_mut().insert(id, Rc::clone(&connection));
        *self.by_address.borrow_mut().entry(address).or_default() += 1;
        Some(ConnectionPlace {
            table: Rc::clone(self),
            connection,
        })
    }

    fn free_place(&self, gateway: &Gateway) -> bool {
        let victim = find_victim(
            gateway.now(),
            RoomClaim::Connection,
            self.holders().into_iter(),
        );
        victim.is_some_and(|id| self.evict(gateway, id))
    }

    /// Makes one holder give way to `claim` of `claimant`; returns whether there was one.
    pub(crate) fn make_room(
        &self,
        gateway: &Gateway,
        claim: RoomClaim,
        scope: VictimScope,
        claimant: &CallerConnection,
    ) -> bool {
        let holders = self.holders().into_iter();
        let is_in_scope = |id| scope == VictimScope::Any || self.shares_owner(id, claimant);
        let others = holders.filter(|holder| holder.id != claimant.id && is_in_scope(holder.id));
        let victim = find_victim(gateway.now(), claim, others);
        victim.is_some_and(|id| self.evict(gateway, id))
    }

    /// Returns whether the owner of a request may hold more memory for large bodies.
    pub(crate) fn may_hold(&self, gateway: &Gateway, claimant: &CallerConnection) -> bool {
        let open = self.open.borrow();
        let owned = open.values().filter(|other| other.shares_owner(claimant));
        let owner_bytes = owned.map(|other| other.held_bytes.get()).sum();
        is_within_share(owner_bytes, gateway.limits.budget.free_bulk_bytes())
    }

    fn shares_owner(&self, id: HolderId, claimant: &CallerConnection) -> bool {
        let open = self.open.borrow();
        open.get(&id)
            .is_some_and(|connection| connection.shares_owner(claimant))
    }

    fn holders(&self) -> Vec<Holder> {
        let by_address = self.by_address.borrow();
        let open = self.open.borrow();
        let holders = open.values().map(|connection| Holder {
            id: connection.id,
            stage: connection.stage.get(),
            since: connection.since.get(),
            held_bytes: connection.held_bytes.get(),
            write: connection.write.get(),
            neighbours: by_address.get(&connection.address).copied().unwrap_or(0),
        });
        holders.collect()
    }

    /// Ends a connection, or its request, in favour of others.
    fn evict(&self, gateway: &Gateway, id: HolderId) -> bool {
        let Some(connection) = self.forget(id) else {
            return false;
        };
        let stage = connection.stage.get();
        gateway.turn_away(TurnedAway::GaveWay, || {
            format!(
                "event=gave_way listener={:?} peer={} stage={stage:?} held_bytes={}",
                self.role,
                connection.address,
                connection.held_bytes.get()
            )
        });
        if stage == HolderStage::Body {
            connection.giving_way.cancel();
        } else {
            connection.closing.cancel();
        }
        true
    }

    /// Takes a connection out of the table; it no longer has a place.
    fn forget(&self, id: HolderId) -> Option<Rc<CallerConnection>> {
        let connection = self.open.borrow_mut().remove(&id)?;
        let mut by_address = self.by_address.borrow_mut();
        if let Some(count) = by_address.get_mut(&connection.address) {
            *count -= 1;
            if *count == 0 {
                by_address.remove(&connection.address);
            }
        }
        Some(connection)
    }

    /// Closes connections that have reached a limit that no request's deadline sets.
    fn close_overdue(&self, gateway: &Gateway) {
        let head_time = gateway.routes.borrow().state().limits.head_time;
        let limits = StageLimits {
            head_time: head_time + HEAD_MARGIN,
            write_time: WRITE_STALL_TIME,
        };
        for (id, reason) in find_overdue(gateway.now(), limits, self.holders().into_iter()) {
            let reason = match reason {
                OverdueReason::Head => TurnedAway::LateHead,
                OverdueReason::Answer => TurnedAway::UnreadAnswer,
            };
            self.close(gateway, id, reason);
        }
    }

    /// Closes connections whose peers send on while their requests are answered, so that what
    /// has arrived and is not read stays within its limit.
    fn close_unread(&self, gateway: &Gateway) {
        let unread: Vec<_> = {
            let open = self.open.borrow();
            let unread = open.values();
            unread
                .filter_map(|connection| Some((connection.id, connection.unread_bytes()?)))
                .collect()
        };
        for id in find_unread(unread, gateway.limits.unread_bytes) {
            self.close(gateway, id, TurnedAway::UnreadRequests);
        }
    }

    fn close(&self, gateway: &Gateway, id: HolderId, reason: TurnedAway) {
        if let Some(connection) = self.forget(id) {
            gateway.turn_away(reason, || {
                format!(
                    "event=connection_closed listener={:?} peer={} reason={reason:?}",
                    self.role, connection.address
                )
            });
            connection.closing.cancel();
        }
    }
}

/// Place of a connection, until this is dropped.
pub(crate) struct ConnectionPlace {
    table: Rc<ConnectionTable>,
    pub(crate) connection: Rc<CallerConnection>,
}

impl ConnectionPlace {
    /// Begins a request on the connection, whose head has arrived.
    pub(crate) fn begin_request(&self) -> RequestPlace {
        let now = self.table.clock.now();
        self.connection.enter_stage(now, HolderStage::Body);
        RequestPlace {
            table: Rc::clone(&self.table),
            connection: Rc::clone(&self.connection),
            charge: None,
        }
    }
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        self.table.forget(self.connection.id);
    }
}

/// Request on a connection, until its answer has been written and this is dropped.
pub(crate) struct RequestPlace {
    table: Rc<ConnectionTable>,
    pub(crate) connection: Rc<CallerConnection>,
    /// What is charged for the request; `None` until it has a place.
    charge: Option<MemoryCharge>,
}

impl RequestPlace {
    /// Takes a place for the request, if need be that of another one; returns whether there was
    /// one. No owner may have more than a share of the places.
    pub(crate) fn claim(&mut self, gateway: &Gateway) -> bool {
        let table = &self.table;
        let free = table.requests_max.saturating_sub(table.requests.get());
        let open = table.open.borrow();
        let owned = open.values().filter(|other| {
            let has_request = matches!(other.stage.get(), HolderStage::Body | HolderStage::Request);
            has_request && other.shares_owner(&self.connection)
        });
        let owned = owned.count() as u64;
        drop(open);
        let is_allowed = is_within_share(owned, free as u64);
        if !is_allowed || free == 0 {
            let scope = VictimScope::new(is_allowed);
            if !table.make_room(gateway, RoomClaim::Request, scope, &self.connection) {
                return false;
            }
        }
        let mut charge = gateway.limits.budget.charge();
        charge.grow(REQUEST_BYTES);
        self.charge = Some(charge);
        table.requests.set(table.requests.get() + 1);
        true
    }

    /// Names the organisation on whose account the request holds memory.
    pub(crate) fn set_organisation(&self, organisation: Option<OrganisationId>) {
        *self.connection.organisation.borrow_mut() = organisation;
    }

    /// Records that nothing more of the request is read: it is whole, or refused.
    pub(crate) fn record_answer(&self) {
        let now = self.table.clock.now();
        self.connection.enter_stage(now, HolderStage::Request);
    }
}

impl Drop for RequestPlace {
    fn drop(&mut self) {
        if self.charge.is_some() {
            let requests = &self.table.requests;
            requests.set(requests.get().saturating_sub(1));
        }
        self.connection.record_held(0);
        let now = self.table.clock.now();
        self.connection.enter_stage(now, HolderStage::Silent);
    }
}

/// Closes connections that no deadline ends, at intervals.
pub(crate) async fn watch_connections(gateway: Rc<Gateway>) {
    loop {
        gateway.clock.sleep(WATCH_PAUSE).await;
        for table in gateway.connection_tables() {
            table.close_overdue(&gateway);
            table.close_unread(&gateway);
        }
    }
}
