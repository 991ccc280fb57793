//! Runs an attempt of a prompt on engines of this node.

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
    gang::GangReservation,
    open::{EngineRun, OpenPrompt, PromptAssignment},
};
use crate::{
    directory::KnownEngine,
    quarantine::{DEATH_SETTLE_TIME, LostPrompt},
};

/// Longest time that a retry or the final update waits for other nodes to learn
/// of an engine's death. Only a node that doesn't answer lets it pass.
const DEATH_BROADCAST_TIMEOUT: Duration = Duration::from_secs(1);

/// An attempt in flight, on one engine or on all engines of a gang.
pub(super) struct RunningAttempt {
    service: Arc<PromptService>,
    request: RequestId,
    attempt: AttemptId,
    /// The first one receives the call; the others are members of the gang.
    engines: Vec<EngineId>,
    /// The first engine's directory entry when the attempt began.
    first_engine: Option<KnownEngine>,
    /// The first engine's incarnation when the attempt began.
    incarnation: IncarnationNumber,
    call: EngineCall,
    token: CancellationToken,
    span: HopSpan,
}

enum AttemptOutcome {
    Finished(TokenCount),
    /// The prompt was cancelled or assigned elsewhere.
    Cancelled,
    /// This engine of the gang granted no memory or could not be called.
    ReservationFailed(EngineId),
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
        let incarnation = self
            .directory
            .newest_incarnation(&first)
            .unwrap_or_default();
        let prepared = self.with_open_prompts(|prompts| {
            let prompt = prompts.get_mut(&request)?;
            prompt.token = CancellationToken::new();
            prompt.assignment = PromptAssignment::Attempt(attempt);
            prompt.run = Some(EngineRun {
                engine: first.clone(),
                incarnation,
                accepted: false,
            });
            prompt.attempts = prompt.attempts.max(attempt);
            let span = self.tracer.start(
                "engine",
                HopKind::Client,
                &prompt.traceparent,
                &request,
                &first,
            );
            let call = engine_call(
                prompt,
                attempt,
                priority,
                &span,
                self.time_to_deadline(prompt),
            );
            Some((call, prompt.token.clone(), span))
        });
        let Some((call, token, span)) = prepared else {
            return;
        };
        let running = RunningAttempt {
            service: Arc::clone(self),
            request,
            attempt,
            first_engine: self.directory.engine(&first),
            incarnation,
            engines,
            call,
            token,
            span,
        };
        smol::spawn(running.run()).detach();
    }

    fn time_to_deadline(&self, prompt: &OpenPrompt) -> Duration {
        let now = self.clock.now();
        prompt.job.deadline.saturating_duration_since(now)
    }

    /// Stops an attempt and cancels it on its engines, which free its memory.
    pub(super) fn cancel_attempt(
        self: &Arc<Self>,
        request: &RequestId,
        attempt: AttemptId,
        engines: Vec<EngineId>,
    ) {
        self.with_open_prompts(|prompts| {
            if let Some(prompt) = prompts.get_mut(request)
                && prompt.assignment == PromptAssignment::Attempt(attempt)
            {
                prompt.token.cancel();
                prompt.assignment = PromptAssignment::Queued;
            }
        });
        let service = Arc::clone(self);
        let request = request.clone();
        smol::spawn(async move {
            for engine in engines {
                service.send_cancel(&engine, &request, attempt).await;
            }
        })
        .detach();
    }

    async fn send_cancel(&self, engine: &EngineId, request: &RequestId, attempt: AttemptId) {
        let Some(known_engine) = self.directory.engine(engine) else {
            return;
        };
        if let Err(error) = known_engine.client.cancel(request, attempt).await {
            self.metrics.count_peer_failure("cancel", engine);
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
        let outcome = smol::future::or(self.execute(), async {
            token.cancelled().await;
            AttemptOutcome::Cancelled
        })
        .await;
        self.report_outcome(outcome).await;
    }

    async fn execute(&self) -> AttemptOutcome {
        let mut call = self.call.clone();
        let _reservation = if self.engines.len() > 1 {
            match self.reserve_gang(&mut call).await {
                Ok(reservation) => Some(reservation),
                Err(outcome) => return outcome,
            }
        } else {
            None
        };
        match self.stream(call).await {
            Ok(outcome) => outcome,
            Err(error) => AttemptOutcome::Failed(error),
        }
    }

    async fn reserve_gang(&self, call: &mut EngineCall) -> Result<GangReservation, AttemptOutcome> {
        let tokens = estimate_total_tokens(call);
        let reservation = GangReservation::reserve(
            &self.service,
            &self.request,
            self.attempt,
            &self.engines,
            tokens,
        )
        .await
        .map_err(AttemptOutcome::ReservationFailed)?;
        call.members = reservation.members()[1..].to_vec();
        Ok(reservation)
    }

    async fn stream(&self, call: EngineCall) -> Result<AttemptOutcome, UpstreamError> {
        let engine = &self.engines[0];
        let known_engine = self.first_engine.as_ref();
        let known_engine = known_engine.ok_or_else(|| unlisted_engine_error(engine))?;
        let mut stream = known_engine.client.submit(call).await?;
        self.record_accepted();
        while let Some(event) = stream.next().await {
            if let Some(outcome) = self.handle_event(event?).await? {
                return Ok(outcome);
            }
        }
        Err(self.malformed_error("the stream ended without an end event".to_owned()))
    }

    fn record_accepted(&self) {
        self.service.with_open_prompts(|prompts| {
            if let Some(prompt) = prompts.get_mut(&self.request)
                && prompt.assignment == self.assignment()
                && let Some(run) = &mut prompt.run
            {
                run.accepted = true;
            }
        });
    }

    async fn handle_event(
        &self,
        event: EngineEvent,
    ) -> Result<Option<AttemptOutcome>, UpstreamError> {
        match event {
            EngineEvent::Started {
                attempt,
                prompt_tokens,
                cached_tokens,
            } if attempt == self.attempt => {
                self.report_started(prompt_tokens, cached_tokens).await;
                Ok(None)
            }
            EngineEvent::Token {
                attempt,
                index,
                text,
            } if attempt == self.attempt => {
                let delivered = self.deliver(index, text).await?;
                Ok((!delivered).then_some(AttemptOutcome::Cancelled))
            }
            EngineEvent::Finished { attempt, tokens } if attempt == self.attempt => {
                self.check_completeness(tokens)
            }
            EngineEvent::Failed { attempt, cause } if attempt == self.attempt => {
                Err(self.malformed_error(cause))
            }
            // A late event of another attempt is not part of this answer.
            _ => Ok(None),
        }
    }

    /// Fails the attempt when the end event names a number of tokens other than
    /// the number received.
    fn check_completeness(
        &self,
        tokens: TokenCount,
    ) -> Result<Option<AttemptOutcome>, UpstreamError> {
        if self.service.is_complete(&self.request, tokens) {
            return Ok(Some(AttemptOutcome::Finished(tokens)));
        }
        Err(self.malformed_error(format!(
            "the end event names {tokens} tokens, but another number was received"
        )))
    }

    async fn report_started(&self, prompt_tokens: TokenCount, cached_tokens: TokenCount) {
        self.service.handle(SchedulerEvent::Started {
            request: self.request.clone(),
            attempt: self.attempt,
            prompt_tokens,
            cached_tokens,
        });
        let updates = self.service.with_open_prompts(|prompts| {
            let prompt = prompts.get(&self.request)?;
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

    /// Delivers a token. Returns `false` when the prompt is no longer assigned to
    /// this attempt or its caller has gone.
    async fn deliver(&self, index: TokenCount, text: String) -> Result<bool, UpstreamError> {
        let service = &self.service;
        let assignment = self.assignment();
        let outcome = service
            .deliver(&self.request, &assignment, index, text)
            .await;
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
            TokenOutcome::Duplicate => Ok(true),
            TokenOutcome::Stale => Ok(false),
            TokenOutcome::Gap { expected } => {
                Err(self
                    .malformed_error(format!("received token {index}, expected token {expected}")))
            }
        }
    }

    fn assignment(&self) -> PromptAssignment {
        PromptAssignment::Attempt(self.attempt)
    }

    fn malformed_error(&self, cause: String) -> UpstreamError {
        UpstreamError::Malformed {
            step: "stream".to_owned(),
            peer: self.engines[0].clone(),
            cause,
        }
    }

    async fn report_outcome(&self, outcome: AttemptOutcome) {
        let request = self.request.clone();
        let attempt = self.attempt;
        match outcome {
            AttemptOutcome::Finished(output_tokens) => {
                self.service.handle(SchedulerEvent::Finished {
                    request: request.clone(),
                    attempt,
                    output_tokens,
                });
                self.service.finish(&request, output_tokens);
            }
            AttemptOutcome::Cancelled => self.span.set_failed("dropped"),
            AttemptOutcome::ReservationFailed(engine) => {
                self.span.set_failed("no memory for the gang");
                self.service
                    .release_assignment(&self.request, &self.assignment());
                self.service.handle(SchedulerEvent::GangReservationRefused {
                    request,
                    attempt,
                    engine,
                });
            }
            AttemptOutcome::Failed(error) => self.report_failure(&error).await,
        }
    }

    async fn report_failure(&self, error: &UpstreamError) {
        self.span.set_failed(&error.to_string());
        self.service
            .metrics
            .count_peer_failure("attempt", &self.engines[0]);
        log::warn!(
            "event=attempt_failed request={} attempt={} engine={} cause=\"{error}\"",
            self.request,
            self.attempt,
            self.engines[0]
        );
        if is_engine_fault(error) {
            self.record_engine_failure();
        }
        if error.effect_unknown() {
            self.record_engine_death().await;
        }
        self.service.count_failure(&self.request);
        let delivered = self
            .service
            .release_assignment(&self.request, &self.assignment());
        let failure = SchedulerEvent::Failed {
            request: self.request.clone(),
            attempt: self.attempt,
            delivered,
            retryable: is_retryable(error),
        };
        self.service.admit(&self.request, failure);
    }

    /// Records a failed call to the engine. The scheduler sends the engine no prompt
    /// until the engine's next report.
    fn record_engine_failure(&self) {
        let engine = &self.engines[0];
        if let Some(known_engine) = self.service.directory.engine(engine) {
            let directory = &self.service.directory;
            directory.record_call(engine, known_engine.incarnation, CallEvidence::Failed);
        }
    }

    /// Asks the first engine for its incarnation. If it does not answer or reports
    /// another incarnation than the attempt began on, records the death with the
    /// prompts that ran on it.
    async fn record_engine_death(&self) {
        let Some(known_engine) = &self.first_engine else {
            return;
        };
        let alive = match known_engine.client.report().await {
            Ok(report) => report.profile.incarnation == self.incarnation,
            Err(_) => false,
        };
        if alive {
            return;
        }
        let death = DeathId {
            engine: known_engine.id.clone(),
            incarnation: self.incarnation,
        };
        // This prompt, and all others that ran on the engine, also those whose attempts
        // have not failed yet.
        let lost: Vec<LostPrompt> = self.service.with_open_prompts(|prompts| {
            let running = prompts.values().filter(|prompt| {
                prompt.job.request == self.request
                    || prompt.runs_on(&death.engine, self.incarnation)
            });
            running.map(OpenPrompt::to_lost_prompt).collect()
        });
        if lost.is_empty() {
            return;
        }
        // The other nodes must know before the prompt runs again or its caller can
        // send it to them, and this node must know which prompts they lost.
        let service = &self.service;
        let record = service.quarantine.record_death(&death, &lost);
        let told = service
            .peers
            .broadcast_deaths(vec![record], DEATH_BROADCAST_TIMEOUT);
        smol::future::zip(told, service.clock.sleep(DEATH_SETTLE_TIME)).await;
        let attributed = service.quarantine.attributed_deaths(&lost);
        if !attributed.is_empty() {
            let told = service
                .peers
                .broadcast_deaths(attributed, DEATH_BROADCAST_TIMEOUT);
            told.await;
        }
    }
}

fn estimate_total_tokens(call: &EngineCall) -> TokenCount {
    types::estimate_tokens(&call.prompt) + call.output_tokens
}

fn unlisted_engine_error(engine: &EngineId) -> UpstreamError {
    UpstreamError::Refused {
        step: "submit".to_owned(),
        peer: engine.clone(),
        status: 0,
        cause: "the engine is no longer listed".to_owned(),
        retry_after: None,
    }
}

/// Returns whether the engine rather than the prompt may be at fault.
fn is_engine_fault(error: &UpstreamError) -> bool {
    match error {
        UpstreamError::Broken { .. }
        | UpstreamError::Overdue { .. }
        | UpstreamError::Malformed { .. } => true,
        UpstreamError::Refused { .. } | UpstreamError::Fenced { .. } => false,
    }
}

/// Returns whether to retry. Prompts are idempotent, so only a refusal of their
/// content is final.
fn is_retryable(error: &UpstreamError) -> bool {
    match error {
        UpstreamError::Refused { status, .. } => !matches!(status, 400 | 413 | 422),
        _ => true,
    }
}
