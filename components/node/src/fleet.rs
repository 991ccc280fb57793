//! The nodes that may own engines, as membership sees them now.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use membership::{OwnerCandidate, group_owner_of};
use types::{EngineId, NodeId, ZoneId};

/// The live nodes, this one among them.
#[derive(Debug)]
pub struct EngineOwnership {
    own: NodeId,
    leaving: AtomicBool,
    candidates: Mutex<Vec<OwnerCandidate>>,
    zone_engines: Mutex<BTreeMap<ZoneId, usize>>,
}

impl EngineOwnership {
    /// A view that holds this node alone.
    #[must_use]
    pub fn new(node: &NodeId, zone: &ZoneId) -> Arc<Self> {
        let candidate = OwnerCandidate {
            node: node.clone(),
            zone: zone.clone(),
        };
        Arc::new(Self {
            own: node.clone(),
            leaving: AtomicBool::new(false),
            candidates: Mutex::new(vec![candidate]),
            zone_engines: Mutex::default(),
        })
    }

    /// Replaces the live nodes.
    pub fn set_candidates(&self, candidates: Vec<OwnerCandidate>) {
        let mut known = self
            .candidates
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *known = candidates;
    }

    /// Takes the zones of all engines known, one entry an engine.
    pub fn set_engine_zones<'a>(&self, zones: impl Iterator<Item = &'a ZoneId>) {
        let mut counts = BTreeMap::new();
        for zone in zones {
            *counts.entry(zone.clone()).or_default() += 1;
        }
        let known = self.zone_engines.lock();
        *known.unwrap_or_else(PoisonError::into_inner) = counts;
    }

    /// From now on this node owns no engine.
    pub fn release_all(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether this node owns an engine.
    #[must_use]
    pub fn owns(&self, engine: &EngineId, zone: &ZoneId) -> bool {
        if self.leaving.load(Ordering::Relaxed) {
            return false;
        }
        let known = self
            .candidates
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        group_owner_of(engine, zone, self.engines_in(zone), &known)
            .is_some_and(|owner| owner == self.own)
    }

    fn engines_in(&self, zone: &ZoneId) -> usize {
        let known = self.zone_engines.lock();
        let known = known.unwrap_or_else(PoisonError::into_inner);
        known.get(zone).copied().unwrap_or(0)
    }
}
