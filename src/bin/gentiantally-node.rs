//! The node daemon that runs on an entry host.

use std::process::ExitCode;

use gentiantally::{cli::NodeArguments, cmd, launch};

fn main() -> ExitCode {
    launch::launch("gentiantally-node", |arguments: NodeArguments| {
        cmd::node::run(&arguments)
    })
}
