//! One attempt of a prompt on this node's engines.

use std::{sync::Arc, time::Duration};

use engines::DeathId;
use errors::UpstreamError;
use futures_lite::StreamExt;
use kernel::CancellationToken;
use membership::CallEvidence;
use routing::SchedulerEvent;
use telemetry::{HopKind, HopSpan};
use types::{AttemptId, EngineId, IncarnationNumber, RequestId, TokenCount};
use upstream::{EngineCall, EngineEvent};

use super::{
    PromptService, PromptUpdate,
    delivery::TokenOutcome,
    gang::GangHold,
    open::{OpenPrompt, PromptWork},
};
use crate::{directory::KnownEngine, quarantine::LostPrompt};

/// Longest time that a retry, or the answer, waits for other nodes to know of
/// a death.
const TELL_LIMIT: Duration = Duration::from_millis(100);

/// An attempt under way.
pub(super) struct RunningAttempt {
    service: Arc<PromptService>,
    request: RequestId,
    attempt: AttemptId,
    engines: Vec<EngineId>,
    /// The engine called, as known when the attempt began.
    engine: Option<KnownEngine>,
    /// The engine's life then.
    life: IncarnationNumber,
    call: EngineCall,
    token: CancellationToken,
    span: HopSpan,
}

enum AttemptEnd {
    Finished(TokenCount),
    /// The prompt was given up or taken from this attempt.
    Dropped,
    NoMemory(EngineId),
    Failed(UpstreamError),
}

impl PromptService {
    pub(super) fn start_attempt(
        self: &Arc<Self>,
        request: RequestId,
        attempt: AttemptId,
        engines: Vec<EngineId>,
        priority: u32,
    ) {
        let Some(first) = engines.first().cloned() else {
            return;
        };
        let prepared = self.with_open(|open| {
            let prompt = open.get_mut(&request)?;
            prompt.token = CancellationToken::new();
            prompt.work = PromptWork::Attempt(attempt);
            prompt.engine = Some(first.clone());
            prompt.attempts = prompt.attempts.max(attempt);
            let span = self.tracer.start(
                "engine",
                HopKind::Client,
                &prompt.traceparent,
                &request,
                &first,
            );
            let call = engine_call(prompt, attempt, priority, &span, self.deadline_in(prompt));
            Some((call, prompt.token.clone(), span))
        });
        let Some((call, token, span)) = prepared else {
            return;
        };
        let running = RunningAttempt {
            service: Arc::clone(self),
            request,
            attempt,
            engine: self.directory.engine(&first),
            life: self
                .directory
                .newest_incarnation(&first)
                .unwrap_or_default(),
            engines,
            call,
            token,
            span,
        };
        smol::spawn(running.run()).detach();
    }

    fn deadline_in(&self, prompt: &OpenPrompt) -> Duration {
        let now = self.clock.now();
        prompt.job.deadline.saturating_duration_since(now)
    }

    /// Stops an attempt; its engines are told and its memory is freed.
    pub(super) fn abandon(
        self: &Arc<Self>,
        request: &RequestId,
        attempt: AttemptId,
        engines: Vec<EngineId>,
    ) {
        self.with_open(|open| {
            if let Some(prompt) = open.get_mut(request)
                && prompt.work == PromptWork::Attempt(attempt)
            {
                prompt.token.cancel();
                prompt.work = PromptWork::Queued;
            }
        });
        let service = Arc::clone(self);
        let request = request.clone();
        smol::spawn(async move {
            for engine in engines {
                service.cancel_on(&engine, &request, attempt).await;
            }
        })
        .detach();
    }

    async fn cancel_on(&self, engine: &EngineId, request: &RequestId, attempt: AttemptId) {
        let Some(known) = self.directory.engine(engine) else {
            return;
        };
        if let Err(error) = known.client.cancel(request, attempt).await {
            self.metrics.count_failure("cancel", engine);
            log::warn!(
                "event=cancel_failed request={request} attempt={attempt} engine={engine} \
                 cause=\"{error}\""
            );
        }
    }
}

fn engine_call(
    prompt: &OpenPrompt,
    attempt: AttemptId,
    priority: u32,
    span: &HopSpan,
    deadline_in: Duration,
) -> EngineCall {
    EngineCall {
        request: prompt.job.request.clone(),
        attempt,
        model: prompt.job.model.clone(),
        version: prompt.job.version.clone(),
        adapter: prompt.job.adapter.clone(),
        prompt: prompt.text.to_string(),
        output_tokens: prompt.job.output_tokens,
        resume_at: prompt.delivered,
        priority,
        deadline_in,
        members: Vec::new(),
        traceparent: span.traceparent(),
    }
}

impl RunningAttempt {
    async fn run(self) {
        let token = self.token.clone();
        let end = smol::future::or(self.try_run(), async {
            token.cancelled().await;
            AttemptEnd::Dropped
        })
        .await;
        self.report(end).await;
    }

    async fn try_run(&self) -> AttemptEnd {
        let mut call = self.call.clone();
        let _hold = if self.engines.len() > 1 {
            match self.reserve_gang(&mut call).await {
                Ok(hold) => Some(hold),
                Err(end) => return end,
            }
        } else {
            None
        };
        match self.stream(call).await {
            Ok(end) => end,
            Err(error) => AttemptEnd::Failed(error),
        }
    }

    async fn reserve_gang(&self, call: &mut EngineCall) -> Result<GangHold, AttemptEnd> {
        let tokens = estimate_total(call);
        let hold = GangHold::reserve(
            &self.service,
            &self.request,
            self.attempt,
            &self.engines,
            tokens,
        )
        .await
        .map_err(AttemptEnd::NoMemory)?;
        call.members = hold.members()[1..].to_vec();
        Ok(hold)
    }

    async fn stream(&self, call: EngineCall) -> Result<AttemptEnd, UpstreamError> {
        let engine = &self.engines[0];
        let known = self.engine.as_ref();
        let known = known.ok_or_else(|| unknown_engine(engine))?;
        let mut stream = known.client.submit(call).await?;
        while let Some(event) = stream.next().await {
            if let Some(end) = self.take(event?).await? {
                return Ok(end);
            }
        }
        Err(self.malformed("the stream ended without an end event".to_owned()))
    }

    async fn take(&self, event: EngineEvent) -> Result<Option<AttemptEnd>, UpstreamError> {
        match event {
            EngineEvent::Started {
                attempt,
                prompt_tokens,
                cached_tokens,
            } if attempt == self.attempt => {
                self.started(prompt_tokens, cached_tokens).await;
                Ok(None)
            }
            EngineEvent::Token {
                attempt,
                index,
                text,
            } if attempt == self.attempt => {
                let delivered = self.deliver(index, text).await?;
                Ok((!delivered).then_some(AttemptEnd::Dropped))
            }
            EngineEvent::Finished { attempt, tokens } if attempt == self.attempt => {
                self.finished(tokens)
            }
            EngineEvent::Failed { attempt, cause } if attempt == self.attempt => {
                Err(self.malformed(cause))
            }
            // Another attempt's late event: not this caller's answer.
            _ => Ok(None),
        }
    }

    /// An end that names more or fewer tokens than came is not taken as whole.
    fn finished(&self, tokens: TokenCount) -> Result<Option<AttemptEnd>, UpstreamError> {
        if self.service.is_whole(&self.request, tokens) {
            return Ok(Some(AttemptEnd::Finished(tokens)));
        }
        Err(self.malformed(format!("the answer ended at {tokens} tokens, others came")))
    }

    async fn started(&self, prompt_tokens: TokenCount, cached_tokens: TokenCount) {
        self.service.handle(SchedulerEvent::Started {
            request: self.request.clone(),
            attempt: self.attempt,
            prompt_tokens,
            cached_tokens,
        });
        let updates = self.service.with_open(|open| {
            let prompt = open.get(&self.request)?;
            Some(prompt.updates.clone())
        });
        if let Some(updates) = updates {
            let update = PromptUpdate::Started {
                prompt_tokens,
                cached_tokens,
            };
            updates.send(update).await.ok();
        }
    }

    /// Hands a token on; `false` when the prompt is not this attempt's.
    async fn deliver(&self, index: TokenCount, text: String) -> Result<bool, UpstreamError> {
        let service = &self.service;
        let work = self.work();
        let outcome = service.deliver(&self.request, &work, index, text).await;
        match outcome {
            TokenOutcome::Delivered { first } => {
                if first {
                    service.handle(SchedulerEvent::FirstToken {
                        request: self.request.clone(),
                        attempt: self.attempt,
                    });
                }
                Ok(true)
            }
            TokenOutcome::Repeated => Ok(true),
            TokenOutcome::Gone => Ok(false),
            TokenOutcome::Gap { due } => {
                Err(self.malformed(format!("token {index} came where {due} was due")))
            }
        }
    }

    fn work(&self) -> PromptWork {
        PromptWork::Attempt(self.attempt)
    }

    fn malformed(&self, cause: String) -> UpstreamError {
        UpstreamError::Malformed {
            step: "stream".to_owned(),
            peer: self.engines[0].clone(),
            cause,
        }
    }

    async fn report(&self, end: AttemptEnd) {
        let request = self.request.clone();
        let attempt = self.attempt;
        match end {
            AttemptEnd::Finished(output_tokens) => {
                self.service.handle(SchedulerEvent::Finished {
                    request: request.clone(),
                    attempt,
                    output_tokens,
                });
                self.service.finish(&request, output_tokens);
            }
            AttemptEnd::Dropped => self.span.fail("dropped"),
            AttemptEnd::NoMemory(engine) => {
                self.span.fail("no memory for the group");
                self.service.release_work(&self.request, &self.work());
                self.service.handle(SchedulerEvent::GangReservationRefused {
                    request,
                    attempt,
                    engine,
                });
            }
            AttemptEnd::Failed(error) => self.report_failure(&error).await,
        }
    }

    async fn report_failure(&self, error: &UpstreamError) {
        self.span.fail(&error.to_string());
        self.service
            .metrics
            .count_failure("attempt", &self.engines[0]);
        log::warn!(
            "event=attempt_failed request={} attempt={} engine={} cause=\"{error}\"",
            self.request,
            self.attempt,
            self.engines[0]
        );
        if is_engine_fault(error) {
            self.doubt_engine();
            self.note_death().await;
        }
        self.service.count_failure(&self.request);
        let delivered = self.service.release_work(&self.request, &self.work());
        let failure = SchedulerEvent::Failed {
            request: self.request.clone(),
            attempt: self.attempt,
            delivered,
            retryable: is_retryable(error),
        };
        self.service.admit(&self.request, failure);
    }

    /// Counts the failure against the engine; the scheduler sends nothing there
    /// until its next report.
    fn doubt_engine(&self) {
        let engine = &self.engines[0];
        if let Some(known) = self.service.directory.engine(engine) {
            let directory = &self.service.directory;
            directory.record_call(engine, known.incarnation, CallEvidence::Failed);
        }
    }

    /// Finds out whether the engine's life ended, and holds it against the
    /// prompt if so.
    async fn note_death(&self) {
        let Some(known) = &self.engine else {
            return;
        };
        let alive = match known.client.report().await {
            Ok(report) => report.profile.incarnation == self.life,
            Err(_) => false,
        };
        if alive {
            return;
        }
        let death = DeathId {
            engine: known.id.clone(),
            incarnation: self.life,
        };
        // All that ran there, whether or not their tasks have noticed yet.
        let lost: Vec<LostPrompt> = self.service.with_open(|open| {
            let there = open.values().filter(|prompt| prompt.runs_on(&known.id));
            there.map(OpenPrompt::lost).collect()
        });
        if !lost.is_empty() {
            let records = self.service.quarantine.died(&death, &lost);
            // The others know before the prompt runs again or its caller can
            // send it to them.
            self.service
                .peers
                .broadcast_deaths(records, TELL_LIMIT)
                .await;
        }
    }
}

fn estimate_total(call: &EngineCall) -> TokenCount {
    types::estimate_tokens(&call.prompt) + call.output_tokens
}

fn unknown_engine(engine: &EngineId) -> UpstreamError {
    UpstreamError::Refused {
        step: "submit".to_owned(),
        peer: engine.clone(),
        status: 0,
        cause: "the engine is not listed any more".to_owned(),
        retry_after: None,
    }
}

/// Whether the engine itself may be at fault, rather than the prompt.
fn is_engine_fault(error: &UpstreamError) -> bool {
    match error {
        UpstreamError::Broken { .. }
        | UpstreamError::Overdue { .. }
        | UpstreamError::Malformed { .. } => true,
        UpstreamError::Refused { .. } | UpstreamError::Fenced { .. } => false,
    }
}

/// Prompts are idempotent: only a refusal of the content is final.
fn is_retryable(error: &UpstreamError) -> bool {
    match error {
        UpstreamError::Refused { status, .. } => !matches!(status, 400 | 413 | 422),
        _ => true,
    }
}
