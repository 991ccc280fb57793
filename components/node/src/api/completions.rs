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
    access::recognise,
    answer::{ApiResult, json_response},
    prompt_body::{parse_chat, parse_completion},
    prompt_run::{PromptRun, submit_prompt},
    shape::{AnswerShape, StreamPlace},
};
use crate::prompts::PromptUpdate;

/// Answers one completion request.
///
/// # Errors
/// `ApiFailure` when no answer could be begun.
pub async fn complete(
    parts: Arc<ApiContext>,
    mut request: EntryRequest,
    shape: AnswerShape,
) -> ApiResult {
    let access = recognise(&parts, &request).await?;
    let held = request.body().await?;
    let body = match shape {
        AnswerShape::Text => parse_completion(held.bytes())?,
        AnswerShape::Chat => parse_chat(held.bytes())?,
    };
    let stream = body.stream;
    let run = submit_prompt(&parts, &access, &request, body, held)?;
    let shown_id = run.shown_id.clone();
    let mut response = if stream {
        stream_answer(run, shape).await?
    } else {
        whole_answer(run, shape).await?
    };
    response.insert_header("X-Request-Id", shown_id);
    response.insert_header("X-Note-Version", access.state.version.to_string());
    Ok(response)
}

async fn whole_answer(mut run: PromptRun, shape: AnswerShape) -> ApiResult {
    let mut text = String::new();
    loop {
        match run.next().await? {
            PromptUpdate::Token { text: part, .. } => text.push_str(&part),
            PromptUpdate::Finished { tokens } => {
                return Ok(json_response(&shape.whole(
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

/// Waits for the first sign of the answer, so that a refusal still gets its
/// own status, then streams.
async fn stream_answer(mut run: PromptRun, shape: AnswerShape) -> Result<Response, ApiFailure> {
    let first = run.next().await?;
    let (response, sink) = event_stream();
    smol::spawn(send_events(run, shape, first, sink)).detach();
    Ok(response)
}

async fn send_events(
    mut run: PromptRun,
    shape: AnswerShape,
    first: PromptUpdate,
    mut sink: EventSink,
) {
    let created = now_seconds();
    let mut update: Result<PromptUpdate, ApiFailure> = Ok(first);
    loop {
        let sent = match update {
            Ok(PromptUpdate::Token { index, text }) => {
                let place = StreamPlace::Token(index);
                sink.send(&shape.chunk(&run, created, place, &text)).await
            }
            Ok(PromptUpdate::Finished { tokens }) => {
                finish_events(&run, shape, created, tokens, &mut sink).await;
                return;
            }
            Ok(_) => true,
            Err(failure) => {
                // No end marker: the caller must not take the answer as whole.
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

async fn finish_events(
    run: &PromptRun,
    shape: AnswerShape,
    created: u64,
    tokens: TokenCount,
    sink: &mut EventSink,
) {
    let last = shape.chunk(run, created, StreamPlace::End(tokens), "");
    if sink.send(&last).await {
        sink.send_text("[DONE]").await;
    }
}

fn now_seconds() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |duration| duration.as_secs())
}
