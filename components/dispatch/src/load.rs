//! What engines have to do, as far as this node knows: its own requests
//! exactly, those of other nodes from their last notice.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use types::{NodeId, TokenCount, UpstreamId};
use xxhash_rust::xxh3::xxh3_64;

use crate::{growth::StrictGrowth, reading::PrefillQueue};

/// Age at which another node's report counts no more.
const REPORT_LIFETIME: Duration = Duration::from_millis(1500);

/// Time until an engine starts to read a part: a new connection and a step
/// that is under way.
const PREFILL_START_DELAY: Duration = Duration::from_millis(15);

/// Short name of an engine between nodes: a hash of its id.
pub type EngineKey = u32;

/// The short name of the engine `id`.
#[must_use]
pub fn engine_key(id: &str) -> EngineKey {
    let [a, b, c, d, ..] = xxh3_64(id.as_bytes()).to_le_bytes();
    u32::from_le_bytes([a, b, c, d])
}

/// Names one request that this node has at an upstream.
pub type InFlightId = u64;

/// Work of one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Time until all prompts and parts are read.
    pub prefill_wait: Duration,
    /// Time that reading them takes of passes, without the wait for a pass.
    pub prefill_work: Duration,
    /// Requests whose callers accept only short pauses.
    pub strict: u32,
    /// Other requests.
    pub relaxed: u32,
    /// Shortest pause that the callers of the other requests accept.
    pub relaxed_event_gap: Option<Duration>,
    /// Memory of running requests, in tokens.
    pub memory: TokenCount,
    /// Long prompts that this engine answers and has not begun to answer:
    /// parts that it reads for others would go first.
    pub unanswered: u32,
}

impl EngineLoad {
    /// Requests that take a place.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.strict + self.relaxed
    }

    fn add(&mut self, other: &PeerLoad) {
        self.strict += other.strict;
        self.relaxed += other.relaxed;
        self.relaxed_event_gap = min_gap(self.relaxed_event_gap, other.relaxed_event_gap);
        self.unanswered += other.unanswered;
        self.memory += other.memory;
    }
}

/// Requests of a node, or of several, at one engine, as other nodes are told.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PeerLoad {
    /// The engine.
    pub engine: EngineKey,
    /// Requests whose callers accept only short pauses.
    pub strict: u32,
    /// Other requests.
    pub relaxed: u32,
    /// Shortest pause that the callers of the other requests accept.
    pub relaxed_event_gap: Option<Duration>,
    /// Those of the other requests whose answer has not begun.
    pub unanswered: u32,
    /// Memory of these requests, in tokens.
    pub memory: TokenCount,
}

/// A prompt that starts to be read, as other nodes are told.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PrefillNotice {
    /// Engines that read a part each; the first one writes the answer.
    pub engines: Vec<UpstreamId>,
    /// Time of a part.
    pub shard_time: Duration,
    /// Time that a part takes longer where answers are written.
    pub decode_delay: Duration,
    /// Memory that the request takes at the first engine, in tokens.
    pub memory: TokenCount,
    /// Longest pause that its caller accepts.
    pub event_gap: Duration,
}

/// A request's work at one engine.
#[derive(Clone, Debug)]
pub struct MemoryShare {
    /// The engine.
    pub engine: UpstreamId,
    /// Memory that the request takes there, in tokens.
    pub memory: TokenCount,
}

/// A request at an upstream.
#[derive(Clone, Debug)]
pub struct InFlightRequest {
    /// The upstream that answers, then those that hold memory for it.
    pub memory_shares: Vec<MemoryShare>,
    /// Whether the caller accepts only short pauses.
    pub strict: bool,
    /// Longest pause that the caller accepts.
    pub event_gap: Duration,
}

/// Own and others' work at all engines.
#[derive(Debug, Default)]
pub struct LoadTracker {
    requests: HashMap<InFlightId, TrackedRequest>,
    last_id: InFlightId,
    strict_growth: StrictGrowth,
    own: HashMap<UpstreamId, EngineLoad>,
    /// Pauses of this node's loose requests at each engine, with their number.
    relaxed_gaps: HashMap<UpstreamId, BTreeMap<Duration, u32>>,
    prefill_queues: HashMap<UpstreamId, PrefillQueue>,
    /// Reports of other nodes, at the nodes that gather them.
    peer_snapshots: HashMap<NodeId, LoadSnapshot>,
    /// Sums of all other nodes, as a relay told.
    aggregate: Option<LoadSnapshot>,
    /// The parts of newer sums that are here.
    partial_aggregate: Option<Vec<PeerLoad>>,
}

#[derive(Debug)]
struct TrackedRequest {
    request: InFlightRequest,
    answering: bool,
}

#[derive(Debug)]
struct LoadSnapshot {
    received_at: Instant,
    loads: HashMap<EngineKey, PeerLoad>,
}

impl LoadSnapshot {
    fn new(received_at: Instant, loads: Vec<PeerLoad>) -> Self {
        let loads = loads.into_iter().map(|load| (load.engine, load));
        Self {
            received_at,
            loads: loads.collect(),
        }
    }

    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) <= REPORT_LIFETIME
    }

    /// Adds a prompt that is not in the report yet.
    fn add_prompt(&mut self, engine: EngineKey, notice: &PrefillNotice) {
        let load = self.loads.entry(engine).or_insert_with(|| PeerLoad {
            engine,
            ..PeerLoad::default()
        });
        load.relaxed += 1;
        load.relaxed_event_gap = min_gap(load.relaxed_event_gap, Some(notice.event_gap));
        load.unanswered += 1;
        load.memory += notice.memory;
    }
}

impl LoadTracker {
    /// Notes a request that goes to its upstream.
    pub fn record_start(&mut self, request: InFlightRequest) -> InFlightId {
        for (index, share) in request.memory_shares.iter().enumerate() {
            let load = self.own.entry(share.engine.clone()).or_default();
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
            answering: false,
        };
        self.requests.insert(self.last_id, tracked);
        self.last_id
    }

    /// Notes how many short prompts this node has at engines; called at regular
    /// times.
    pub fn sample_strict_requests(&mut self, now: Instant) {
        let strict_requests = self.own_strict_count();
        self.strict_growth.record_sample(now, strict_requests);
    }

    /// Short prompts by which `others` other nodes have probably grown since
    /// their last report, if each grows as this one does.
    #[must_use]
    pub fn estimate_unreported(&self, now: Instant, others: usize) -> u32 {
        self.strict_growth
            .estimate_unreported(now, self.own_strict_count(), others)
    }

    fn own_strict_count(&self) -> u32 {
        self.own.values().map(|load| load.strict).sum()
    }

    /// Notes the first part of a request's answer.
    pub fn record_first_event(&mut self, id: InFlightId) {
        let Some(tracked) = self.requests.get_mut(&id) else {
            return;
        };
        if tracked.answering || tracked.request.strict {
            return;
        }
        tracked.answering = true;
        let primary = tracked.request.memory_shares.first();
        if let Some(load) = primary.and_then(|share| self.own.get_mut(&share.engine)) {
            load.unanswered = load.unanswered.saturating_sub(1);
        }
    }

    /// Notes the end of a request, however it ended.
    pub fn record_end(&mut self, id: InFlightId) {
        self.record_first_event(id);
        let Some(TrackedRequest { request, .. }) = self.requests.remove(&id) else {
            return;
        };
        for (index, share) in request.memory_shares.iter().enumerate() {
            let Some(load) = self.own.get_mut(&share.engine) else {
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
                self.own.remove(&share.engine);
            }
        }
    }

    /// Notes prompts that engines start to read, of this or another node.
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

    /// Notes a long prompt of another node, until the next report has it.
    pub fn record_peer_prefill(&mut self, now: Instant, node: &str, notice: &PrefillNotice) {
        self.record_prefill(now, notice);
        let Some(first) = notice.engines.first() else {
            return;
        };
        let engine = engine_key(first);
        self.peer_snapshots
            .entry(node.to_owned())
            .or_insert_with(|| LoadSnapshot::new(now, Vec::new()))
            .add_prompt(engine, notice);
        if let Some(others) = &mut self.aggregate {
            others.add_prompt(engine, notice);
        }
    }

    /// Takes over another node's report of its own requests.
    pub fn record_peer_report(&mut self, now: Instant, node: &str, loads: Vec<PeerLoad>) {
        self.peer_snapshots
            .insert(node.to_owned(), LoadSnapshot::new(now, loads));
    }

    /// Takes over a part of the sums of all other nodes. They count once the
    /// last part is here: an engine of a missing one would seem idle.
    pub fn record_aggregate(
        &mut self,
        now: Instant,
        continues: bool,
        more: bool,
        loads: Vec<PeerLoad>,
    ) {
        if !continues {
            self.partial_aggregate = Some(Vec::new());
        }
        let Some(mut partial) = self.partial_aggregate.take() else {
            return;
        };
        partial.extend(loads);
        if more {
            self.partial_aggregate = Some(partial);
        } else {
            self.aggregate = Some(LoadSnapshot::new(now, partial));
        }
    }

    /// Forgets another node.
    pub fn remove_peer(&mut self, node: &str) {
        self.peer_snapshots.remove(node);
    }

    /// The sums of all nodes but `node`, as far as they report here.
    #[must_use]
    pub fn aggregate_excluding(&self, now: Instant, node: &str) -> Vec<PeerLoad> {
        let mut sums: HashMap<EngineKey, EngineLoad> = HashMap::new();
        for load in self.own_loads() {
            sums.entry(load.engine).or_default().add(&load);
        }
        let others = self.peer_snapshots.iter().filter(|(name, _)| *name != node);
        let fresh = others.filter(|(_, report)| report.is_fresh(now));
        for load in fresh.flat_map(|(_, report)| report.loads.values()) {
            sums.entry(load.engine).or_default().add(load);
        }
        sums.into_iter()
            .map(|(engine, load)| to_peer_load(engine, &load))
            .collect()
    }

    /// Forgets an engine that is gone.
    pub fn remove_engine(&mut self, engine: &str) {
        self.prefill_queues.remove(engine);
    }

    /// All known work of `engine`.
    #[must_use]
    pub fn engine_load(&self, now: Instant, engine: &str) -> EngineLoad {
        let mut load = self.own.get(engine).copied().unwrap_or_default();
        if let Some(queue) = self.prefill_queues.get(engine) {
            let until = queue.finishes_at().unwrap_or(now);
            load.prefill_wait = until.saturating_duration_since(now);
            load.prefill_work = queue.remaining_work(now);
        }
        let key = engine_key(engine);
        match &self.aggregate {
            Some(others) if others.is_fresh(now) => {
                if let Some(other) = others.loads.get(&key) {
                    load.add(other);
                }
            }
            _ => {
                let fresh = self
                    .peer_snapshots
                    .values()
                    .filter(|report| report.is_fresh(now));
                for other in fresh.filter_map(|report| report.loads.get(&key)) {
                    load.add(other);
                }
            }
        }
        load
    }

    /// What other nodes are told of this node's requests.
    #[must_use]
    pub fn own_loads(&self) -> Vec<PeerLoad> {
        self.own
            .iter()
            .map(|(engine, load)| to_peer_load(engine_key(engine), load))
            .collect()
    }
}

fn to_peer_load(engine: EngineKey, load: &EngineLoad) -> PeerLoad {
    PeerLoad {
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

/// Removes one request's pause; returns the shortest of those left.
fn remove_gap(
    all: &mut HashMap<UpstreamId, BTreeMap<Duration, u32>>,
    share: &MemoryShare,
    gap: Duration,
) -> Option<Duration> {
    let gaps = all.get_mut(&share.engine)?;
    if let Some(count) = gaps.get_mut(&gap) {
        *count -= 1;
        if *count == 0 {
            gaps.remove(&gap);
        }
    }
    let left = gaps.keys().next().copied();
    if left.is_none() {
        all.remove(&share.engine);
    }
    left
}
