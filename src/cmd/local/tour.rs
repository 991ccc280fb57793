//! The tour of `gentiantally local --once`: each step calls the HTTP interface
//! of the nodes and checks the outcome.

use std::time::Duration;

use node::api::{AddressAnswer, PublishAnswer};
use serde::Deserialize;
use serde_json::json;
use standins::expected_answer;

use super::{
    LocalFleet,
    note::{LOCAL_MODEL, LOCAL_SERVICE, MODEL_VERSION, OPERATOR_KEY, PAYING_KEY, first_note},
};
use crate::{
    cmd::client::{NodeClient, write_line},
    launch::ProgramError,
};

const SHORT_PROMPT: &str = "Is the route clear of ash?";
/// Needs more KV cache memory than two stand-in engines have together.
const LONG_PROMPT_BYTES: usize = 4_000_000;
const ORDER_KEY: &str = "notice-2026-12-03";
const OUTPUT_TOKENS: u64 = 24;
/// Keeps a stand-in engine decoding for about a second.
const LONG_OUTPUT_TOKENS: u64 = 2_000;
const ENGINE_RESTART: Duration = Duration::from_secs(3);
const WITHDRAWAL_POLLS: u32 = 200;
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const POLL_TIMEOUT: Duration = Duration::from_secs(30);

#[derive(Deserialize)]
struct CompletionAnswer {
    choices: Vec<AnswerChoice>,
    usage: AnswerUsage,
}

#[derive(Deserialize)]
struct AnswerChoice {
    text: String,
}

#[derive(Deserialize)]
struct AnswerUsage {
    prompt_tokens: u64,
}

/// Runs the steps in order.
///
/// # Errors
/// `ProgramError::Failed` at the first step that fails.
pub async fn run(fleet: &mut LocalFleet) -> Result<(), ProgramError> {
    let version = publish_first_note(fleet).await?;
    write_line(&format!(
        "release note: {version} is in force on every node"
    ))?;
    check_short_prompt(fleet).await?;
    check_long_prompt(fleet).await?;
    check_status_read(fleet).await?;
    check_repeated_order(fleet).await?;
    check_engine_loss(fleet).await?;
    check_node_drain(fleet).await?;
    write_line("every step succeeded")
}

/// Publishes the first release note, waits until every node has it in force and
/// returns its version.
///
/// # Errors
/// `ProgramError::Failed` when the note is not accepted, or not in force on every
/// node in time.
pub async fn publish_first_note(fleet: &LocalFleet) -> Result<u64, ProgramError> {
    let text = serde_json::to_string(&first_note())
        .map_err(|error| ProgramError::Failed(error.to_string()))?;
    let client = NodeClient::new(&fleet.callers_address(0), Some(OPERATOR_KEY));
    let answer: PublishAnswer = client.post("publish", "/v1/operator/notes", text).await?;
    let in_force = || {
        fleet
            .nodes
            .iter()
            .all(|node| node.has_in_force(answer.version))
    };
    wait_until(fleet, "wait until the release note is in force", in_force).await?;
    Ok(answer.version)
}

async fn check_short_prompt(fleet: &LocalFleet) -> Result<(), ProgramError> {
    for position in 0..fleet.nodes.len() {
        check_prompt(fleet, position, SHORT_PROMPT).await?;
    }
    write_line("short prompt: every node returned the complete answer")
}

async fn check_long_prompt(fleet: &LocalFleet) -> Result<(), ProgramError> {
    let prompt = "ash ".repeat(LONG_PROMPT_BYTES / 4);
    let tokens = check_prompt(fleet, 0, &prompt).await?;
    write_line(&format!(
        "long prompt: complete answer to {tokens} tokens, more than two engines can hold"
    ))
}

async fn check_prompt(
    fleet: &LocalFleet,
    position: usize,
    prompt: &str,
) -> Result<u64, ProgramError> {
    let client = NodeClient::new(&fleet.callers_address(position), Some(PAYING_KEY));
    check_answer(&client, prompt, OUTPUT_TOKENS).await
}

/// Sends a prompt and requires the complete answer to it. Returns the length of
/// the prompt in tokens.
async fn check_answer(
    client: &NodeClient,
    prompt: &str,
    output_tokens: u64,
) -> Result<u64, ProgramError> {
    let body = json!({"model": LOCAL_MODEL, "prompt": prompt, "max_tokens": output_tokens});
    let answer: CompletionAnswer = client
        .post("prompt", "/v1/completions", body.to_string())
        .await?;
    let expected = expected_answer(
        &LOCAL_MODEL.to_owned(),
        &MODEL_VERSION.to_owned(),
        None,
        prompt,
        output_tokens,
    );
    let text = answer.choices.first().map(|choice| choice.text.as_str());
    require(
        text == Some(expected.as_str()),
        "prompt",
        "the answer is incomplete or belongs to another prompt",
    )?;
    Ok(answer.usage.prompt_tokens)
}

async fn check_status_read(fleet: &LocalFleet) -> Result<(), ProgramError> {
    let client = NodeClient::new(&fleet.callers_address(0), Some(PAYING_KEY));
    let path = format!("/v1/services/{LOCAL_SERVICE}/current");
    let answer: serde_json::Value = client.get("status read", &path).await?;
    write_line(&format!("status read: {answer}"))
}

/// Sends the same order through the first and the last node, which may be the
/// same. It must run once, and the second call must return the recorded answer.
async fn check_repeated_order(fleet: &LocalFleet) -> Result<(), ProgramError> {
    let path = format!("/v1/services/{LOCAL_SERVICE}/issue");
    let mut answers = Vec::new();
    for position in [0, fleet.nodes.len() - 1] {
        let client = NodeClient::new(&fleet.callers_address(position), Some(PAYING_KEY))
            .with_idempotency_key(ORDER_KEY);
        let body = json!({"notice": "ash over the lake"}).to_string();
        let answer: serde_json::Value = client.post("order", &path, body).await?;
        answers.push(answer);
    }
    let runs = fleet.service.service().effects().len();
    require(runs == 1, "order", "the order did not run exactly once")?;
    require(
        answers[0] == answers[1],
        "order",
        "the second submission got a different answer",
    )?;
    write_line("order: sent twice, run once, the second answer came from the record")
}

/// Kills the engine that decodes a prompt. The answer must still be
/// complete.
async fn check_engine_loss(fleet: &LocalFleet) -> Result<(), ProgramError> {
    let client = NodeClient::new(&fleet.callers_address(0), Some(PAYING_KEY));
    let answer =
        smol::spawn(async move { check_answer(&client, SHORT_PROMPT, LONG_OUTPUT_TOKENS).await });
    let decoding_engine = || {
        let mut engines = fleet.engines.iter();
        engines.position(|server| server.engine().decoding_sequences() > 0)
    };
    wait_until(fleet, "wait until an engine decodes the prompt", || {
        decoding_engine().is_some()
    })
    .await?;
    let position = decoding_engine().unwrap_or_default();
    fleet.engines[position].engine().kill(Some(ENGINE_RESTART));
    answer.await?;
    write_line(&format!(
        "engine loss: engine-{} killed while decoding, the answer was complete",
        position + 1
    ))
}

/// Drains a node while it serves a prompt. Address answers must stop naming it,
/// and it must still serve callers that hold an old address answer.
async fn check_node_drain(fleet: &mut LocalFleet) -> Result<(), ProgramError> {
    let Some(last) = fleet.nodes.len().checked_sub(1).filter(|last| *last > 0) else {
        return write_line("node drain: skipped, the fleet has only one node");
    };
    let address = fleet.callers_address(last);
    let client = NodeClient::new(&address, Some(PAYING_KEY));
    let answer =
        smol::spawn(async move { check_answer(&client, SHORT_PROMPT, LONG_OUTPUT_TOKENS).await });
    let daemon = fleet.nodes.remove(last);
    let draining = smol::spawn(daemon.drain());
    await_address_withdrawal(fleet, &address).await?;
    let late_client = NodeClient::new(&address, Some(PAYING_KEY));
    check_answer(&late_client, SHORT_PROMPT, OUTPUT_TOKENS).await?;
    answer.await?;
    let cut_requests = draining.await;
    require(
        cut_requests == 0,
        "node drain",
        "the node cut off requests that were in flight",
    )?;
    write_line(&format!(
        "node drain: node-{} left the address answers, served callers with old ones and cut off \
         no request",
        last + 1
    ))
}

async fn await_address_withdrawal(fleet: &LocalFleet, address: &str) -> Result<(), ProgramError> {
    let client = NodeClient::new(&fleet.callers_address(0), None);
    for _ in 0..WITHDRAWAL_POLLS {
        let answer: AddressAnswer = client.get("resolve", "/v1/addresses").await?;
        if !answer.addresses.iter().any(|named| named == address) {
            return Ok(());
        }
        fleet.clock().sleep(POLL_INTERVAL).await;
    }
    require(false, "node drain", "address answers still name the node")
}

async fn wait_until(
    fleet: &LocalFleet,
    step: &str,
    reached: impl Fn() -> bool,
) -> Result<(), ProgramError> {
    let clock = fleet.clock();
    let condition = async {
        while !reached() {
            clock.sleep(POLL_INTERVAL).await;
        }
    };
    let outcome = clock.timeout(POLL_TIMEOUT, condition).await;
    require(
        outcome.is_some(),
        step,
        "the condition was not reached in time",
    )
}

fn require(condition: bool, step: &str, cause: &str) -> Result<(), ProgramError> {
    if condition {
        return Ok(());
    }
    Err(ProgramError::failed(
        step,
        "the local fleet",
        cause,
        "run again with --log debug",
    ))
}
