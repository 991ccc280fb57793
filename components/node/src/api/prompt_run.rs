//! From a recognised caller to an open prompt, and from its end to a failure.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use entry::{ApiFailure, BufferedBody, EntryRequest, FailureKind, HeaderName};
use routing::RefusalReason;
use telemetry::{HopKind, HopSpan};
use types::{PromptJob, RequestId, TokenCount};

use super::{
    ApiParts,
    access::{CallerAccess, ResolvedModel},
    prompt_body::PromptBody,
};
use crate::prompts::{PromptSubmission, PromptTicket, PromptUpdate, refusal_code};

const MAX_REQUEST_ID_CHARS: usize = 64;

/// A prompt that has been handed to the scheduler.
pub struct PromptRun {
    /// Id shown to the caller.
    pub shown_id: String,
    /// Name of the model as the caller gave it.
    pub model: String,
    /// Most tokens to generate.
    pub output_tokens: TokenCount,
    /// Prompt length as estimated.
    pub prompt_tokens: TokenCount,
    /// Prompt tokens found in a cache, once known.
    pub cached_tokens: TokenCount,
    /// The updates.
    pub ticket: PromptTicket,
    /// Span of the call.
    pub span: HopSpan,
    /// Counts the body's memory until the end.
    _held: BufferedBody,
}

/// Hands a prompt in.
///
/// # Errors
/// `ApiFailure` when the prompt is longer than its model takes.
pub fn submit_prompt(
    parts: &Arc<ApiParts>,
    access: &CallerAccess,
    request: &EntryRequest,
    body: PromptBody,
    mut held: BufferedBody,
) -> Result<PromptRun, ApiFailure> {
    let resolved = access.resolve(&body.model)?;
    let prompt_tokens = types::estimate_tokens(&body.text);
    require_context(access, &resolved, prompt_tokens + body.output_tokens)?;
    let shown_id = shown_request_id(request);
    let internal = format!("{shown_id}.{:08x}", rand::random::<u32>());
    let traceparent = request.header(HeaderName::Traceparent);
    let span = parts
        .tracer
        .start("prompt", HopKind::Server, traceparent, &internal, "caller");
    span.note("organisation", access.organisation.clone());
    let job = prompt_job(parts, access, request, &resolved, &body, internal)?;
    held.clear();
    let ticket = parts.prompts.submit(PromptSubmission {
        job,
        text: body.text.into(),
        resume_at: 0,
        via: None,
        traceparent: span.traceparent(),
    });
    Ok(PromptRun {
        shown_id,
        model: body.model,
        output_tokens: body.output_tokens,
        prompt_tokens,
        cached_tokens: 0,
        ticket,
        span,
        _held: held,
    })
}

impl PromptRun {
    /// The next update that a caller sees; the counts are kept here.
    ///
    /// # Errors
    /// `ApiFailure` when the prompt ended without a whole answer.
    pub async fn next(&mut self) -> Result<PromptUpdate, ApiFailure> {
        match self.ticket.next().await {
            Some(PromptUpdate::Refused {
                reason,
                retry_after,
            }) => {
                self.span.fail(refusal_code(reason));
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
            None => Err(given_up()),
        }
    }

    /// Why generation ended.
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
    parts: &ApiParts,
    access: &CallerAccess,
    request: &EntryRequest,
    resolved: &ResolvedModel,
    body: &PromptBody,
    id: RequestId,
) -> Result<PromptJob, ApiFailure> {
    let arrived = parts.clock.now();
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
        zone: parts.settings.node.zone.clone(),
        arrived,
        deadline: deadline(parts, request, arrived)?,
    })
}

/// The deadline the caller asked for, within what settings allow.
pub fn deadline(
    parts: &ApiParts,
    request: &EntryRequest,
    arrived: Instant,
) -> Result<Instant, ApiFailure> {
    let timeouts = &parts.settings.timeouts;
    let asked: Option<u64> = request.number(HeaderName::DeadlineMs)?;
    let limit_ms = asked
        .unwrap_or(timeouts.default_deadline_ms)
        .min(timeouts.longest_deadline_ms);
    Ok(arrived + Duration::from_millis(limit_ms))
}

fn require_context(
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

/// The caller's id when it is a plain name, else a new one.
fn shown_request_id(request: &EntryRequest) -> String {
    let given = request.header(HeaderName::RequestId);
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_".contains(&byte);
    let valid = !given.is_empty() && given.len() <= MAX_REQUEST_ID_CHARS;
    if valid && given.bytes().all(plain) {
        return given.to_owned();
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

fn given_up() -> ApiFailure {
    ApiFailure::new(
        FailureKind::Internal,
        "given_up",
        "the node gave the prompt up; send it again",
    )
}
