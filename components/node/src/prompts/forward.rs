//! A prompt handed to another node.

use std::sync::Arc;

use kernel::CancellationToken;
use routing::{RefusalReason, SchedulerEvent};
use telemetry::{HopKind, HopSpan};
use types::{NodeId, RequestId, TokenCount};
use wire::FrameError;

use super::{
    PromptService, PromptUpdate,
    delivery::TokenOutcome,
    open::{OpenPrompt, PromptWork},
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

enum ForwardEnd {
    Finished(TokenCount),
    Dropped,
    Refused {
        reason: RefusalReason,
        retry_after: std::time::Duration,
    },
    Failed(FrameError),
}

impl PromptService {
    pub(super) fn start_forward(self: &Arc<Self>, request: RequestId, node: NodeId) {
        let prepared = self.with_open(|open| {
            let prompt = open.get_mut(&request)?;
            prompt.token = CancellationToken::new();
            prompt.work = PromptWork::Forwarded(node.clone());
            let span = self.tracer.start(
                "forward",
                HopKind::Client,
                &prompt.traceparent,
                &request,
                &node,
            );
            Some((self.forwarded(prompt, &span), prompt.token.clone(), span))
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

    fn forwarded(&self, prompt: &OpenPrompt, span: &HopSpan) -> ForwardedPrompt {
        let now = self.clock.now();
        let job = &prompt.job;
        ForwardedPrompt {
            // A name of its own, so that a second hop to the same node is
            // never taken for the first.
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
        let end = smol::future::or(self.exchange(), async {
            token.cancelled().await;
            ForwardEnd::Dropped
        })
        .await;
        self.report(end);
    }

    async fn exchange(&self) -> ForwardEnd {
        match self.try_exchange().await {
            Ok(end) => end,
            Err(error) => ForwardEnd::Failed(error),
        }
    }

    async fn try_exchange(&self) -> Result<ForwardEnd, FrameError> {
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
                    if !self.hand_on(update).await {
                        return Ok(ForwardEnd::Dropped);
                    }
                }
                PeerReply::Token { index, text, .. } => {
                    if !self.deliver(index, text).await? {
                        return Ok(ForwardEnd::Dropped);
                    }
                }
                PeerReply::Finished { tokens, .. } => {
                    if self.service.is_whole(&self.request, tokens) {
                        return Ok(ForwardEnd::Finished(tokens));
                    }
                    let cause = format!("the answer ended at {tokens} tokens, others came");
                    return Err(self.malformed(cause));
                }
                PeerReply::Refused {
                    reason,
                    retry_after,
                    deaths,
                    ..
                } => {
                    self.service.quarantine.told(&deaths);
                    return Ok(ForwardEnd::Refused {
                        reason,
                        retry_after,
                    });
                }
            }
        }
    }

    async fn hand_on(&self, update: PromptUpdate) -> bool {
        let updates = self.service.with_open(|open| {
            let prompt = open.get(&self.request)?;
            (prompt.work == self.work()).then(|| prompt.updates.clone())
        });
        match updates {
            Some(updates) => updates.send(update).await.is_ok(),
            None => false,
        }
    }

    async fn deliver(&self, index: TokenCount, text: String) -> Result<bool, FrameError> {
        let service = &self.service;
        let work = self.work();
        let outcome = service.deliver(&self.request, &work, index, text).await;
        match outcome {
            TokenOutcome::Delivered { .. } | TokenOutcome::Repeated => Ok(true),
            TokenOutcome::Gone => Ok(false),
            TokenOutcome::Gap { due } => {
                Err(self.malformed(format!("token {index} came where {due} was due")))
            }
        }
    }

    fn malformed(&self, cause: String) -> FrameError {
        FrameError::Malformed {
            step: "stream".to_owned(),
            peer: self.node.clone(),
            cause,
        }
    }

    fn work(&self) -> PromptWork {
        PromptWork::Forwarded(self.node.clone())
    }

    fn report(&self, end: ForwardEnd) {
        let request = self.request.clone();
        let node = self.node.clone();
        match end {
            ForwardEnd::Finished(output_tokens) => {
                self.service.handle(SchedulerEvent::ForwardFinished {
                    request: request.clone(),
                    node,
                    output_tokens,
                });
                self.service.finish(&request, output_tokens);
            }
            ForwardEnd::Dropped => self.span.set_failed("dropped"),
            ForwardEnd::Refused {
                reason,
                retry_after,
            } => {
                self.span.set_failed(super::refusal_code(reason));
                self.service.release_work(&self.request, &self.work());
                let refusal = SchedulerEvent::ForwardRefused {
                    request: request.clone(),
                    node,
                    reason,
                    retry_after,
                };
                self.service.admit(&request, refusal);
            }
            ForwardEnd::Failed(error) => self.report_failure(&error),
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
        let delivered = self.service.release_work(&self.request, &self.work());
        self.service.handle(SchedulerEvent::ForwardFailed {
            request: self.request.clone(),
            node: self.node.clone(),
            delivered,
        });
    }
}
