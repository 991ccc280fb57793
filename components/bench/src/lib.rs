//! Load scenarios that run the scheduling components against simulated engines.
//!
//! `run_scenario` replays the same arrivals under every policy in a
//! discrete-event simulation, each with its own fleet of simulated engines, and
//! reports what callers saw. The same seed gives the same report.

mod baseline;
mod brain;
mod caller;
mod decision_state;
mod decisions;
mod driver;
mod engine_row;
mod error;
mod fleet;
mod flight;
mod ledger;
mod mixes;
mod plot;
mod report;
mod scenario;
mod schedule;
mod summary;
mod table;
mod workload;

pub use baseline::{BaselineKind, BaselineRouter};
pub use decision_state::{DecisionState, StateSize};
pub use decisions::{DecisionPoint, DecisionReport, DecisionSlope, measure_decisions};
pub use error::BenchError;
pub use fleet::FleetShape;
pub use plot::plot_report;
pub use report::{BenchReport, PolicyReport};
pub use scenario::{EngineFault, ScenarioKind, ScenarioPlan, ScenarioVariant, scenario_plan};
pub use summary::{GapSummary, LatencySummary, PlanReport, SlowdownSummary, TailSummary};
pub use table::{decision_table, report_table};
pub use workload::BenchRequest;

use std::time::Duration;

use types::TokenCount;

use crate::{brain::PolicyKind, driver::FleetDriver, ledger::RequestLedger};

/// Restricts a scenario to a shorter or smaller run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RunLimits {
    /// Limit on the time in which requests arrive; the scenario's own time applies
    /// when it is shorter.
    pub arrivals: Option<Duration>,
    /// Prompts longer than this are left out, in tokens.
    pub longest: Option<TokenCount>,
    /// Number of nodes, in place of the scenario's; a single node owns every engine.
    pub nodes: Option<usize>,
}

/// Runs a scenario under every policy. `progress` receives the name of each
/// policy before it runs.
#[must_use]
pub fn run_scenario(
    kind: ScenarioKind,
    seed: u64,
    limits: RunLimits,
    mut progress: impl FnMut(&str),
) -> BenchReport {
    let full = scenario_plan(kind, seed, ScenarioVariant::Full).limited(limits);
    let mut report = BenchReport::new(kind, seed, full.requests.len());
    for policy in PolicyKind::ALL {
        progress(policy.name());
        report.add(policy.name(), &run_policy(&full, seed, policy));
    }
    if kind.has_disturbance() {
        progress(ALONE_POLICY);
        let alone = scenario_plan(kind, seed, ScenarioVariant::Alone).limited(limits);
        let ledger = run_policy(&alone, seed, PolicyKind::Gentiantally);
        report.add(ALONE_POLICY, &ledger);
    }
    report
}

/// Report name of the run without the scenario's disturbance.
const ALONE_POLICY: &str = "gentiantally-alone";

fn run_policy(plan: &ScenarioPlan, seed: u64, policy: PolicyKind) -> RequestLedger {
    FleetDriver::new(plan, seed, policy).run()
}
