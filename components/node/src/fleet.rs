//! Decides which engines this node owns, by the live members and the number of
//! engines in each zone.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use membership::{OwnerCandidate, group_owner_of};
use smol::channel::{Receiver, Sender, bounded};
use types::{EngineId, NodeId, ZoneId};

/// Live nodes that may own engines, and the engines this node owns.
#[derive(Debug)]
pub struct EngineOwnership {
    own: NodeId,
    leaving: AtomicBool,
    candidates: Mutex<Vec<OwnerCandidate>>,
    zone_engines: Mutex<BTreeMap<ZoneId, usize>>,
    change_sender: Sender<()>,
    change_receiver: Receiver<()>,
}

impl EngineOwnership {
    /// Creates an instance whose only candidate is this node.
    #[must_use]
    pub fn new(node: &NodeId, zone: &ZoneId) -> Arc<Self> {
        let candidate = OwnerCandidate {
            node: node.clone(),
            zone: zone.clone(),
        };
        let (change_sender, change_receiver) = bounded(1);
        Arc::new(Self {
            own: node.clone(),
            leaving: AtomicBool::new(false),
            candidates: Mutex::new(vec![candidate]),
            zone_engines: Mutex::default(),
            change_sender,
            change_receiver,
        })
    }

    /// Receives a wake-up after the candidates changed. All receivers share one
    /// channel, so each wake-up reaches only one of them.
    #[must_use]
    pub fn changes(&self) -> Receiver<()> {
        self.change_receiver.clone()
    }

    /// Replaces the candidates by the live nodes that membership reports.
    pub fn set_candidates(&self, candidates: Vec<OwnerCandidate>) {
        let mut known = self
            .candidates
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if *known != candidates {
            *known = candidates;
            self.change_sender.try_send(()).ok();
        }
    }

    /// Sets the number of engines in each zone; `zones` yields one item per
    /// known engine.
    pub fn set_engine_zones<'a>(&self, zones: impl Iterator<Item = &'a ZoneId>) {
        let mut counts = BTreeMap::new();
        for zone in zones {
            *counts.entry(zone.clone()).or_default() += 1;
        }
        let known = self.zone_engines.lock();
        *known.unwrap_or_else(PoisonError::into_inner) = counts;
    }

    /// Releases all engines; this node owns none from now on.
    pub fn release_all(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Whether this node owns `engine`, which runs in `zone`.
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
