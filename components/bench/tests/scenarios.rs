//! Whole runs of the bench: same seed same bytes, and nothing unaccounted.

use bench::{BenchReport, ScenarioKind, ScenarioVariant, run_scenario, scenario_plan};

fn bytes(report: &BenchReport) -> String {
    serde_json::to_string(report).expect("a report is plain data")
}

#[test]
fn one_seed_gives_one_report() {
    let first = run_scenario(ScenarioKind::HotHerd, 7);
    let second = run_scenario(ScenarioKind::HotHerd, 7);
    assert_eq!(bytes(&first), bytes(&second));
    let other = run_scenario(ScenarioKind::HotHerd, 8);
    assert_ne!(bytes(&first), bytes(&other));
}

#[test]
fn every_request_ends_once_under_every_policy() {
    let report = run_scenario(ScenarioKind::EngineLoss, 3);
    assert_eq!(report.policies.len(), 4);
    for name in report.policies.keys() {
        let policy = report.policy(name).expect("a policy report");
        let ended = policy.finished + policy.refused + policy.failed + policy.lost;
        assert_eq!(ended, report.requests as u64, "{name}");
        assert_eq!((policy.lost, policy.doubled), (0, 0), "{name}");
    }
}

#[test]
fn the_undisturbed_variant_keeps_the_same_arrivals() {
    for kind in ScenarioKind::ALL {
        let full = scenario_plan(kind, 5, ScenarioVariant::Full);
        let alone = scenario_plan(kind, 5, ScenarioVariant::Alone);
        let kept = full.requests.iter().filter(|request| !request.disturbance);
        assert_eq!(kept.count(), alone.requests.len(), "{}", kind.name());
        let in_order = full.requests.is_sorted_by_key(|request| request.at);
        assert!(in_order, "{}", kind.name());
    }
}
