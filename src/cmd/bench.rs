//! `gentiantally bench`: runs load scenarios against simulated engines.

use std::{
    fs,
    io::{self, IsTerminal, Write},
    path::Path,
};

use argh::FromArgs;
use bench::{
    BenchError, BenchReport, DecisionReport, RunLimits, ScenarioKind, decision_table,
    measure_decisions, plot_report, report_table, run_scenario,
};
use serde::Serialize;

/// Argument that selects the scheduler measurement instead of a scenario.
const DECISION_MEASUREMENT: &str = "decisions";

/// Run a load scenario under every policy and report what callers saw; the
/// scenarios are lakeshore, sundarban, trial-flood, big-customer, overload,
/// engine-loss, prefix and hot-herd; `decisions` measures the cost of one
/// scheduler decision on this machine
#[derive(Debug, PartialEq)]
#[derive(FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct BenchCommand {
    /// name of the scenario
    #[argh(positional)]
    pub scenario: String,
    /// seed of the arrivals and of all other random choices (default: 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// write the report as JSON to this file (`-` for standard output)
    #[argh(option)]
    pub json: Option<String>,
    /// leave out prompts longer than this many tokens; not used by `decisions`
    #[argh(option)]
    pub longest: Option<u64>,
    /// number of nodes (default: the scenario's); a single node owns every engine;
    /// not used by `decisions`
    #[argh(option)]
    pub nodes: Option<usize>,
    /// plot the time to first token by prompt length to this SVG file; not used by
    /// `decisions`
    #[argh(option)]
    pub plot: Option<String>,
}

/// Runs the scenario or the scheduler measurement and writes its report.
///
/// # Errors
/// `BenchError` for an unknown scenario or an output that can't be written.
pub fn run(command: &BenchCommand) -> Result<(), BenchError> {
    if command.scenario == DECISION_MEASUREMENT {
        return run_decisions(command);
    }
    let kind = ScenarioKind::named(&command.scenario);
    let kind = kind.ok_or_else(|| BenchError::UnknownScenario {
        step: "bench".to_owned(),
        peer: command.scenario.clone(),
    })?;
    let limits = RunLimits {
        arrivals: None,
        longest: command.longest,
        nodes: command.nodes,
    };
    let report: BenchReport = run_scenario(kind, command.seed, limits, print_progress);
    if let Some(file) = &command.plot {
        plot_report(&report, Path::new(file))?;
    }
    write_report(command, &report, || report_table(&report))
}

fn run_decisions(command: &BenchCommand) -> Result<(), BenchError> {
    let report: DecisionReport = measure_decisions(command.seed, print_progress);
    write_report(command, &report, || decision_table(&report))
}

fn print_progress(step: &str) {
    if io::stderr().is_terminal() {
        eprintln!("running {step}");
    }
}

fn write_report(
    command: &BenchCommand,
    report: &impl Serialize,
    table: impl Fn() -> String,
) -> Result<(), BenchError> {
    let Some(file) = &command.json else {
        return write_output(&table());
    };
    let json = serde_json::to_string_pretty(report)
        .map_err(|error| output_error(file, &error.to_string()))?;
    if file == "-" {
        return write_output(&format!("{json}\n"));
    }
    fs::write(file, format!("{json}\n")).map_err(|error| output_error(file, &error.to_string()))
}

fn write_output(text: &str) -> Result<(), BenchError> {
    io::stdout()
        .write_all(text.as_bytes())
        .map_err(|error| output_error("standard output", &error.to_string()))
}

fn output_error(file: &str, cause: &str) -> BenchError {
    BenchError::Output {
        step: "write the report".to_owned(),
        peer: file.to_owned(),
        cause: cause.to_owned(),
    }
}
