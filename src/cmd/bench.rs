//! `gentiantally bench`.

use argh::FromArgs;

/// Run a load scenario.
#[derive(FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct BenchCommand {
    /// name of the scenario
    #[argh(positional)]
    pub scenario: String,
}

/// Runs a load scenario.
///
/// # Errors
/// Always.
pub fn run(command: &BenchCommand) -> Result<(), String> {
    Err(format!("no scenario {}", command.scenario))
}
