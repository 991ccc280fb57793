//! The `gentiantally` command for operators and users.

use std::process::ExitCode;

use gentiantally::{cli::CommandArguments, cmd, launch};

fn main() -> ExitCode {
    launch::launch("gentiantally", |arguments: CommandArguments| {
        cmd::run(arguments.command)
    })
}
