//! Arguments, subcommands and start-up code shared by `gentiantally` and
//! `gentiantally-node`.

pub mod cli;
pub mod cmd;
pub mod launch;
