//! The operators' and users' command.

use std::process::ExitCode;

use gentiantally::{cli::CommandArguments, cmd, launch};

fn main() -> ExitCode {
    launch::launch("gentiantally", |arguments: CommandArguments| {
        cmd::run(arguments.command)
    })
}
