//! Pools: sets of engines that serve the same model, version and adapter. A
//! `PoolSummary` is wider: it covers all adapters of a version.

use std::collections::HashMap;

use admission::PoolIndex;
use types::{AdapterId, EngineReport, ModelId, ModelVersion, PromptJob};

use crate::view::EngineView;

/// Model, version and adapter that an engine must have ready.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct PoolKey {
    pub(crate) model: ModelId,
    pub(crate) version: ModelVersion,
    pub(crate) adapter: Option<AdapterId>,
}

impl PoolKey {
    pub(crate) fn of(job: &PromptJob) -> Self {
        Self {
            model: job.model.clone(),
            version: job.version.clone(),
            adapter: job.adapter.clone(),
        }
    }

    /// Whether new work of the pool may be sent to the engine.
    pub(crate) fn can_run_on(&self, view: &EngineView) -> bool {
        view.is_usable() && self.served_by(&view.report)
    }

    pub(crate) fn served_by(&self, report: &EngineReport) -> bool {
        report.models.iter().any(|loaded| {
            let adapter = self
                .adapter
                .as_ref()
                .is_none_or(|adapter| loaded.adapters.contains(adapter));
            loaded.model == self.model && loaded.version == self.version && adapter
        })
    }
}

/// Assigns an index to each pool that the node has seen.
#[derive(Debug, Default)]
pub(crate) struct PoolTable {
    keys: Vec<PoolKey>,
    indexes: HashMap<PoolKey, PoolIndex>,
}

impl PoolTable {
    pub(crate) fn intern(&mut self, key: PoolKey) -> PoolIndex {
        if let Some(index) = self.indexes.get(&key) {
            return *index;
        }
        let index = PoolIndex::try_from(self.keys.len()).unwrap_or(PoolIndex::MAX);
        self.keys.push(key.clone());
        self.indexes.insert(key, index);
        index
    }

    pub(crate) fn key(&self, index: PoolIndex) -> Option<&PoolKey> {
        self.keys.get(index as usize)
    }
}
