//! Models that an order named and that are still loading.

use std::time::Instant;

use types::{EngineOrder, ModelSpec};

/// One model on its way.
#[derive(Clone, Debug)]
struct PendingLoad {
    model: ModelSpec,
    ready: Instant,
}

/// The models on their way.
#[derive(Clone, Debug, Default)]
pub(crate) struct LoadQueue {
    pending: Vec<PendingLoad>,
}

impl LoadQueue {
    /// Takes the models of `order`, where `held` are ready now: returns those
    /// that stay ready, and loads the others until `ready`.
    pub(crate) fn take(
        &mut self,
        order: &EngineOrder,
        held: &[ModelSpec],
        ready: Instant,
    ) -> Vec<ModelSpec> {
        let (kept, wanted): (Vec<_>, Vec<_>) = order
            .models
            .iter()
            .cloned()
            .partition(|model| held.iter().any(|held| same_weights(held, model)));
        let before = std::mem::take(&mut self.pending);
        self.pending = wanted
            .into_iter()
            .map(|model| {
                let known = before.iter().find(|load| same_weights(&load.model, &model));
                PendingLoad {
                    ready: known.map_or(ready, |load| load.ready),
                    model,
                }
            })
            .collect();
        kept
    }

    /// The models that have become ready.
    pub(crate) fn finished(&mut self, now: Instant) -> Vec<ModelSpec> {
        let (ready, pending): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|load| load.ready <= now);
        self.pending = pending;
        ready.into_iter().map(|load| load.model).collect()
    }

    pub(crate) fn next_at(&self) -> Option<Instant> {
        self.pending.iter().map(|load| load.ready).min()
    }
}

fn same_weights(one: &ModelSpec, other: &ModelSpec) -> bool {
    one.model == other.model && one.version == other.version
}
