//! Submits the prompts of authenticated callers and converts refusals into API
//! failures.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use entry::{ApiFailure, BufferedBody, EntryRequest, FailureKind, HeaderName};
use routing::RefusalReason;
use telemetry::{HopKind, HopSpan};
use types::{PromptJob, RequestId, TokenCount};

use super::{
    ApiContext,
    access::{CallerAccess, ResolvedModel},
    prompt_body::PromptBody,
};
use crate::prompts::{PromptHandle, PromptSubmission, PromptUpdate, refusal_code};

const MAX_REQUEST_ID_CHARS: usize = 64;

/// A prompt that a caller submitted, with the values that its response needs.
pub struct PromptRun {
    /// Request id sent to the caller in `X-Request-Id`.
    pub public_id: String,
    /// Name of the model or adapter, as the caller sent it.
    pub model: String,
    /// Maximum number of tokens to generate.
    pub output_tokens: TokenCount,
    /// Prompt length: an estimate until the engine has counted the tokens.
    pub prompt_tokens: TokenCount,
    /// Prompt tokens found in a KV cache; 0 until the engine has reported them.
    pub cached_tokens: TokenCount,
    /// Receives the updates; dropping it cancels the prompt.
    pub handle: PromptHandle,
    /// Span of the caller's request.
    pub span: HopSpan,
    /// Keeps the body's memory counted in the budget until the prompt ends.
    _held_body: BufferedBody,
}

/// Checks the prompt's model and length, gives it ids and a deadline, and submits it
/// to the prompt service.
///
/// # Errors
/// `ApiFailure` when the model is unknown, a header is invalid, or prompt and
/// answer exceed the model's context length.
pub fn submit_prompt(
    context: &Arc<ApiContext>,
    access: &CallerAccess,
    request: &EntryRequest,
    body: PromptBody,
    mut held_body: BufferedBody,
) -> Result<PromptRun, ApiFailure> {
    let resolved = access.resolve_model(&body.model)?;
    let prompt_tokens = types::estimate_tokens(&body.text);
    require_context_length(access, &resolved, prompt_tokens + body.output_tokens)?;
    let public_id = public_request_id(request);
    let internal_id = format!("{public_id}.{:08x}", rand::random::<u32>());
    let traceparent = request.header(HeaderName::Traceparent);
    let span = context.tracer.start(
        "prompt",
        HopKind::Server,
        traceparent,
        &internal_id,
        "caller",
    );
    span.set_attribute("organisation", access.organisation.clone());
    let job = prompt_job(context, access, request, &resolved, &body, internal_id)?;
    held_body.clear();
    let handle = context.prompts.submit(PromptSubmission {
        job,
        text: body.text.into(),
        resume_at: 0,
        via: None,
        traceparent: span.traceparent(),
    });
    Ok(PromptRun {
        public_id,
        model: body.model,
        output_tokens: body.output_tokens,
        prompt_tokens,
        cached_tokens: 0,
        handle,
        span,
        _held_body: held_body,
    })
}

impl PromptRun {
    /// Waits for the next update and records the token counts it carries.
    ///
    /// # Errors
    /// `ApiFailure` when the prompt ended without a complete answer.
    pub async fn next(&mut self) -> Result<PromptUpdate, ApiFailure> {
        match self.handle.next().await {
            Some(PromptUpdate::Refused {
                reason,
                retry_after,
            }) => {
                self.span.set_failed(refusal_code(reason));
                Err(refusal_failure(reason, retry_after))
            }
            Some(update) => {
                if let PromptUpdate::Started {
                    prompt_tokens,
                    cached_tokens,
                } = update
                {
                    self.prompt_tokens = prompt_tokens;
                    self.cached_tokens = cached_tokens;
                }
                Ok(update)
            }
            None => Err(updates_closed_failure()),
        }
    }

    /// Returns the OpenAI `finish_reason` of an answer with `tokens` tokens.
    #[must_use]
    pub fn finish_reason(&self, tokens: TokenCount) -> &'static str {
        if tokens >= self.output_tokens {
            "length"
        } else {
            "stop"
        }
    }
}

fn prompt_job(
    context: &ApiContext,
    access: &CallerAccess,
    request: &EntryRequest,
    resolved: &ResolvedModel,
    body: &PromptBody,
    id: RequestId,
) -> Result<PromptJob, ApiFailure> {
    let arrived = context.clock.now();
    let prefixes = types::prefix_hashes(
        &resolved.model,
        &resolved.version,
        resolved.adapter.as_ref(),
        &body.text,
    );
    Ok(PromptJob {
        request: id,
        organisation: access.organisation.clone(),
        plan: access.entry.plan,
        weight: access.entry.weight,
        model: resolved.model.clone(),
        version: resolved.version.clone(),
        adapter: resolved.adapter.clone(),
        note_version: access.state.version,
        prompt_tokens: types::estimate_tokens(&body.text),
        output_tokens: body.output_tokens,
        prefixes,
        zone: context.settings.node.zone.clone(),
        arrived,
        deadline: request_deadline(context, request, arrived)?,
    })
}

/// Returns the deadline that the caller requested or the default one, limited by the
/// settings.
///
/// # Errors
/// `ApiFailure` when the deadline header is malformed.
pub fn request_deadline(
    context: &ApiContext,
    request: &EntryRequest,
    arrived: Instant,
) -> Result<Instant, ApiFailure> {
    let timeouts = &context.settings.timeouts;
    let requested_ms: Option<u64> = request.number(HeaderName::DeadlineMs)?;
    let limit_ms = requested_ms
        .unwrap_or(timeouts.default_deadline_ms)
        .min(timeouts.longest_deadline_ms);
    Ok(arrived + Duration::from_millis(limit_ms))
}

fn require_context_length(
    access: &CallerAccess,
    resolved: &ResolvedModel,
    tokens: TokenCount,
) -> Result<(), ApiFailure> {
    let limit = access
        .state
        .models
        .get(&resolved.model)
        .map_or(0, |model| model.context_tokens);
    if tokens <= limit {
        return Ok(());
    }
    let message = format!(
        "prompt and answer may need {tokens} tokens, model {} takes {limit}",
        resolved.model
    );
    Err(ApiFailure::new(
        FailureKind::Unprocessable,
        "context_length_exceeded",
        message,
    ))
}

/// Returns the caller's request id if it is at most `MAX_REQUEST_ID_CHARS` letters,
/// digits, `-` and `_`, otherwise a random id.
fn public_request_id(request: &EntryRequest) -> String {
    let requested_id = request.header(HeaderName::RequestId);
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_".contains(&byte);
    let valid = !requested_id.is_empty() && requested_id.len() <= MAX_REQUEST_ID_CHARS;
    if valid && requested_id.bytes().all(is_allowed) {
        return requested_id.to_owned();
    }
    format!("{:016x}", rand::random::<u64>())
}

fn refusal_failure(reason: RefusalReason, retry_after: Duration) -> ApiFailure {
    let (kind, message) = match reason {
        RefusalReason::OrganisationLimit => (
            FailureKind::TooManyRequests,
            "the organisation is over its limit",
        ),
        RefusalReason::DeadlineUnreachable => (
            FailureKind::Unavailable,
            "the answer can't be ready by the deadline",
        ),
        RefusalReason::QueueFull => (FailureKind::Unavailable, "the queues are full"),
        RefusalReason::TrialShed => (
            FailureKind::Unavailable,
            "trial work gives way to paying work",
        ),
        RefusalReason::TooLong => (
            FailureKind::Unprocessable,
            "no group of engines can hold a prompt of this length",
        ),
        RefusalReason::ModelNotReady => {
            (FailureKind::Unavailable, "no engine holds the model ready")
        }
        RefusalReason::Quarantined => (
            FailureKind::Unprocessable,
            "the prompt crashed engines that ran it; it is not run again for a while",
        ),
        RefusalReason::RetriesExhausted => (
            FailureKind::BadGateway,
            "the engines that ran the prompt failed",
        ),
    };
    let failure = ApiFailure::new(kind, refusal_code(reason), message);
    if reason == RefusalReason::TooLong {
        return failure;
    }
    failure.with_retry_after(retry_after)
}

fn updates_closed_failure() -> ApiFailure {
    ApiFailure::new(
        FailureKind::Internal,
        "given_up",
        "the node gave the prompt up; send it again",
    )
}
