//! The operators' and users' command.

fn main() {}
