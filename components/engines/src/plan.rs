//! Which models an engine should hold, from what is in force.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use sha2::{Digest, Sha256};
use types::{AdapterId, EngineId, LoadedModel, ModelId, ModelVersion};

/// Time for which a model that is superseded or withdrawn stays loaded, so
/// that requests admitted under it finish.
const KEEP_SUPERSEDED: Duration = Duration::from_mins(2);

/// What the release note in force asks for one model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelRequirement {
    /// The model.
    pub model: ModelId,
    /// Version in force.
    pub version: ModelVersion,
    /// Adapters in force.
    pub adapters: Vec<AdapterId>,
    /// Fewest engines that hold it ready.
    pub copies: u32,
    /// Engines known to hold it ready.
    pub ready: u32,
}

/// What one engine should hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ModelPlan {
    /// Models it holds and keeps.
    pub keep: Vec<LoadedModel>,
    /// Models to load, most needed first.
    pub load: Vec<LoadedModel>,
}

/// Plans the models of the engines that one node owns.
#[derive(Debug, Default)]
pub struct ModelPlanner {
    superseded: BTreeMap<(EngineId, ModelId, ModelVersion), Instant>,
}

impl ModelPlanner {
    /// What `engine`, which holds `held`, should hold. `fleet` are all engines
    /// known, in any order; nodes that know the same give the same plans.
    pub fn plan(
        &mut self,
        now: Instant,
        engine: &EngineId,
        held: &[LoadedModel],
        fleet: &[EngineId],
        needs: &[ModelRequirement],
    ) -> ModelPlan {
        let mut plan = ModelPlan::default();
        for loaded in held {
            if self.is_kept(now, engine, loaded, held, needs) {
                plan.keep.push(with_adapters(loaded, needs));
            }
        }
        let mut wanted: Vec<&ModelRequirement> = needs
            .iter()
            .filter(|need| !holds(held, need) && is_dealt(engine, fleet, held, need))
            .collect();
        wanted.sort_by_key(|need| (need.ready, &need.model));
        plan.load = wanted.into_iter().map(loaded_model).collect();
        plan
    }

    /// Forgets an engine that this node doesn't own any more.
    pub fn forget(&mut self, engine: &EngineId) {
        self.superseded.retain(|(known, _, _), _| known != engine);
    }

    /// Whether a held model stays: it is in force, its successor is not here
    /// yet, or its successor came a short time ago.
    fn is_kept(
        &mut self,
        now: Instant,
        engine: &EngineId,
        loaded: &LoadedModel,
        held: &[LoadedModel],
        needs: &[ModelRequirement],
    ) -> bool {
        let key = (engine.clone(), loaded.model.clone(), loaded.version.clone());
        let need = needs.iter().find(|need| need.model == loaded.model);
        let in_force = need.is_some_and(|need| need.version == loaded.version);
        let awaited = need.is_some_and(|need| !holds(held, need));
        if in_force || awaited {
            self.superseded.remove(&key);
            return true;
        }
        let since = *self.superseded.entry(key).or_insert(now);
        now.saturating_duration_since(since) < KEEP_SUPERSEDED
    }
}

fn holds(held: &[LoadedModel], need: &ModelRequirement) -> bool {
    held.iter()
        .any(|loaded| loaded.model == need.model && loaded.version == need.version)
}

/// Whether the engine is among those that a model is dealt to: engines that
/// hold another version of it, and as many more as are missing.
fn is_dealt(
    engine: &EngineId,
    fleet: &[EngineId],
    held: &[LoadedModel],
    need: &ModelRequirement,
) -> bool {
    if held.iter().any(|loaded| loaded.model == need.model) {
        return true;
    }
    if need.ready >= need.copies {
        return false;
    }
    let own = weight(engine, &need.model);
    let heavier = fleet
        .iter()
        .filter(|other| weight(other, &need.model) > own)
        .count();
    heavier < usize::try_from(need.copies).unwrap_or(usize::MAX)
}

fn weight(engine: &EngineId, model: &ModelId) -> [u8; 32] {
    let mut digest = Sha256::new();
    digest.update(engine.as_bytes());
    digest.update([0]);
    digest.update(model.as_bytes());
    digest.finalize().into()
}

fn with_adapters(loaded: &LoadedModel, needs: &[ModelRequirement]) -> LoadedModel {
    let need = needs
        .iter()
        .find(|need| need.model == loaded.model && need.version == loaded.version);
    need.map_or_else(|| loaded.clone(), loaded_model)
}

fn loaded_model(need: &ModelRequirement) -> LoadedModel {
    LoadedModel {
        model: need.model.clone(),
        version: need.version.clone(),
        adapters: need.adapters.clone(),
    }
}
