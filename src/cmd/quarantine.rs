//! `gentiantally quarantine`: lists and clears quarantined prompts.

use node::api::QuarantinedPrompt;

use super::client::{NodeClient, write_json, write_line};
use crate::{
    cli::{QuarantineAction, QuarantineClear, QuarantineList},
    launch::ProgramError,
};

const QUARANTINE_PATH: &str = "/v1/operator/quarantine";

/// Lists quarantined prompts, or clears one and lists the others.
///
/// # Errors
/// `ProgramError::Failed` when the call to the node or the output fails.
pub fn run(action: QuarantineAction) -> Result<(), ProgramError> {
    match action {
        QuarantineAction::List(command) => list(&command),
        QuarantineAction::Clear(command) => clear(&command),
    }
}

fn list(command: &QuarantineList) -> Result<(), ProgramError> {
    let client = NodeClient::new(&command.node, command.key.as_deref());
    let prompts: Vec<QuarantinedPrompt> =
        smol::block_on(client.get("quarantine list", QUARANTINE_PATH))?;
    print_prompts(&prompts, command.json)
}

fn clear(command: &QuarantineClear) -> Result<(), ProgramError> {
    let client = NodeClient::new(&command.node, command.key.as_deref());
    let path = format!("{QUARANTINE_PATH}/{}", command.prompt);
    let prompts: Vec<QuarantinedPrompt> =
        smol::block_on(client.post("quarantine clear", &path, String::new()))?;
    print_prompts(&prompts, command.json)
}

fn print_prompts(prompts: &[QuarantinedPrompt], json: bool) -> Result<(), ProgramError> {
    if json {
        return write_json(&prompts);
    }
    for prompt in prompts {
        let engines: Vec<&str> = prompt
            .deaths
            .iter()
            .map(|death| death.engine.as_str())
            .collect();
        write_line(&format!(
            "{} crashed {}, quarantined for another {} ms",
            prompt.prompt,
            engines.join(" "),
            prompt.left_ms
        ))?;
    }
    write_line(&format!("{} prompts in quarantine", prompts.len()))
}
