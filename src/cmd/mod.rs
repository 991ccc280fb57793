//! The subcommands, one module each, and the node daemon.

pub mod bench;
pub mod check;
pub mod client;
pub mod local;
pub mod node;
pub mod note;
pub mod order;
pub mod quarantine;
pub mod resolve;
pub mod status;
pub mod trace;

use crate::{cli::SubCommand, launch::ProgramError};

/// Runs one subcommand of `gentiantally`.
///
/// # Errors
/// The `ProgramError` of the subcommand.
pub fn run(command: SubCommand) -> Result<(), ProgramError> {
    match command {
        SubCommand::Local(command) => local::run(&command),
        SubCommand::Check(command) => check::run(&command),
        SubCommand::Note(command) => note::run(command.action),
        SubCommand::Status(command) => status::run(&command),
        SubCommand::Resolve(command) => resolve::run(&command),
        SubCommand::Order(command) => order::run(command.action),
        SubCommand::Quarantine(command) => quarantine::run(command.action),
        SubCommand::Trace(command) => trace::run(&command),
        SubCommand::Bench(command) => {
            bench::run(&command).map_err(|error| ProgramError::Failed(error.to_string()))
        }
    }
}
