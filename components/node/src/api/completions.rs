//! `POST /v1/completions` and `POST /v1/chat/completions`.

use std::{
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use entry::{ApiFailure, EntryRequest, EventSink, event_stream};
use http_types::Response;
use types::TokenCount;

use super::{
    ApiContext,
    access::authenticate,
    answer::{ApiResult, json_response},
    prompt_body::{parse_chat, parse_completion},
    prompt_run::{PromptRun, submit_prompt},
    shape::{ResponseFormat, StreamPosition},
};
use crate::prompts::PromptUpdate;

/// Handles one completion request, streamed or not.
///
/// # Errors
/// `ApiFailure` when the request is invalid or refused, or when an answer that is
/// not streamed fails.
pub async fn complete(
    context: Arc<ApiContext>,
    mut request: EntryRequest,
    format: ResponseFormat,
) -> ApiResult {
    let access = authenticate(&context, &request).await?;
    let held_body = request.body().await?;
    let body = match format {
        ResponseFormat::Text => parse_completion(held_body.bytes())?,
        ResponseFormat::Chat => parse_chat(held_body.bytes())?,
    };
    let stream = body.stream;
    let run = submit_prompt(&context, &access, &request, body, held_body)?;
    let public_id = run.public_id.clone();
    let mut response = if stream {
        stream_response(run, format).await?
    } else {
        full_response(run, format).await?
    };
    response.insert_header("X-Request-Id", public_id);
    response.insert_header("X-Note-Version", access.state.version.to_string());
    Ok(response)
}

async fn full_response(mut run: PromptRun, format: ResponseFormat) -> ApiResult {
    let mut text = String::new();
    loop {
        match run.next().await? {
            PromptUpdate::Token { text: token, .. } => text.push_str(&token),
            PromptUpdate::Finished { tokens } => {
                return Ok(json_response(&format.full_response(
                    &run,
                    now_seconds(),
                    &text,
                    tokens,
                )));
            }
            PromptUpdate::Started { .. } | PromptUpdate::Refused { .. } => {}
        }
    }
}

/// Waits for the first update before it sends the response, so that a refusal
/// still gets its own HTTP status.
async fn stream_response(
    mut run: PromptRun,
    format: ResponseFormat,
) -> Result<Response, ApiFailure> {
    let first = run.next().await?;
    let (response, sink) = event_stream();
    smol::spawn(send_events(run, format, first, sink)).detach();
    Ok(response)
}

async fn send_events(
    mut run: PromptRun,
    format: ResponseFormat,
    first: PromptUpdate,
    mut sink: EventSink,
) {
    let created = now_seconds();
    let mut update: Result<PromptUpdate, ApiFailure> = Ok(first);
    loop {
        let sent = match update {
            Ok(PromptUpdate::Token { index, text }) => {
                let position = StreamPosition::Token(index);
                sink.send(&format.chunk(&run, created, position, &text))
                    .await
            }
            Ok(PromptUpdate::Finished { tokens }) => {
                send_final_events(&run, format, created, tokens, &mut sink).await;
                return;
            }
            Ok(_) => true,
            Err(failure) => {
                // `[DONE]` is left out, so that the caller does not take the answer
                // as complete.
                sink.send_text(&failure.body()).await;
                return;
            }
        };
        if !sent {
            return;
        }
        update = run.next().await;
    }
}

async fn send_final_events(
    run: &PromptRun,
    format: ResponseFormat,
    created: u64,
    tokens: TokenCount,
    sink: &mut EventSink,
) {
    let last = format.chunk(run, created, StreamPosition::End(tokens), "");
    if sink.send(&last).await {
        sink.send_text("[DONE]").await;
    }
}

fn now_seconds() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |duration| duration.as_secs())
}
