//! The nodes that may own engines, as membership sees them now.

use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicBool, Ordering},
};

use membership::{OwnerCandidate, owner_of};
use types::{EngineId, NodeId, ZoneId};

/// The live nodes, this one among them.
#[derive(Debug)]
pub struct FleetView {
    own: NodeId,
    leaving: AtomicBool,
    candidates: Mutex<Vec<OwnerCandidate>>,
}

impl FleetView {
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
        })
    }

    /// Replaces the live nodes.
    pub fn set(&self, candidates: Vec<OwnerCandidate>) {
        let mut known = self
            .candidates
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *known = candidates;
    }

    /// From now on this node owns no engine.
    pub fn leave(&self) {
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
        owner_of(engine, zone, &known).is_some_and(|owner| owner == self.own)
    }
}
