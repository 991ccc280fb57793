//! The tour: each step is done through the HTTP interface and its outcome is
//! checked.

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
    launch::LaunchError,
};

const SHORT_PROMPT: &str = "Is the route clear of ash?";
/// Longer than two engines of the stand-in's memory together.
const LONG_PROMPT_BYTES: usize = 4_000_000;
const ORDER_KEY: &str = "notice-2026-12-03";
const OUTPUT_TOKENS: u64 = 24;
/// Enough to be at work for a second or so on the stand-in engines.
const ENDURING_TOKENS: u64 = 2_000;
const ENGINE_RESTART: Duration = Duration::from_secs(3);
const UNNAMED_TRIES: u32 = 200;
const WAIT_PAUSE: Duration = Duration::from_millis(50);
const WAIT_LIMIT: Duration = Duration::from_secs(30);

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
/// `LaunchError::Failed` at the first step that does not end as it should.
pub async fn run(fleet: &mut LocalFleet) -> Result<(), LaunchError> {
    let version = publish_first_note(fleet).await?;
    write_line(&format!(
        "release note: {version} is in force on every node"
    ))?;
    short_prompt(fleet).await?;
    long_prompt(fleet).await?;
    status_read(fleet).await?;
    repeated_order(fleet).await?;
    engine_loss(fleet).await?;
    node_drain(fleet).await?;
    write_line("every step ended as it should")
}

/// Publishes the first note and waits until every node has it in force.
///
/// # Errors
/// `LaunchError::Failed`.
pub async fn publish_first_note(fleet: &LocalFleet) -> Result<u64, LaunchError> {
    let text = serde_json::to_string(&first_note())
        .map_err(|error| LaunchError::Failed(error.to_string()))?;
    let client = NodeClient::new(&fleet.callers_address(0), Some(OPERATOR_KEY));
    let answer: PublishAnswer = client.post("publish", "/v1/operator/notes", text).await?;
    let in_force = || {
        fleet
            .nodes
            .iter()
            .all(|node| node.has_in_force(answer.version))
    };
    wait_until(fleet, "release note in force", in_force).await?;
    Ok(answer.version)
}

async fn short_prompt(fleet: &LocalFleet) -> Result<(), LaunchError> {
    for position in 0..fleet.nodes.len() {
        check_prompt(fleet, position, SHORT_PROMPT).await?;
    }
    write_line("short prompt: answered whole by every node")
}

async fn long_prompt(fleet: &LocalFleet) -> Result<(), LaunchError> {
    let prompt = "ash ".repeat(LONG_PROMPT_BYTES / 4);
    let tokens = check_prompt(fleet, 0, &prompt).await?;
    write_line(&format!(
        "long prompt: {tokens} tokens answered by several engines together"
    ))
}

async fn check_prompt(
    fleet: &LocalFleet,
    position: usize,
    prompt: &str,
) -> Result<u64, LaunchError> {
    let client = NodeClient::new(&fleet.callers_address(position), Some(PAYING_KEY));
    check_answer(&client, prompt, OUTPUT_TOKENS).await
}

/// Sends a prompt and requires its own whole answer; returns its length.
async fn check_answer(
    client: &NodeClient,
    prompt: &str,
    output_tokens: u64,
) -> Result<u64, LaunchError> {
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
        "the answer is not whole",
    )?;
    Ok(answer.usage.prompt_tokens)
}

async fn status_read(fleet: &LocalFleet) -> Result<(), LaunchError> {
    let client = NodeClient::new(&fleet.callers_address(0), Some(PAYING_KEY));
    let path = format!("/v1/services/{LOCAL_SERVICE}/current");
    let answer: serde_json::Value = client.get("status read", &path).await?;
    write_line(&format!("status read: {answer}"))
}

/// Sends the same order to two nodes, one after the other.
async fn repeated_order(fleet: &LocalFleet) -> Result<(), LaunchError> {
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
    require(runs == 1, "order", "it did not run exactly once")?;
    require(
        answers[0] == answers[1],
        "order",
        "the resend got another answer",
    )?;
    write_line("order: sent twice, run once, the recorded answer given again")
}

/// Kills the engine that runs a prompt; another goes on with it.
async fn engine_loss(fleet: &LocalFleet) -> Result<(), LaunchError> {
    let client = NodeClient::new(&fleet.callers_address(0), Some(PAYING_KEY));
    let answer =
        smol::spawn(async move { check_answer(&client, SHORT_PROMPT, ENDURING_TOKENS).await });
    let busy = || {
        let mut engines = fleet.engines.iter();
        engines.position(|server| server.engine().decoding_sequences() > 0)
    };
    wait_until(fleet, "engine at work", || busy().is_some()).await?;
    let position = busy().unwrap_or_default();
    fleet.engines[position].engine().kill(Some(ENGINE_RESTART));
    answer.await?;
    write_line(&format!(
        "engine loss: engine-{} killed mid-prompt, the answer came whole",
        position + 1
    ))
}

/// Stops a node as planned while it serves a prompt.
async fn node_drain(fleet: &mut LocalFleet) -> Result<(), LaunchError> {
    let Some(last) = fleet.nodes.len().checked_sub(1).filter(|last| *last > 0) else {
        return write_line("node drain: passed over, there is one node only");
    };
    let address = fleet.callers_address(last);
    let client = NodeClient::new(&address, Some(PAYING_KEY));
    let answer =
        smol::spawn(async move { check_answer(&client, SHORT_PROMPT, ENDURING_TOKENS).await });
    let daemon = fleet.nodes.remove(last);
    let draining = smol::spawn(daemon.drain());
    await_unnamed(fleet, &address).await?;
    let late = NodeClient::new(&address, Some(PAYING_KEY));
    check_answer(&late, SHORT_PROMPT, OUTPUT_TOKENS).await?;
    answer.await?;
    let cut = draining.await;
    require(cut == 0, "node drain", "requests were cut")?;
    write_line(&format!(
        "node drain: node-{} left the answers, served callers with old ones and cut nothing",
        last + 1
    ))
}

async fn await_unnamed(fleet: &LocalFleet, address: &str) -> Result<(), LaunchError> {
    let client = NodeClient::new(&fleet.callers_address(0), None);
    for _ in 0..UNNAMED_TRIES {
        let answer: AddressAnswer = client.get("resolve", "/v1/addresses").await?;
        if !answer.addresses.iter().any(|named| named == address) {
            return Ok(());
        }
        fleet.clock().sleep(WAIT_PAUSE).await;
    }
    require(false, "node drain", "the node is still named in answers")
}

async fn wait_until(
    fleet: &LocalFleet,
    step: &str,
    reached: impl Fn() -> bool,
) -> Result<(), LaunchError> {
    let clock = fleet.clock();
    let waiting = async {
        while !reached() {
            clock.sleep(WAIT_PAUSE).await;
        }
    };
    let outcome = clock.timeout(WAIT_LIMIT, waiting).await;
    require(outcome.is_some(), step, "it did not come about in time")
}

fn require(condition: bool, step: &str, cause: &str) -> Result<(), LaunchError> {
    if condition {
        return Ok(());
    }
    Err(LaunchError::failed(
        step,
        "the local fleet",
        cause,
        "run again with --log debug",
    ))
}
