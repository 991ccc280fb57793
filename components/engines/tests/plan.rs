//! Models are dealt to engines alike by all nodes, and leave slowly.

use std::time::{Duration, Instant};

use engines::{ModelPlan, ModelPlanner, ModelRequirement};
use types::{EngineId, LoadedModel};

fn fleet(count: usize) -> Vec<EngineId> {
    (0..count).map(|index| format!("engine-{index}")).collect()
}

fn need(model: &str, version: &str, copies: u32, ready: u32) -> ModelRequirement {
    ModelRequirement {
        model: model.to_owned(),
        version: version.to_owned(),
        adapters: Vec::new(),
        copies,
        ready,
    }
}

fn held(model: &str, version: &str) -> LoadedModel {
    LoadedModel {
        model: model.to_owned(),
        version: version.to_owned(),
        adapters: Vec::new(),
    }
}

fn plan(engine: &EngineId, holds: &[LoadedModel], needs: &[ModelRequirement]) -> ModelPlan {
    ModelPlanner::default().plan(Instant::now(), engine, holds, &fleet(14), needs)
}

#[test]
fn a_new_model_is_dealt_to_as_many_engines_as_asked() {
    for copies in [1, 3, 14, 20] {
        let needs = [need("atlas", "1", copies, 0)];
        let loading = fleet(14)
            .iter()
            .filter(|engine| !plan(engine, &[], &needs).load.is_empty())
            .count();
        assert_eq!(loading, (copies as usize).min(14));
    }
}

#[test]
fn nothing_is_loaded_while_enough_copies_are_ready() {
    let needs = [need("atlas", "1", 2, 2)];

    for engine in fleet(14) {
        assert!(plan(&engine, &[], &needs).load.is_empty());
    }
}

#[test]
fn the_model_with_fewest_ready_copies_comes_first() {
    let needs = [need("busy", "1", 14, 9), need("missing", "1", 14, 0)];

    let plan = plan(&"engine-3".to_owned(), &[], &needs);

    assert_eq!(plan.load, [held("missing", "1"), held("busy", "1")]);
}

#[test]
fn an_old_version_stays_until_its_successor_has_been_here_a_while() {
    let mut planner = ModelPlanner::default();
    let engine = "engine-1".to_owned();
    let now = Instant::now();
    let needs = [need("atlas", "2", 1, 0)];

    let before = planner.plan(now, &engine, &[held("atlas", "1")], &fleet(14), &needs);
    assert_eq!(before.keep, [held("atlas", "1")]);
    assert_eq!(before.load, [held("atlas", "2")]);

    let both = [held("atlas", "1"), held("atlas", "2")];
    let loaded = planner.plan(now, &engine, &both, &fleet(14), &needs);
    assert_eq!(loaded.keep, both);

    let later = now + Duration::from_mins(3);
    let after = planner.plan(later, &engine, &both, &fleet(14), &needs);
    assert_eq!(after.keep, [held("atlas", "2")]);
}

#[test]
fn a_withdrawn_model_leaves_after_a_while() {
    let mut planner = ModelPlanner::default();
    let engine = "engine-1".to_owned();
    let now = Instant::now();
    let holds = [held("atlas", "1")];

    assert_eq!(
        planner.plan(now, &engine, &holds, &fleet(14), &[]).keep,
        holds
    );
    let later = now + Duration::from_mins(3);
    assert!(
        planner
            .plan(later, &engine, &holds, &fleet(14), &[])
            .keep
            .is_empty()
    );
}

#[test]
fn a_change_of_adapters_is_ordered_in_place() {
    let mut wanted = need("atlas", "1", 1, 1);
    wanted.adapters = vec!["ash".to_owned()];

    let plan = plan(&"engine-1".to_owned(), &[held("atlas", "1")], &[wanted]);

    assert_eq!(plan.keep[0].adapters, ["ash"]);
    assert!(plan.load.is_empty());
}
