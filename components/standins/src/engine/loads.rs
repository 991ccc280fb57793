//! Models that an order requested and that are still loading.

use std::time::Instant;

use types::{EngineOrder, ModelSpec};

/// A model that is still loading.
#[derive(Clone, Debug)]
struct PendingLoad {
    model: ModelSpec,
    ready_at: Instant,
}

/// The models that are still loading.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingLoads {
    pending: Vec<PendingLoad>,
}

impl PendingLoads {
    /// Replaces the pending loads by the models of `order` that are not in `loaded`,
    /// and returns those that are. A new load finishes at `ready_at`; a load already
    /// pending keeps its time.
    pub(crate) fn replace(
        &mut self,
        order: &EngineOrder,
        loaded: &[ModelSpec],
        ready_at: Instant,
    ) -> Vec<ModelSpec> {
        let (kept, to_load): (Vec<_>, Vec<_>) = order
            .models
            .iter()
            .cloned()
            .partition(|model| loaded.iter().any(|loaded| same_weights(loaded, model)));
        let previous = std::mem::take(&mut self.pending);
        self.pending = to_load
            .into_iter()
            .map(|model| {
                let known = previous
                    .iter()
                    .find(|load| same_weights(&load.model, &model));
                PendingLoad {
                    ready_at: known.map_or(ready_at, |load| load.ready_at),
                    model,
                }
            })
            .collect();
        kept
    }

    /// Removes and returns the models whose load has finished by `now`.
    pub(crate) fn take_finished(&mut self, now: Instant) -> Vec<ModelSpec> {
        let (ready, pending): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|load| load.ready_at <= now);
        self.pending = pending;
        ready.into_iter().map(|load| load.model).collect()
    }

    pub(crate) fn next_ready_at(&self) -> Option<Instant> {
        self.pending.iter().map(|load| load.ready_at).min()
    }
}

fn same_weights(one: &ModelSpec, other: &ModelSpec) -> bool {
    one.model == other.model && one.version == other.version
}
