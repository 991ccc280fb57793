//! The simulated fleet: zones, nodes, engines and which node owns each engine.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use membership::{OwnerCandidate, group_owner_of};
use model::{EngineModel, SequenceId, engine_profile};
use types::{EngineId, EngineReport, EngineRole, ModelSpec, NodeId, ZoneId};

/// Name of the model that every simulated engine serves.
pub(crate) const MODEL: &str = "alder-70b";
/// Version of that model.
pub(crate) const VERSION: &str = "1";
/// Network delay of one hop between two processes.
pub(crate) const HOP_DELAY: Duration = Duration::from_millis(1);

/// Size of a fleet and how late its nodes receive reports.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetShape {
    /// Availability zones.
    pub zones: Vec<ZoneId>,
    /// Number of model engines, assigned to zones in turn.
    pub engines: usize,
    /// Number of nodes, assigned to zones in turn.
    pub nodes: usize,
    /// Time between two reports of one engine.
    pub report_period: Duration,
    /// Age of a report when it reaches a node.
    pub report_lag: Duration,
    /// Time between two summaries of one node.
    pub summary_period: Duration,
    /// Age of a summary when it reaches another node.
    pub summary_lag: Duration,
    /// Time between two reads of one engine's cache events.
    pub cache_period: Duration,
    /// Age of cache events when they reach a node.
    pub cache_lag: Duration,
    /// Share of cache reads that lose some events, 0 to 1.
    pub cache_gaps: f64,
}

impl FleetShape {
    /// Creates a fleet with default periods and lags.
    #[must_use]
    pub fn new(zones: &[&str], engines: usize, nodes: usize) -> Self {
        Self {
            zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
            engines,
            nodes,
            report_period: Duration::from_millis(250),
            report_lag: Duration::from_millis(100),
            summary_period: Duration::from_secs(1),
            summary_lag: Duration::from_millis(100),
            cache_period: Duration::from_millis(500),
            cache_lag: Duration::from_millis(500),
            cache_gaps: 0.05,
        }
    }

    /// Zone of an engine or node, by its index.
    #[must_use]
    pub fn zone_of(&self, index: usize) -> ZoneId {
        self.zones[index % self.zones.len()].clone()
    }

    pub(crate) fn node_id(index: usize) -> NodeId {
        format!("node-{:03}", index + 1)
    }

    pub(crate) fn engine_id(index: usize) -> EngineId {
        format!("engine-{:03}", index + 1)
    }

    /// Indices of the nodes in a zone; all nodes when it has none.
    pub(crate) fn nodes_in(&self, zone: &ZoneId) -> Vec<usize> {
        let all = 0..self.nodes;
        let local: Vec<usize> = all
            .clone()
            .filter(|node| self.zone_of(*node) == *zone)
            .collect();
        if local.is_empty() {
            return all.collect();
        }
        local
    }

    /// The owner node of each engine, as indices.
    pub(crate) fn owners(&self) -> Vec<usize> {
        let candidates: Vec<OwnerCandidate> = (0..self.nodes)
            .map(|node| OwnerCandidate {
                node: Self::node_id(node),
                zone: self.zone_of(node),
            })
            .collect();
        let index = |owner: &NodeId| {
            candidates
                .iter()
                .position(|candidate| candidate.node == *owner)
        };
        (0..self.engines)
            .map(|engine| {
                let id = Self::engine_id(engine);
                let zone = self.zone_of(engine);
                let zone_engines = (0..self.engines)
                    .filter(|other| self.zone_of(*other) == zone)
                    .count();
                let owner = group_owner_of(&id, &zone, zone_engines, &candidates);
                owner.as_ref().and_then(index).unwrap_or(0)
            })
            .collect()
    }
}

/// A simulated engine with the bookkeeping of the bench.
#[derive(Debug)]
pub(crate) struct EngineHost {
    pub(crate) id: EngineId,
    pub(crate) model: EngineModel,
    /// Index of the node that owns it.
    pub(crate) owner: usize,
    pub(crate) alive: bool,
    /// Attempts in flight, by their sequence on this engine.
    pub(crate) sequences: HashMap<SequenceId, usize>,
    /// Time of the next scheduled wake-up.
    pub(crate) wake_at: Option<Instant>,
    /// Position in the cache log to read from next.
    pub(crate) cache_position: u64,
}

impl EngineHost {
    pub(crate) fn create_all(shape: &FleetShape) -> Vec<Self> {
        let owners = shape.owners();
        owners
            .into_iter()
            .enumerate()
            .map(|(index, owner)| Self::new(shape, index, owner))
            .collect()
    }

    fn new(shape: &FleetShape, index: usize, owner: usize) -> Self {
        let id = FleetShape::engine_id(index);
        let profile = engine_profile(id.clone(), shape.zone_of(index));
        let loaded = ModelSpec {
            model: MODEL.to_owned(),
            version: VERSION.to_owned(),
            adapters: Vec::new(),
        };
        Self {
            id,
            model: EngineModel::new(profile, vec![loaded]),
            owner,
            alive: true,
            sequences: HashMap::new(),
            wake_at: None,
            cache_position: 0,
        }
    }

    pub(crate) fn set_role(&mut self, role: EngineRole) {
        self.model.set_role(role);
    }

    pub(crate) fn report(&mut self, now: Instant, lag: Duration) -> EngineReport {
        EngineReport {
            age: lag,
            ..self.model.report(now)
        }
    }
}
