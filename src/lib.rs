//! The programs of gentiantally: arguments, subcommands and what they share.

pub mod cli;
pub mod cmd;
pub mod launch;
