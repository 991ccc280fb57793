//! `gentiantally check`: validates a settings file.

use settings::load_node_settings;

use super::client::write_line;
use crate::{cli::CheckCommand, launch::ProgramError};

/// Checks a node's settings file and prints its node and zone.
///
/// # Errors
/// `ProgramError::Usage` that lists every invalid setting.
pub fn run(command: &CheckCommand) -> Result<(), ProgramError> {
    let settings = load_node_settings(&command.settings)?;
    write_line(&format!(
        "{}: valid settings of node {} in {}",
        command.settings, settings.node.id, settings.node.zone
    ))
}
