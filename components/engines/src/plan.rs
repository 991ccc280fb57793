//! Placement of models on engines, from the release note in force.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use sha2::{Digest, Sha256};
use types::{AdapterId, EngineId, ModelId, ModelSpec, ModelVersion};

/// Time for which a superseded or withdrawn model stays loaded, so that requests
/// admitted with it can finish.
const SUPERSEDED_RETENTION: Duration = Duration::from_mins(2);

/// What the release note in force requires for one model, and how many engines
/// have it ready.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelRequirement {
    /// Model as the release note names it.
    pub model: ModelId,
    /// Version of the weights in force.
    pub version: ModelVersion,
    /// Adapters to load on top of the model.
    pub adapters: Vec<AdapterId>,
    /// Minimum number of engines that have the version loaded and ready.
    pub copies: u32,
    /// Number of engines known to have the version loaded and ready.
    pub ready: u32,
}

/// Models that one engine should keep and load; it may unload all others.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ModelPlan {
    /// Loaded models that stay, with the adapters in force.
    pub keep: Vec<ModelSpec>,
    /// Models to load, those with the fewest ready engines first.
    pub load: Vec<ModelSpec>,
}

/// Plans the models of the engines that one node owns.
///
/// It remembers since when each loaded model is superseded.
#[derive(Debug, Default)]
pub struct ModelPlanner {
    superseded: BTreeMap<(EngineId, ModelId, ModelVersion), Instant>,
}

impl ModelPlanner {
    /// Plans the models of `engine`, which has `loaded_models` loaded.
    ///
    /// `fleet` lists all known engines in any order. Nodes that know the same
    /// engines and requirements choose the same engines for a model.
    pub fn plan(
        &mut self,
        now: Instant,
        engine: &EngineId,
        loaded_models: &[ModelSpec],
        fleet: &[EngineId],
        requirements: &[ModelRequirement],
    ) -> ModelPlan {
        let mut plan = ModelPlan::default();
        for loaded in loaded_models {
            if self.update_kept(now, engine, loaded, loaded_models, requirements) {
                plan.keep.push(with_adapters(loaded, requirements));
            }
        }
        let mut missing: Vec<&ModelRequirement> = requirements
            .iter()
            .filter(|requirement| {
                !has_version(loaded_models, requirement)
                    && is_assigned(engine, fleet, loaded_models, requirement)
            })
            .collect();
        missing.sort_by_key(|requirement| (requirement.ready, &requirement.model));
        plan.load = missing.into_iter().map(required_model).collect();
        plan
    }

    /// Removes the state of an engine that this node no longer owns.
    pub fn forget(&mut self, engine: &EngineId) {
        self.superseded.retain(|(known, _, _), _| known != engine);
    }

    /// Records since when a loaded model is superseded, and returns whether it
    /// stays: it is in force, its successor is not loaded on this engine yet, or
    /// it was superseded less than `SUPERSEDED_RETENTION` ago.
    fn update_kept(
        &mut self,
        now: Instant,
        engine: &EngineId,
        loaded: &ModelSpec,
        loaded_models: &[ModelSpec],
        requirements: &[ModelRequirement],
    ) -> bool {
        let key = (engine.clone(), loaded.model.clone(), loaded.version.clone());
        let requirement = requirements
            .iter()
            .find(|requirement| requirement.model == loaded.model);
        let in_force = requirement.is_some_and(|requirement| requirement.version == loaded.version);
        let successor_missing =
            requirement.is_some_and(|requirement| !has_version(loaded_models, requirement));
        if in_force || successor_missing {
            self.superseded.remove(&key);
            return true;
        }
        let since = *self.superseded.entry(key).or_insert(now);
        now.saturating_duration_since(since) < SUPERSEDED_RETENTION
    }
}

fn has_version(loaded_models: &[ModelSpec], requirement: &ModelRequirement) -> bool {
    loaded_models
        .iter()
        .any(|loaded| loaded.model == requirement.model && loaded.version == requirement.version)
}

/// Whether a model is assigned to `engine`.
///
/// It is assigned to engines that have another version of it loaded and, while
/// too few engines are ready, to the first `copies` engines by rendezvous hash.
fn is_assigned(
    engine: &EngineId,
    fleet: &[EngineId],
    loaded_models: &[ModelSpec],
    requirement: &ModelRequirement,
) -> bool {
    if loaded_models
        .iter()
        .any(|loaded| loaded.model == requirement.model)
    {
        return true;
    }
    if requirement.ready >= requirement.copies {
        return false;
    }
    let own = rendezvous_hash(engine, &requirement.model);
    let ranked_before = fleet
        .iter()
        .filter(|other| rendezvous_hash(other, &requirement.model) > own)
        .count();
    ranked_before < usize::try_from(requirement.copies).unwrap_or(usize::MAX)
}

fn rendezvous_hash(engine: &EngineId, model: &ModelId) -> [u8; 32] {
    let mut digest = Sha256::new();
    digest.update(engine.as_bytes());
    digest.update([0]);
    digest.update(model.as_bytes());
    digest.finalize().into()
}

fn with_adapters(loaded: &ModelSpec, requirements: &[ModelRequirement]) -> ModelSpec {
    let requirement = requirements.iter().find(|requirement| {
        requirement.model == loaded.model && requirement.version == loaded.version
    });
    requirement.map_or_else(|| loaded.clone(), required_model)
}

fn required_model(requirement: &ModelRequirement) -> ModelSpec {
    ModelSpec {
        model: requirement.model.clone(),
        version: requirement.version.clone(),
        adapters: requirement.adapters.clone(),
    }
}
