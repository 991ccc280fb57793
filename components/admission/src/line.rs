//! Line of the requests that wait for room at the upstreams of one service.
//!
//! The line knows who is next, not where: its owner asks it for the next requests in
//! order whenever room may have appeared, places those that fit and reports them as
//! started. A request that finds no room keeps its place.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet, HashMap},
    time::{Duration, Instant},
};

use types::{OrganisationId, PlanKind, TokenCount};

use crate::{
    LengthClass, LinePace, OrganisationIndex, ShareTable, drain::DrainMeter, lane::FairLane,
};

/// Identifies one waiting request within its line.
pub type EntryId = u64;

/// Share of the started cost that a class earns while requests of another class with
/// the same priority start before it: with two classes, each gets at least a fifth of
/// the room, since the credit adds to the cost that earns it.
const CLASS_FLOOR: f64 = 0.25;
/// The same for requests that wait behind a more urgent priority, or that can no
/// longer meet their goal: a twentieth, so that they never starve.
const YIELDING_FLOOR: f64 = 0.05;
/// Most credit of a lane, as a multiple of the cost of its largest request so far:
/// what it earned while it found no room is not served all at once.
const CREDIT_MAX_COSTS: f64 = 2.0;
/// Cost by which an organisation that begins to wait may be behind the others: some
/// hundred short prompts or one very long one.
const ORGANISATION_LEAD_MAX: TokenCount = 1_000_000;

/// Upper bounds of a line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LineBounds {
    /// Maximum number of waiting requests.
    pub requests: usize,
    /// Maximum sum of their sizes, in bytes.
    pub bytes: usize,
}

/// One waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LineEntry {
    /// Organisation of the caller, as [`WaitingLine::intern`] returns it.
    pub organisation: OrganisationIndex,
    /// Priority from 0, the most urgent.
    pub priority: u8,
    /// Length class; classes don't wait for each other.
    pub class: LengthClass,
    /// Cost charged to the organisation at the start, as `job_cost` returns it.
    pub cost: TokenCount,
    /// Estimated time for which it occupies one engine.
    pub engine_time: Duration,
    /// Latest start at which the caller's latency goal is still met.
    pub goal_start: Instant,
    /// Latest start that is of use: the answer still ends by the deadline, and the request
    /// need not be given up before.
    pub deadline_start: Instant,
    /// Memory that the request takes while it waits, in bytes.
    pub bytes: usize,
}

/// Requests that wait together. Lanes are served in this order, except for what their
/// floors guarantee.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct LaneKey {
    priority: u8,
    /// Whether the requests can no longer meet their goals.
    late: bool,
    class: LengthClass,
}

impl LaneKey {
    /// Part of the cost of a start in `started` that this lane earns.
    fn floor(self, started: Self) -> f64 {
        match (started.priority, started.late).cmp(&(self.priority, self.late)) {
            Ordering::Less => YIELDING_FLOOR,
            Ordering::Equal => CLASS_FLOOR,
            Ordering::Greater => 0.0,
        }
    }
}

/// Order within one lane and organisation: what must start first to meet its goal.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct EntryKey {
    goal_start: Instant,
    id: EntryId,
}

#[derive(Debug, Default)]
struct LineLane {
    entries: FairLane<EntryKey, LineEntry>,
    engine_time: Duration,
    /// Cost that the lane may start before lanes that go first otherwise.
    credit: f64,
    largest_cost: TokenCount,
}

#[derive(Clone, Copy, Debug)]
struct EntryLocation {
    lane: LaneKey,
    organisation: OrganisationIndex,
    key: EntryKey,
}

/// Work of the requests that wait in one class.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WaitingWork {
    /// Number of requests.
    pub count: usize,
    /// Time for which they occupy one engine, summed up.
    pub engine_time: Duration,
}

/// Requests that wait for room, in the order in which they should get it.
///
/// Requests of a more urgent priority go first; among equals those that can still meet
/// their goal, then the organisation with the lowest counter, then the request that must
/// start first to meet its goal. Floors keep each length class and the yielding requests
/// from starving.
#[derive(Debug)]
pub struct WaitingLine {
    shares: ShareTable,
    lanes: BTreeMap<LaneKey, LineLane>,
    locations: HashMap<EntryId, EntryLocation>,
    /// Requests that can still meet their goals, by their latest start.
    by_goal_start: BTreeSet<(Instant, EntryId)>,
    by_deadline_start: BTreeSet<(Instant, EntryId)>,
    last_id: EntryId,
    bytes: usize,
    drains: BTreeMap<LengthClass, DrainMeter>,
}

impl Default for WaitingLine {
    fn default() -> Self {
        Self {
            shares: ShareTable::new(ORGANISATION_LEAD_MAX),
            lanes: BTreeMap::new(),
            locations: HashMap::new(),
            by_goal_start: BTreeSet::new(),
            by_deadline_start: BTreeSet::new(),
            last_id: 0,
            bytes: 0,
            drains: BTreeMap::new(),
        }
    }
}

impl WaitingLine {
    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Returns the index of a caller's organisation; callers without one count as one
    /// organisation together.
    pub fn intern(&mut self, organisation: Option<&OrganisationId>) -> OrganisationIndex {
        let nobody = OrganisationId::new();
        let organisation = organisation.unwrap_or(&nobody);
        self.shares.intern(organisation, PlanKind::Paying, 1)
    }

    /// Whether the line is within the bounds.
    #[must_use]
    pub fn is_within(&self, bounds: LineBounds) -> bool {
        self.locations.len() <= bounds.requests && self.bytes <= bounds.bytes
    }

    /// Adds a request.
    pub fn push(&mut self, now: Instant, entry: LineEntry) -> EntryId {
        self.last_id += 1;
        let id = self.last_id;
        self.shares.count_queued(entry.organisation, entry.cost);
        self.bytes = self.bytes.saturating_add(entry.bytes);
        let drain = self.drains.entry(entry.class).or_default();
        drain.record_waiting(now);
        self.by_deadline_start.insert((entry.deadline_start, id));
        let is_late = entry.goal_start < now;
        if !is_late {
            self.by_goal_start.insert((entry.goal_start, id));
        }
        self.insert(id, is_late, entry);
        id
    }

    /// Removes a request that is not started, such as one whose caller left.
    pub fn remove(&mut self, now: Instant, id: EntryId) -> Option<LineEntry> {
        let (_, entry) = self.take_out(id)?;
        self.forget(now, id, &entry);
        Some(entry)
    }

    /// Removes a request in order to start it, and charges its organisation.
    pub fn take_to_start(&mut self, now: Instant, id: EntryId) -> Option<LineEntry> {
        let (lane, entry) = self.take_out(id)?;
        self.charge(lane, &entry);
        let drain = self.drains.entry(entry.class).or_default();
        drain.record_start(now, entry.engine_time);
        self.forget(now, id, &entry);
        Some(entry)
    }

    /// Charges the start of a request that didn't have to wait.
    pub fn record_immediate_start(&mut self, entry: &LineEntry) {
        let lane = LaneKey {
            priority: entry.priority,
            late: false,
            class: entry.class,
        };
        self.charge(lane, entry);
    }

    /// Whether requests wait that are served before a new one of this priority and
    /// class.
    #[must_use]
    pub fn has_ahead(&self, priority: u8, class: LengthClass) -> bool {
        self.lanes
            .keys()
            .any(|lane| lane.class == class && lane.priority <= priority && !lane.late)
    }

    /// Returns the next requests in order, at most `limit` of each class, as if each
    /// started.
    pub fn next_in_order(&mut self, now: Instant, limit: usize) -> Vec<EntryId> {
        self.move_late(now);
        let mut places: BTreeMap<LengthClass, usize> = BTreeMap::new();
        let mut order = Vec::new();
        let mut due = Vec::new();
        for (key, lane) in &mut self.lanes {
            let place = places.entry(key.class).or_insert(limit);
            let first = lane
                .entries
                .first_in_order((*place).max(1), &self.shares, |entry| entry.cost);
            let mut ids = first.into_iter().map(|(_, key)| key.id);
            if let Some(head) = lane.entries.head(&self.shares)
                && lane.credit >= as_credit(head.cost)
            {
                due.extend(ids.next());
            }
            let before = order.len();
            order.extend(ids.take(*place));
            *place -= order.len() - before;
        }
        due.extend(order);
        due
    }

    /// Removes and returns one request that can no longer be answered by its deadline.
    pub fn expire(&mut self, now: Instant) -> Option<(EntryId, LineEntry)> {
        let (deadline_start, id) = self.by_deadline_start.first().copied()?;
        if deadline_start >= now {
            return None;
        }
        Some((id, self.remove(now, id)?))
    }

    /// Removes and returns the request that would be served last: of the least urgent
    /// lane, the last one of the organisation with the highest counter. The owner calls
    /// this while the line exceeds its bounds.
    pub fn evict(&mut self, now: Instant) -> Option<(EntryId, LineEntry)> {
        let id = self.lanes.values().rev().find_map(|lane| {
            let organisations = self.shares.waiting_highest_first(PlanKind::Paying);
            let mut keys = organisations.filter_map(|index| lane.entries.last_key(index));
            keys.next().map(|key| key.id)
        })?;
        Some((id, self.remove(now, id)?))
    }

    /// Number of requests that are served before this one if none is short of its
    /// floor, or `None` if it doesn't wait here. Requests of other organisations in
    /// the same lane count as their fair share.
    #[must_use]
    pub fn place_of(&self, id: EntryId) -> Option<usize> {
        let location = self.locations.get(&id)?;
        let same_class = self.lanes.iter();
        let same_class = same_class.filter(|(lane, _)| lane.class == location.lane.class);
        let ahead = same_class.filter(|(lane, _)| **lane < location.lane);
        let ahead: usize = ahead.map(|(_, lane)| lane.entries.len()).sum();
        let own = self.lanes.get(&location.lane)?;
        let own = own
            .entries
            .place_of(location.organisation, location.key, &self.shares);
        Some(ahead + own)
    }

    /// Waiting requests of a class and their work.
    #[must_use]
    pub fn waiting_work(&self, class: LengthClass) -> WaitingWork {
        let lanes = self.lanes.iter().filter(|(lane, _)| lane.class == class);
        lanes.fold(WaitingWork::default(), |sum, (_, lane)| WaitingWork {
            count: sum.count + lane.entries.len(),
            engine_time: sum.engine_time + lane.engine_time,
        })
    }

    /// Engine time of the requests that are served before a new one: those of more
    /// urgent lanes of its class, and of its own lane the part that fair shares put
    /// ahead of it.
    #[must_use]
    pub fn work_ahead(&self, entry: &LineEntry) -> Duration {
        let mut ahead = Duration::ZERO;
        for (key, lane) in &self.lanes {
            if key.class != entry.class || key.late || key.priority > entry.priority {
                continue;
            }
            if key.priority < entry.priority {
                ahead += lane.engine_time;
                continue;
            }
            let fraction = self.shares.fraction_ahead(entry.organisation, entry.cost);
            ahead += lane.engine_time.mul_f64(fraction);
        }
        ahead
    }

    /// What is served before a new request, and the pace at which this line's requests of
    /// its class started lately.
    #[must_use]
    pub fn pace_ahead(&self, now: Instant, entry: &LineEntry) -> LinePace {
        LinePace {
            waiting: self.work_ahead(entry),
            started_a_second: self.started_a_second(now, entry.class),
        }
    }

    /// Engine time of the requests of a class that started from this line in a second,
    /// while requests waited; zero while there is too little to go by.
    #[must_use]
    pub fn started_a_second(&self, now: Instant, class: LengthClass) -> Duration {
        let drain = self.drains.get(&class);
        drain
            .and_then(|drain| drain.started_a_second(now))
            .unwrap_or_default()
    }

    fn insert(&mut self, id: EntryId, is_late: bool, entry: LineEntry) {
        let key = EntryKey {
            goal_start: entry.goal_start,
            id,
        };
        let lane_key = LaneKey {
            priority: entry.priority,
            late: is_late,
            class: entry.class,
        };
        let location = EntryLocation {
            lane: lane_key,
            organisation: entry.organisation,
            key,
        };
        self.locations.insert(id, location);
        let lane = self.lanes.entry(lane_key).or_default();
        lane.engine_time += entry.engine_time;
        lane.largest_cost = lane.largest_cost.max(entry.cost);
        lane.entries
            .push(entry.organisation, key, entry, &self.shares);
    }

    fn take_out(&mut self, id: EntryId) -> Option<(LaneKey, LineEntry)> {
        let location = self.locations.remove(&id)?;
        let lane = self.lanes.get_mut(&location.lane)?;
        let entry = lane.entries.remove(location.organisation, location.key)?;
        lane.engine_time = lane.engine_time.saturating_sub(entry.engine_time);
        if lane.entries.len() == 0 {
            self.lanes.remove(&location.lane);
        }
        self.by_goal_start.remove(&(location.key.goal_start, id));
        Some((location.lane, entry))
    }

    fn forget(&mut self, now: Instant, id: EntryId, entry: &LineEntry) {
        self.by_deadline_start.remove(&(entry.deadline_start, id));
        self.bytes = self.bytes.saturating_sub(entry.bytes);
        self.shares.count_dequeued(entry.organisation, entry.cost);
        if !self.lanes.keys().any(|lane| lane.class == entry.class)
            && let Some(drain) = self.drains.get_mut(&entry.class)
        {
            drain.record_empty(now);
        }
    }

    /// Charges the organisation, and credits the lanes that were passed over.
    fn charge(&mut self, started: LaneKey, entry: &LineEntry) {
        self.shares.charge(entry.organisation, entry.cost);
        for (key, lane) in &mut self.lanes {
            if *key == started {
                lane.credit = (lane.credit - as_credit(entry.cost)).max(0.0);
            } else {
                let earned = as_credit(entry.cost) * key.floor(started);
                let most = as_credit(lane.largest_cost) * CREDIT_MAX_COSTS;
                lane.credit = (lane.credit + earned).min(most);
            }
        }
    }

    /// Moves requests whose goal can no longer be met behind those that can.
    fn move_late(&mut self, now: Instant) {
        while let Some((goal_start, id)) = self.by_goal_start.first().copied()
            && goal_start < now
        {
            self.by_goal_start.pop_first();
            if let Some((_, entry)) = self.take_out(id) {
                self.insert(id, true, entry);
            }
        }
    }
}

#[allow(clippy::cast_precision_loss)]
fn as_credit(cost: TokenCount) -> f64 {
    cost as f64
}
