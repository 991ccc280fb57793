//! Forwards a prompt to another node and relays its answer.

use std::sync::Arc;

use kernel::CancellationToken;
use routing::{RefusalReason, SchedulerEvent};
use telemetry::{HopKind, HopSpan};
use types::{NodeId, RequestId, TokenCount};
use wire::FrameError;

use super::{
    PromptService, PromptUpdate,
    delivery::TokenOutcome,
    open::{OpenPrompt, PromptAssignment},
};
use crate::peers::{ForwardedPrompt, PeerReply, PromptExchange};

struct ForwardHop {
    service: Arc<PromptService>,
    request: RequestId,
    node: NodeId,
    prompt: ForwardedPrompt,
    token: CancellationToken,
    span: HopSpan,
}

enum ForwardOutcome {
    Finished(TokenCount),
    Cancelled,
    Refused {
        reason: RefusalReason,
        retry_after: std::time::Duration,
    },
    Failed(FrameError),
}

impl PromptService {
    pub(super) fn start_forward(self: &Arc<Self>, request: RequestId, node: NodeId) {
        let prepared = self.with_open_prompts(|prompts| {
            let prompt = prompts.get_mut(&request)?;
            prompt.token = CancellationToken::new();
            prompt.assignment = PromptAssignment::Forwarded(node.clone());
            let span = self.tracer.start(
                "forward",
                HopKind::Client,
                &prompt.traceparent,
                &request,
                &node,
            );
            Some((
                self.forwarded_prompt(prompt, &span),
                prompt.token.clone(),
                span,
            ))
        });
        let Some((prompt, token, span)) = prepared else {
            return;
        };
        let hop = ForwardHop {
            service: Arc::clone(self),
            request,
            node,
            prompt,
            token,
            span,
        };
        smol::spawn(hop.run()).detach();
    }

    fn forwarded_prompt(&self, prompt: &OpenPrompt, span: &HopSpan) -> ForwardedPrompt {
        let now = self.clock.now();
        let job = &prompt.job;
        ForwardedPrompt {
            // A new id for each hop, so that a second forward to the same node is
            // not mistaken for the first.
            request: format!("{}~{:08x}", job.request, rand::random::<u32>()),
            organisation: job.organisation.clone(),
            plan: job.plan,
            weight: job.weight,
            model: job.model.clone(),
            version: job.version.clone(),
            adapter: job.adapter.clone(),
            note_version: job.note_version,
            prompt_tokens: job.prompt_tokens,
            output_tokens: job.output_tokens,
            zone: job.zone.clone(),
            waited: now.saturating_duration_since(job.arrived),
            deadline_in: job.deadline.saturating_duration_since(now),
            resume_at: prompt.delivered,
            traceparent: span.traceparent(),
            deaths: self.quarantine.deaths_of(job, &prompt.text),
            text: prompt.text.to_string(),
        }
    }
}

impl ForwardHop {
    async fn run(self) {
        let token = self.token.clone();
        let outcome = smol::future::or(self.exchange(), async {
            token.cancelled().await;
            ForwardOutcome::Cancelled
        })
        .await;
        self.report_outcome(outcome);
    }

    async fn exchange(&self) -> ForwardOutcome {
        match self.try_exchange().await {
            Ok(outcome) => outcome,
            Err(error) => ForwardOutcome::Failed(error),
        }
    }

    async fn try_exchange(&self) -> Result<ForwardOutcome, FrameError> {
        let peers = &self.service.peers;
        let mut exchange: PromptExchange = peers.send_prompt(&self.node, &self.prompt).await?;
        loop {
            match exchange.receive().await? {
                PeerReply::Started {
                    prompt_tokens,
                    cached_tokens,
                    ..
                } => {
                    let update = PromptUpdate::Started {
                        prompt_tokens,
                        cached_tokens,
                    };
                    if !self.send_update(update).await {
                        return Ok(ForwardOutcome::Cancelled);
                    }
                }
                PeerReply::Token { index, text, .. } => {
                    if !self.deliver(index, text).await? {
                        return Ok(ForwardOutcome::Cancelled);
                    }
                }
                PeerReply::Finished { tokens, .. } => {
                    if self.service.is_complete(&self.request, tokens) {
                        return Ok(ForwardOutcome::Finished(tokens));
                    }
                    let cause = format!(
                        "the end event names {tokens} tokens, but another number was received"
                    );
                    return Err(self.malformed_error(cause));
                }
                PeerReply::Refused {
                    reason,
                    retry_after,
                    deaths,
                    ..
                } => {
                    self.service.quarantine.merge_records(&deaths);
                    return Ok(ForwardOutcome::Refused {
                        reason,
                        retry_after,
                    });
                }
            }
        }
    }

    /// Sends an update to the caller. Returns `false` when the prompt is no longer
    /// assigned to this forward or its caller has gone.
    async fn send_update(&self, update: PromptUpdate) -> bool {
        let updates = self.service.with_open_prompts(|prompts| {
            let prompt = prompts.get(&self.request)?;
            (prompt.assignment == self.assignment()).then(|| prompt.updates.clone())
        });
        match updates {
            Some(updates) => updates.send(update).await.is_ok(),
            None => false,
        }
    }

    /// Delivers a token. Returns `false` when the prompt is no longer assigned to
    /// this forward or its caller has gone.
    async fn deliver(&self, index: TokenCount, text: String) -> Result<bool, FrameError> {
        let service = &self.service;
        let assignment = self.assignment();
        let outcome = service
            .deliver(&self.request, &assignment, index, text)
            .await;
        match outcome {
            TokenOutcome::Delivered { .. } | TokenOutcome::Duplicate => Ok(true),
            TokenOutcome::Stale => Ok(false),
            TokenOutcome::Gap { expected } => {
                Err(self
                    .malformed_error(format!("received token {index}, expected token {expected}")))
            }
        }
    }

    fn malformed_error(&self, cause: String) -> FrameError {
        FrameError::Malformed {
            step: "stream".to_owned(),
            peer: self.node.clone(),
            cause,
        }
    }

    fn assignment(&self) -> PromptAssignment {
        PromptAssignment::Forwarded(self.node.clone())
    }

    fn report_outcome(&self, outcome: ForwardOutcome) {
        let request = self.request.clone();
        let node = self.node.clone();
        match outcome {
            ForwardOutcome::Finished(output_tokens) => {
                self.service.handle(SchedulerEvent::ForwardFinished {
                    request: request.clone(),
                    node,
                    output_tokens,
                });
                self.service.finish(&request, output_tokens);
            }
            ForwardOutcome::Cancelled => self.span.set_failed("dropped"),
            ForwardOutcome::Refused {
                reason,
                retry_after,
            } => {
                self.span.set_failed(super::refusal_code(reason));
                self.service
                    .release_assignment(&self.request, &self.assignment());
                let refusal = SchedulerEvent::ForwardRefused {
                    request: request.clone(),
                    node,
                    reason,
                    retry_after,
                };
                self.service.admit(&request, refusal);
            }
            ForwardOutcome::Failed(error) => self.report_failure(&error),
        }
    }

    fn report_failure(&self, error: &FrameError) {
        self.span.set_failed(&error.to_string());
        self.service
            .metrics
            .count_peer_failure("forward", &self.node);
        log::warn!(
            "event=forward_failed request={} node={} cause=\"{error}\"",
            self.request,
            self.node
        );
        self.service.count_failure(&self.request);
        let delivered = self
            .service
            .release_assignment(&self.request, &self.assignment());
        self.service.handle(SchedulerEvent::ForwardFailed {
            request: self.request.clone(),
            node: self.node.clone(),
            delivered,
        });
    }
}
