//! The instructions that `gentiantally local` prints.

use super::{
    LocalFleet,
    note::{LOCAL_MODEL, LOCAL_SERVICE, OPERATOR_KEY, PAYING_KEY, TRIAL_KEY},
};
use crate::{
    cmd::{client::write_line, local::tour::publish_first_note},
    launch::ProgramError,
};

/// Publishes the first release note and prints addresses, keys and commands
/// that can be run as printed.
///
/// # Errors
/// `ProgramError::Failed` when the note is not accepted and in force everywhere,
/// or the output fails.
pub fn publish_note_and_print(fleet: &LocalFleet) -> Result<(), ProgramError> {
    let version = smol::future::block_on(publish_first_note(fleet))?;
    let address = fleet.callers_address(0);
    write_line(&format!("release note {version} is in force"))?;
    for (position, _) in fleet.nodes.iter().enumerate() {
        write_line(&format!(
            "node-{}: http://{}",
            position + 1,
            fleet.callers_address(position)
        ))?;
    }
    write_line(&format!("platform: http://{}", fleet.platform.address()))?;
    write_line(&format!(
        "keys: {PAYING_KEY} (paying), {TRIAL_KEY} (trial), {OPERATOR_KEY} (operator)"
    ))?;
    write_line("try:")?;
    write_line(&format!("  curl http://{address}/v1/addresses"))?;
    write_line(&format!(
        "  curl http://{address}/v1/completions -H 'Authorization: Bearer {PAYING_KEY}' \
         -d '{{\"model\": \"{LOCAL_MODEL}\", \"prompt\": \"Is the route clear of ash?\", \
         \"max_tokens\": 16}}'"
    ))?;
    write_line(&format!(
        "  curl http://{address}/v1/services/{LOCAL_SERVICE}/current \
         -H 'Authorization: Bearer {PAYING_KEY}'"
    ))?;
    write_line(&format!(
        "  gentiantally status --node {address} --key {OPERATOR_KEY}"
    ))?;
    write_line("stop with Ctrl-C")
}
