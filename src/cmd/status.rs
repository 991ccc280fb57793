//! `gentiantally status`: prints the members and engines of the fleet.

use node::api::FleetStatus;

use super::client::{NodeClient, write_json, write_line};
use crate::{cli::StatusCommand, launch::ProgramError};

/// Prints the fleet's members and engines as one node sees them.
///
/// # Errors
/// `ProgramError::Failed` when the call to the node or the output fails.
pub fn run(command: &StatusCommand) -> Result<(), ProgramError> {
    let client = NodeClient::new(&command.node, command.key.as_deref());
    let status: FleetStatus = smol::block_on(client.get("status", "/v1/operator/status"))?;
    if command.json {
        return write_json(&status);
    }
    write_line(&format!(
        "node {} in {}: release note {}, {} prompts open",
        status.node, status.zone, status.note_version, status.open_prompts
    ))?;
    for member in &status.members {
        write_line(&format!(
            "member {} in {}: {}, release note {}, callers {}",
            member.node, member.zone, member.state, member.note_version, member.callers
        ))?;
    }
    for engine in &status.engines {
        write_line(&format!(
            "engine {} in {}: {}, {}, incarnation {}",
            engine.engine,
            engine.zone,
            engine.state,
            if engine.owned {
                "owned here"
            } else {
                "owned elsewhere"
            },
            engine.incarnation
        ))?;
    }
    Ok(())
}
