//! `gentiantally resolve`: asks a node for an address answer.

use node::api::AddressAnswer;

use super::client::{NodeClient, write_json, write_line};
use crate::{cli::ResolveCommand, launch::ProgramError};

/// Prints the addresses that a node tells callers to use, best first, and how
/// long they stay valid.
///
/// # Errors
/// `ProgramError::Failed` when the call to the node or the output fails.
pub fn run(command: &ResolveCommand) -> Result<(), ProgramError> {
    let client = NodeClient::new(&command.node, None);
    let path = address_path(command.model.as_deref(), command.prompt_tokens);
    let answer: AddressAnswer = smol::block_on(client.get("resolve", &path))?;
    if command.json {
        return write_json(&answer);
    }
    for address in &answer.addresses {
        write_line(address)?;
    }
    write_line(&format!(
        "use these addresses for {} ms",
        answer.keep_for_ms
    ))
}

fn address_path(model: Option<&str>, prompt_tokens: Option<u64>) -> String {
    let mut parameters = Vec::new();
    if let Some(model) = model {
        parameters.push(format!("model={model}"));
    }
    if let Some(tokens) = prompt_tokens {
        parameters.push(format!("prompt_tokens={tokens}"));
    }
    if parameters.is_empty() {
        return "/v1/addresses".to_owned();
    }
    format!("/v1/addresses?{}", parameters.join("&"))
}
