//! `gentiantally resolve`.

use node::api::AddressAnswer;

use super::client::{NodeClient, write_json, write_line};
use crate::{cli::ResolveCommand, launch::LaunchError};

/// Asks a node for addresses and prints them.
///
/// # Errors
/// `LaunchError::Failed`.
pub fn run(command: &ResolveCommand) -> Result<(), LaunchError> {
    let client = NodeClient::new(&command.node, None);
    let path = address_path(command.model.as_deref(), command.prompt_tokens);
    let answer: AddressAnswer = smol::block_on(client.get("resolve", &path))?;
    if command.json {
        return write_json(&answer);
    }
    for address in &answer.addresses {
        write_line(address)?;
    }
    write_line(&format!("keep for {} ms", answer.keep_for_ms))
}

fn address_path(model: Option<&str>, prompt_tokens: Option<u64>) -> String {
    let mut hints = Vec::new();
    if let Some(model) = model {
        hints.push(format!("model={model}"));
    }
    if let Some(tokens) = prompt_tokens {
        hints.push(format!("prompt_tokens={tokens}"));
    }
    if hints.is_empty() {
        return "/v1/addresses".to_owned();
    }
    format!("/v1/addresses?{}", hints.join("&"))
}
