//! The tour: each step is done through the HTTP interface and its outcome is
//! checked.

use std::time::Duration;

use node::api::PublishAnswer;
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
const OUTPUT_TOKENS: u64 = 24;
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
    let in_force = || fleet.nodes.iter().all(|node| node.is_ready(answer.version));
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
    let body = json!({"model": LOCAL_MODEL, "prompt": prompt, "max_tokens": OUTPUT_TOKENS});
    let answer: CompletionAnswer = client
        .post("prompt", "/v1/completions", body.to_string())
        .await?;
    let expected = expected_answer(
        &LOCAL_MODEL.to_owned(),
        &MODEL_VERSION.to_owned(),
        None,
        prompt,
        OUTPUT_TOKENS,
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
