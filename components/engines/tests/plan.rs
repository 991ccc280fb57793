//! Placement of models on engines: all nodes choose the same engines, and
//! superseded models stay loaded for a time.

use std::time::{Duration, Instant};

use engines::{ModelPlan, ModelPlanner, ModelRequirement};
use types::{EngineId, ModelSpec};

fn fleet(count: usize) -> Vec<EngineId> {
    (0..count).map(|index| format!("engine-{index}")).collect()
}

fn requirement(model: &str, version: &str, copies: u32, ready: u32) -> ModelRequirement {
    ModelRequirement {
        model: model.to_owned(),
        version: version.to_owned(),
        adapters: Vec::new(),
        copies,
        ready,
    }
}

fn loaded_model(model: &str, version: &str) -> ModelSpec {
    ModelSpec {
        model: model.to_owned(),
        version: version.to_owned(),
        adapters: Vec::new(),
    }
}

fn plan(engine: &EngineId, loaded: &[ModelSpec], requirements: &[ModelRequirement]) -> ModelPlan {
    ModelPlanner::default().plan(Instant::now(), engine, loaded, &fleet(14), requirements)
}

#[test]
fn a_new_model_is_assigned_to_the_required_number_of_engines() {
    for copies in [1, 3, 14, 20] {
        let requirements = [requirement("atlas", "1", copies, 0)];
        let loading = fleet(14)
            .iter()
            .filter(|engine| !plan(engine, &[], &requirements).load.is_empty())
            .count();
        assert_eq!(loading, (copies as usize).min(14));
    }
}

#[test]
fn nothing_is_loaded_while_enough_copies_are_ready() {
    let requirements = [requirement("atlas", "1", 2, 2)];

    for engine in fleet(14) {
        assert!(plan(&engine, &[], &requirements).load.is_empty());
    }
}

#[test]
fn the_model_with_the_fewest_ready_copies_is_loaded_first() {
    let requirements = [
        requirement("busy", "1", 14, 9),
        requirement("missing", "1", 14, 0),
    ];

    let plan = plan(&"engine-3".to_owned(), &[], &requirements);

    assert_eq!(
        plan.load,
        [loaded_model("missing", "1"), loaded_model("busy", "1")]
    );
}

#[test]
fn a_superseded_version_stays_for_a_time_after_its_successor_is_loaded() {
    let mut planner = ModelPlanner::default();
    let engine = "engine-1".to_owned();
    let now = Instant::now();
    let requirements = [requirement("atlas", "2", 1, 0)];

    let before = planner.plan(
        now,
        &engine,
        &[loaded_model("atlas", "1")],
        &fleet(14),
        &requirements,
    );
    assert_eq!(before.keep, [loaded_model("atlas", "1")]);
    assert_eq!(before.load, [loaded_model("atlas", "2")]);

    let both = [loaded_model("atlas", "1"), loaded_model("atlas", "2")];
    let loaded = planner.plan(now, &engine, &both, &fleet(14), &requirements);
    assert_eq!(loaded.keep, both);

    let later = now + Duration::from_mins(3);
    let after = planner.plan(later, &engine, &both, &fleet(14), &requirements);
    assert_eq!(after.keep, [loaded_model("atlas", "2")]);
}

#[test]
fn a_withdrawn_model_is_unloaded_after_a_time() {
    let mut planner = ModelPlanner::default();
    let engine = "engine-1".to_owned();
    let now = Instant::now();
    let loaded = [loaded_model("atlas", "1")];

    assert_eq!(
        planner.plan(now, &engine, &loaded, &fleet(14), &[]).keep,
        loaded
    );
    let later = now + Duration::from_mins(3);
    assert!(
        planner
            .plan(later, &engine, &loaded, &fleet(14), &[])
            .keep
            .is_empty()
    );
}

#[test]
fn changed_adapters_are_planned_for_the_loaded_model() {
    let mut changed = requirement("atlas", "1", 1, 1);
    changed.adapters = vec!["ash".to_owned()];

    let plan = plan(
        &"engine-1".to_owned(),
        &[loaded_model("atlas", "1")],
        &[changed],
    );

    assert_eq!(plan.keep[0].adapters, ["ash"]);
    assert!(plan.load.is_empty());
}
