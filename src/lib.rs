//! Arguments, subcommands and start-up code shared by the programs of
//! gentiantally.

pub mod cli;
pub mod cmd;
pub mod launch;
