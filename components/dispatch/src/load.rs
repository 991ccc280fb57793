//! Tracks the load of upstreams as far as this node knows it: exactly for its own
//! requests, and from the last report or notice for those of other nodes. The
//! upstreams of plain services are tracked, too; all are called engines here.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use types::{NodeId, TokenCount, UpstreamId};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    load_sums::LoadSumTable, prefill_queue::PrefillQueue, unreported::UnreportedEstimator,
};

/// Age above which a report or an aggregate is ignored.
const REPORT_LIFETIME: Duration = Duration::from_millis(1500);

/// Longest time for which a node that has just started assumes that others load the engines
/// as well. By then a relay has told it, or it is a relay and has heard several reports of
/// each node.
const ASSUMPTION_TIME: Duration = Duration::from_millis(1500);

/// Time until an engine starts to prefill a shard: the time of a new connection and
/// of a pass in progress that only prefills. On an engine that decodes answers,
/// `decode_delay` is added.
const PREFILL_START_DELAY: Duration = Duration::from_millis(15);

/// Hash of an engine's id, which identifies the engine in reports between nodes.
pub type EngineKey = u32;

/// Returns the key of the engine `id`.
#[must_use]
pub fn engine_key(id: &str) -> EngineKey {
    let [a, b, c, d, ..] = xxh3_64(id.as_bytes()).to_le_bytes();
    u32::from_le_bytes([a, b, c, d])
}

/// Identifies one request that this node has in flight at an upstream.
pub type InFlightId = u64;

/// Known load of one engine.
///
/// A request is strict when its event gap is at most the shortest one that any
/// route of its service sets, and relaxed otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Time until all queued shards are prefilled.
    pub prefill_wait: Duration,
    /// Prefill time of the queued shards, without the time spent waiting for a
    /// pass.
    pub prefill_work: Duration,
    /// Number of strict requests that the engine answers.
    pub strict: u32,
    /// Number of relaxed requests that the engine answers.
    pub relaxed: u32,
    /// Shortest event gap that callers of the relaxed requests accept; `None`
    /// without such requests.
    pub relaxed_event_gap: Option<Duration>,
    /// KV cache memory that requests take, including those that other engines
    /// answer, in tokens.
    pub memory: TokenCount,
    /// Number of relaxed requests whose answer this engine has not begun. With
    /// such requests it gets no shards of other prompts, because it would prefill
    /// them before its own prompts.
    pub unanswered: u32,
}

impl EngineLoad {
    /// Number of requests that occupy a slot.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.strict + self.relaxed
    }
}

/// Requests that one node, or several together, have in flight at one engine, as
/// reported to other nodes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ReportedLoad {
    /// Engine at which the requests are in flight.
    pub engine: EngineKey,
    /// Number of strict requests.
    pub strict: u32,
    /// Number of relaxed requests.
    pub relaxed: u32,
    /// Shortest event gap that callers of the relaxed requests accept; `None`
    /// without such requests.
    pub relaxed_event_gap: Option<Duration>,
    /// Number of relaxed requests whose answer has not begun.
    pub unanswered: u32,
    /// KV cache memory of these requests, in tokens.
    pub memory: TokenCount,
}

impl ReportedLoad {
    fn add(&mut self, other: &Self) {
        self.strict += other.strict;
        self.relaxed += other.relaxed;
        self.relaxed_event_gap = min_gap(self.relaxed_event_gap, other.relaxed_event_gap);
        self.unanswered += other.unanswered;
        self.memory += other.memory;
    }
}

/// Announces to other nodes that engines start to prefill a prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PrefillNotice {
    /// Engines that prefill one shard each; the first one decodes the answer.
    pub engines: Vec<UpstreamId>,
    /// Time that an engine takes to prefill its shard.
    pub shard_time: Duration,
    /// Additional time for a shard on an engine that decodes answers, estimated
    /// for half of the slots in use and empty contexts.
    pub decode_delay: Duration,
    /// KV cache memory that the request takes at the first engine, in tokens.
    pub memory: TokenCount,
    /// Longest event gap that the caller accepts.
    pub event_gap: Duration,
}

/// KV cache memory that a request takes at one engine.
#[derive(Clone, Debug)]
pub struct MemoryShare {
    /// Engine that holds the memory.
    pub engine: UpstreamId,
    /// KV cache memory that the request takes at the engine, in tokens.
    pub memory: TokenCount,
}

/// A request that this node sends to an upstream.
#[derive(Clone, Debug)]
pub struct InFlightRequest {
    /// Memory at the upstream that answers, then at the other engines that hold a
    /// part of the KV cache.
    pub memory_shares: Vec<MemoryShare>,
    /// Whether the request is strict; see [`EngineLoad`].
    pub strict: bool,
    /// Longest event gap that the caller accepts.
    pub event_gap: Duration,
}

/// Tracks the load that this node and all others put on engines.
#[derive(Debug, Default)]
pub struct LoadTracker {
    requests: HashMap<InFlightId, TrackedRequest>,
    last_id: InFlightId,
    unreported_estimator: UnreportedEstimator,
    own_loads: HashMap<UpstreamId, EngineLoad>,
    /// Event gaps of this node's relaxed requests at each engine, with the number
    /// of requests that have each gap.
    relaxed_gaps: HashMap<UpstreamId, BTreeMap<Duration, u32>>,
    prefill_queues: HashMap<UpstreamId, PrefillQueue>,
    /// Reports of other nodes; complete only at relays.
    peer_snapshots: HashMap<NodeId, LoadSnapshot>,
    /// Sums of `peer_snapshots`.
    peer_sums: LoadSumTable,
    /// When the newest of `peer_snapshots` was received.
    last_report_at: Option<Instant>,
    /// Aggregate of all other nodes' loads, received from a relay.
    aggregate: Option<LoadSnapshot>,
    /// Chunks of a newer aggregate that have arrived so far.
    partial_aggregate: PartialAggregate,
    /// Until when this node assumes a load of others that it has not been told.
    assumes_until: Option<Instant>,
    /// Whether it joins a fleet that has been running.
    joins_fleet: bool,
}

/// Part of the aggregate of all other nodes' loads, as large as a datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AggregateChunk {
    /// Number of the aggregate that the chunk belongs to; later ones are higher.
    pub aggregate: u64,
    /// Position of the chunk in the aggregate, from 0.
    pub index: u16,
    /// Number of chunks of the aggregate.
    pub count: u16,
    /// Loads of the engines in this chunk.
    pub loads: Vec<ReportedLoad>,
}

/// Chunks of one aggregate, in whatever order they arrive.
#[derive(Debug, Default)]
struct PartialAggregate {
    aggregate: u64,
    chunks: BTreeMap<u16, Vec<ReportedLoad>>,
}

impl PartialAggregate {
    /// Adds a chunk; returns the whole aggregate with the last one that was missing.
    fn add(&mut self, chunk: AggregateChunk) -> Option<Vec<ReportedLoad>> {
        if chunk.aggregate != self.aggregate {
            *self = Self {
                aggregate: chunk.aggregate,
                chunks: BTreeMap::new(),
            };
        }
        self.chunks.insert(chunk.index, chunk.loads);
        if self.chunks.len() < usize::from(chunk.count) {
            return None;
        }
        let chunks = std::mem::take(&mut self.chunks);
        Some(chunks.into_values().flatten().collect())
    }
}

#[derive(Debug)]
struct TrackedRequest {
    request: InFlightRequest,
    /// Whether the request no longer counts as unanswered; stays `false` for
    /// strict requests, which never count as unanswered here.
    answer_recorded: bool,
}

#[derive(Debug)]
struct LoadSnapshot {
    received_at: Instant,
    loads: HashMap<EngineKey, ReportedLoad>,
}

impl LoadSnapshot {
    fn new(received_at: Instant, loads: Vec<ReportedLoad>) -> Self {
        let loads = loads.into_iter().map(|load| (load.engine, load));
        Self {
            received_at,
            loads: loads.collect(),
        }
    }

    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) <= REPORT_LIFETIME
    }

    /// Adds a prompt announced after the snapshot. Counts it as relaxed and
    /// unanswered even when it is strict, since the notice does not tell.
    fn add_prompt(&mut self, engine: EngineKey, notice: &PrefillNotice) {
        let load = self.loads.entry(engine).or_insert_with(|| ReportedLoad {
            engine,
            ..ReportedLoad::default()
        });
        load.relaxed += 1;
        load.relaxed_event_gap = min_gap(load.relaxed_event_gap, Some(notice.event_gap));
        load.unanswered += 1;
        load.memory += notice.memory;
    }
}

impl LoadTracker {
    /// Creates the tracker of a node that starts, and that others may have started with.
    /// Until it is told the sums of the others' loads, it assumes some.
    #[must_use]
    pub fn starting(now: Instant) -> Self {
        Self {
            assumes_until: Some(now + ASSUMPTION_TIME),
            ..Self::default()
        }
    }

    /// Records that the fleet has been running for longer than this node, so that its first
    /// sums are complete.
    pub fn record_running_fleet(&mut self) {
        self.joins_fleet = true;
    }

    /// Whether this node doesn't know yet what other nodes put on the engines, although there
    /// may be such nodes. In a fleet that starts as a whole the first sums tell little, and
    /// the callers of the outage come back together in the first second.
    #[must_use]
    pub fn assumes_others(&self, now: Instant) -> bool {
        let is_told = self.joins_fleet && self.aggregate.is_some();
        !is_told && self.assumes_until.is_some_and(|until| now < until)
    }

    /// Records a request that is sent to its upstream; returns its id.
    pub fn record_start(&mut self, request: InFlightRequest) -> InFlightId {
        for (index, share) in request.memory_shares.iter().enumerate() {
            let load = self.own_loads.entry(share.engine.clone()).or_default();
            load.memory += share.memory;
            if index == 0 && request.strict {
                load.strict += 1;
            } else if index == 0 {
                load.relaxed += 1;
                load.unanswered += 1;
                let gaps = self.relaxed_gaps.entry(share.engine.clone()).or_default();
                *gaps.entry(request.event_gap).or_default() += 1;
                load.relaxed_event_gap = gaps.keys().next().copied();
            }
        }
        self.last_id += 1;
        let tracked = TrackedRequest {
            request,
            answer_recorded: false,
        };
        self.requests.insert(self.last_id, tracked);
        self.last_id
    }

    /// Samples how many strict requests this node has in flight; called at
    /// regular intervals.
    pub fn sample_strict_requests(&mut self, now: Instant) {
        let strict_requests = self.own_strict_count();
        self.unreported_estimator
            .record_sample(now, strict_requests);
    }

    /// Estimates how many strict requests the other nodes, `others` in number, have
    /// added since their last reports, if each adds them as fast as this one.
    #[must_use]
    pub fn estimate_unreported(&self, now: Instant, others: usize) -> u32 {
        self.unreported_estimator
            .estimate_unreported(now, self.own_strict_count(), others)
    }

    /// Number of this node's requests in flight that an engine answers.
    #[must_use]
    pub fn own_requests(&self, engine: &str) -> u32 {
        self.own_loads.get(engine).map_or(0, EngineLoad::running)
    }

    fn own_strict_count(&self) -> u32 {
        self.own_loads.values().map(|load| load.strict).sum()
    }

    /// Records that a request's answer has begun.
    pub fn record_first_event(&mut self, id: InFlightId) {
        let Some(tracked) = self.requests.get_mut(&id) else {
            return;
        };
        if tracked.answer_recorded || tracked.request.strict {
            return;
        }
        tracked.answer_recorded = true;
        let primary = tracked.request.memory_shares.first();
        if let Some(load) = primary.and_then(|share| self.own_loads.get_mut(&share.engine)) {
            load.unanswered = load.unanswered.saturating_sub(1);
        }
    }

    /// Records the end of a request, successful or not.
    pub fn record_end(&mut self, id: InFlightId) {
        // A request that ends without an answer no longer counts as unanswered.
        self.record_first_event(id);
        let Some(TrackedRequest { request, .. }) = self.requests.remove(&id) else {
            return;
        };
        for (index, share) in request.memory_shares.iter().enumerate() {
            let Some(load) = self.own_loads.get_mut(&share.engine) else {
                continue;
            };
            load.memory = load.memory.saturating_sub(share.memory);
            if index == 0 && request.strict {
                load.strict = load.strict.saturating_sub(1);
            } else if index == 0 {
                load.relaxed = load.relaxed.saturating_sub(1);
                load.relaxed_event_gap =
                    remove_gap(&mut self.relaxed_gaps, share, request.event_gap);
            }
            if *load == EngineLoad::default() {
                self.own_loads.remove(&share.engine);
            }
        }
    }

    /// Records a prompt of this or another node that engines start to prefill.
    pub fn record_prefill(&mut self, now: Instant, notice: &PrefillNotice) {
        for engine in &notice.engines {
            let decodes = self.engine_load(now, engine).running() > 0;
            let decode_delay = if decodes {
                notice.decode_delay
            } else {
                Duration::ZERO
            };
            let queue = self.prefill_queues.entry(engine.clone()).or_default();
            queue.push_shard(
                now,
                now + PREFILL_START_DELAY + decode_delay,
                notice.shard_time,
            );
        }
    }

    /// Records a prompt that another node announces. It counts in the load until
    /// the node's next report, or the next aggregate, replaces the snapshot to which
    /// it is added, or until that snapshot is older than `REPORT_LIFETIME`.
    pub fn record_peer_prefill(&mut self, now: Instant, node: &str, notice: &PrefillNotice) {
        self.record_prefill(now, notice);
        let Some(primary) = notice.engines.first() else {
            return;
        };
        let engine = engine_key(primary);
        let snapshot = self
            .peer_snapshots
            .entry(node.to_owned())
            .or_insert_with(|| {
                self.last_report_at = Some(now);
                LoadSnapshot::new(now, Vec::new())
            });
        if let Some(load) = snapshot.loads.get(&engine) {
            self.peer_sums.subtract(load);
        }
        snapshot.add_prompt(engine, notice);
        if let Some(load) = snapshot.loads.get(&engine) {
            self.peer_sums.add(load);
        }
        if let Some(aggregate) = &mut self.aggregate {
            aggregate.add_prompt(engine, notice);
        }
    }

    /// Stores another node's report of its own requests.
    pub fn record_peer_report(&mut self, now: Instant, node: &str, loads: Vec<ReportedLoad>) {
        self.remove_peer(node);
        let snapshot = LoadSnapshot::new(now, loads);
        for load in snapshot.loads.values() {
            self.peer_sums.add(load);
        }
        self.peer_snapshots.insert(node.to_owned(), snapshot);
        self.last_report_at = Some(now);
    }

    /// Removes the reports that are too old to count; called at regular intervals.
    pub fn remove_expired_reports(&mut self, now: Instant) {
        let snapshots = self.peer_snapshots.iter();
        let expired: Vec<NodeId> = snapshots
            .filter(|(_, snapshot)| !snapshot.is_fresh(now))
            .map(|(node, _)| node.clone())
            .collect();
        for node in expired {
            self.remove_peer(&node);
        }
    }

    /// Stores one chunk of the aggregate of all other nodes. The aggregate counts only
    /// once all its chunks have arrived, because an engine listed in a missing chunk
    /// would seem idle.
    pub fn record_aggregate(&mut self, now: Instant, chunk: AggregateChunk) {
        if let Some(loads) = self.partial_aggregate.add(chunk) {
            self.aggregate = Some(LoadSnapshot::new(now, loads));
        }
    }

    /// Removes the report of another node.
    pub fn remove_peer(&mut self, node: &str) {
        if let Some(snapshot) = self.peer_snapshots.remove(node) {
            for load in snapshot.loads.values() {
                self.peer_sums.subtract(load);
            }
        }
    }

    /// Aggregates the loads of this node and of all nodes that report to it,
    /// without `node`.
    #[must_use]
    pub fn aggregate_excluding(&mut self, now: Instant, node: &str) -> Vec<ReportedLoad> {
        self.remove_expired_reports(now);
        let excluded = self
            .peer_snapshots
            .get(node)
            .map(|snapshot| &snapshot.loads);
        let others = self.peer_sums.excluding(excluded);
        let mut sums: HashMap<EngineKey, ReportedLoad> =
            others.map(|load| (load.engine, load)).collect();
        for own in self.own_report() {
            match sums.get_mut(&own.engine) {
                Some(sum) => sum.add(&own),
                None => {
                    sums.insert(own.engine, own);
                }
            }
        }
        sums.into_values().collect()
    }

    /// Removes the prefill queue of an engine that is gone.
    pub fn remove_prefill_queue(&mut self, engine: &str) {
        self.prefill_queues.remove(engine);
    }

    /// Known load of `engine` from all nodes. Uses the reports received directly
    /// when there is no recent aggregate.
    #[must_use]
    pub fn engine_load(&self, now: Instant, engine: &str) -> EngineLoad {
        let mut load = self.own_loads.get(engine).copied().unwrap_or_default();
        if let Some(queue) = self.prefill_queues.get(engine) {
            let finishes_at = queue.finishes_at().unwrap_or(now);
            load.prefill_wait = finishes_at.saturating_duration_since(now);
            load.prefill_work = queue.remaining_work(now);
        }
        let key = engine_key(engine);
        match &self.aggregate {
            Some(aggregate) if aggregate.is_fresh(now) => {
                if let Some(other) = aggregate.loads.get(&key) {
                    load.add(other);
                }
            }
            _ if self.hears_reports(now) => load.add(&self.peer_sums.get(key)),
            _ => {}
        }
        load
    }

    /// Age of the newest report that the known load of other nodes comes from; `None`
    /// before the first one.
    #[must_use]
    pub fn known_age(&self, now: Instant) -> Option<Duration> {
        let aggregate = self.aggregate.as_ref().map(|sums| sums.received_at);
        let newest = aggregate.max(self.last_report_at)?;
        Some(now.saturating_duration_since(newest))
    }

    /// Whether any report still counts. Older ones among them are removed at intervals.
    fn hears_reports(&self, now: Instant) -> bool {
        self.last_report_at
            .is_some_and(|at| now.saturating_duration_since(at) <= REPORT_LIFETIME)
    }

    /// This node's own load at each engine, for its report to other nodes.
    #[must_use]
    pub fn own_report(&self) -> Vec<ReportedLoad> {
        self.own_loads
            .iter()
            .map(|(engine, load)| to_reported_load(engine_key(engine), load))
            .collect()
    }
}

fn to_reported_load(engine: EngineKey, load: &EngineLoad) -> ReportedLoad {
    ReportedLoad {
        engine,
        strict: load.strict,
        relaxed: load.relaxed,
        relaxed_event_gap: load.relaxed_event_gap,
        unanswered: load.unanswered,
        memory: load.memory,
    }
}

fn min_gap(one: Option<Duration>, other: Option<Duration>) -> Option<Duration> {
    one.into_iter().chain(other).min()
}

/// Removes one request's event gap; returns the shortest of those left.
fn remove_gap(
    gaps_by_engine: &mut HashMap<UpstreamId, BTreeMap<Duration, u32>>,
    share: &MemoryShare,
    gap: Duration,
) -> Option<Duration> {
    let gaps = gaps_by_engine.get_mut(&share.engine)?;
    if let Some(count) = gaps.get_mut(&gap) {
        *count -= 1;
        if *count == 0 {
            gaps.remove(&gap);
        }
    }
    let shortest_gap = gaps.keys().next().copied();
    if shortest_gap.is_none() {
        gaps_by_engine.remove(&share.engine);
    }
    shortest_gap
}
