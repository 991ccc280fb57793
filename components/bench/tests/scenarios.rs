//! Whole bench runs: equal seeds give equal bytes, and every request is
//! accounted for.

use std::time::Duration;

use bench::{
    BenchError, BenchReport, RunLimits, ScenarioKind, ScenarioVariant, plot_report, run_scenario,
    scenario_plan,
};
use serde_json::Value;

/// Time span of arrivals in each test run, shorter than that of any scenario.
const ARRIVAL_SPAN: Duration = Duration::from_secs(12);

fn run_limited(kind: ScenarioKind, seed: u64) -> BenchReport {
    let limits = RunLimits {
        arrivals: Some(ARRIVAL_SPAN),
        ..RunLimits::default()
    };
    run_scenario(kind, seed, limits, |_| ())
}

fn bytes(report: &BenchReport) -> String {
    serde_json::to_string(report).expect("a report is plain data")
}

#[test]
fn equal_seeds_give_byte_equal_reports() {
    let first = run_limited(ScenarioKind::HotHerd, 7);
    let second = run_limited(ScenarioKind::HotHerd, 7);
    assert_eq!(bytes(&first), bytes(&second));
    let other = run_limited(ScenarioKind::HotHerd, 8);
    assert_ne!(bytes(&first), bytes(&other));
}

#[test]
fn every_request_has_one_outcome_under_every_policy() {
    let report = run_limited(ScenarioKind::EngineLoss, 3);
    assert_eq!(report.policies.len(), 4);
    for name in report.policies.keys() {
        let policy = report.policy(name).expect("a policy report");
        let ended = policy.finished + policy.refused + policy.failed + policy.lost;
        assert_eq!(ended, report.requests as u64, "{name}");
        assert_eq!((policy.lost, policy.doubled), (0, 0), "{name}");
    }
}

/// Compares the number of requests, not each request.
#[test]
fn the_alone_variant_keeps_every_request_outside_the_disturbance() {
    for kind in ScenarioKind::ALL {
        let full = scenario_plan(kind, 5, ScenarioVariant::Full);
        let alone = scenario_plan(kind, 5, ScenarioVariant::Alone);
        let kept = full.requests.iter().filter(|request| !request.disturbance);
        assert_eq!(kept.count(), alone.requests.len(), "{}", kind.name());
        let in_order = full.requests.is_sorted_by_key(|request| request.at);
        assert!(in_order, "{}", kind.name());
    }
}

/// Replaces every number by 0, so that the snapshot holds only the structure.
fn shape_of(value: &Value) -> Value {
    match value {
        Value::Object(fields) => {
            let shapes = fields.iter();
            shapes
                .map(|(name, field)| (name.clone(), shape_of(field)))
                .collect()
        }
        Value::Number(_) => Value::from(0),
        other => other.clone(),
    }
}

/// Compares the keys and structure of a report with the snapshot, not its numbers.
#[test]
fn the_report_has_the_shape_of_the_bench_page() {
    let report = run_limited(ScenarioKind::BigCustomer, 1);
    let value = serde_json::to_value(&report).expect("a report is plain data");
    insta::assert_json_snapshot!(shape_of(&value));
}

#[test]
fn limits_restrict_nodes_lengths_and_arrivals() {
    let limits = RunLimits {
        arrivals: Some(ARRIVAL_SPAN),
        longest: Some(4_000),
        nodes: Some(1),
    };
    let plan = scenario_plan(ScenarioKind::EngineLoss, 2, ScenarioVariant::Full).limited(limits);
    assert_eq!(plan.shape.nodes, 1);
    assert!(!plan.requests.is_empty());
    for (index, request) in plan.requests.iter().enumerate() {
        assert_eq!(request.index, index);
        assert!(request.at < ARRIVAL_SPAN && request.prompt_tokens <= 4_000);
    }
    assert!(plan.faults.iter().all(|fault| fault.at < ARRIVAL_SPAN));
}

#[test]
fn the_plot_is_an_svg_file() {
    let report = run_limited(ScenarioKind::Prefix, 1);
    let file = std::env::temp_dir().join(format!("bench-plot-{}.svg", std::process::id()));
    plot_report(&report, &file).expect("a folder that can be written");
    let picture = std::fs::read_to_string(&file).expect("the picture");
    std::fs::remove_file(&file).expect("the picture again");
    assert!(picture.starts_with("<svg"));
    for policy in report.policies.keys() {
        assert!(picture.contains(policy.as_str()), "{policy}");
    }
    let nowhere = file.join("below-a-file.svg");
    assert!(matches!(
        plot_report(&report, &nowhere),
        Err(BenchError::Output { .. })
    ));
}
