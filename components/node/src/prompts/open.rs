//! Prompts that are open on this node, and what their callers are told.

use std::{sync::Arc, time::Duration};

use kernel::CancellationToken;
use routing::{RefusalReason, SchedulerEvent};
use smol::channel::{Receiver, Sender};
use types::{AttemptId, EngineId, NodeId, PromptJob, RequestId, TokenCount};

use super::PromptService;
use crate::quarantine::LostPrompt;

/// What happens to an open prompt, in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PromptUpdate {
    /// Prefill began.
    Started {
        /// Prompt length as the engine counts it.
        prompt_tokens: TokenCount,
        /// Prompt tokens found in the engine's cache.
        cached_tokens: TokenCount,
    },
    /// The next token of the answer.
    Token {
        /// Place in the answer, from 0, without gaps.
        index: TokenCount,
        /// Its text.
        text: String,
    },
    /// The answer is whole; the last update.
    Finished {
        /// Tokens in the answer.
        tokens: TokenCount,
    },
    /// The prompt was not or not wholly run; the last update.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Duration,
    },
}

/// A caller's hold on an open prompt; dropping it cancels the prompt.
pub struct PromptHandle {
    pub(super) service: Arc<PromptService>,
    pub(super) request: RequestId,
    pub(super) updates: Receiver<PromptUpdate>,
}

impl PromptHandle {
    /// The next update; `None` when the node gave the prompt up.
    pub async fn next(&self) -> Option<PromptUpdate> {
        self.updates.recv().await.ok()
    }
}

impl Drop for PromptHandle {
    fn drop(&mut self) {
        self.service.cancel(&self.request);
    }
}

/// Who works on an open prompt now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum PromptAssignment {
    /// Nobody: it waits in the scheduler.
    Queued,
    /// An attempt on this node's engines.
    Attempt(AttemptId),
    /// Another node.
    Forwarded(NodeId),
}

/// One open prompt.
pub(super) struct OpenPrompt {
    pub(super) job: PromptJob,
    /// Whether another node handed it to this one.
    pub(super) forwarded_here: bool,
    pub(super) text: Arc<str>,
    pub(super) traceparent: String,
    pub(super) updates: Sender<PromptUpdate>,
    /// Answer tokens handed to `updates`.
    pub(super) delivered: TokenCount,
    pub(super) assignment: PromptAssignment,
    /// Cancels the work under way.
    pub(super) token: CancellationToken,
    /// Whether the first token has been counted.
    pub(super) first_token_seen: bool,
    /// Attempts started on this node's engines.
    pub(super) attempts: AttemptId,
    /// Attempts and hops that failed.
    pub(super) failures: u32,
    /// Engine that the attempt under way calls.
    pub(super) engine: Option<EngineId>,
}

impl OpenPrompt {
    /// Whether an attempt of it runs on `engine` now.
    pub(super) fn runs_on(&self, engine: &EngineId) -> bool {
        matches!(self.assignment, PromptAssignment::Attempt(_))
            && self.engine.as_ref() == Some(engine)
    }

    /// The event by which it comes back to the scheduler after a wait.
    pub(super) fn resubmission(&self) -> SchedulerEvent {
        SchedulerEvent::Resubmitted {
            job: self.job.clone(),
            attempts: self.attempts,
            failures: self.failures,
            delivered: self.delivered,
        }
    }

    /// What the quarantine needs to know of it.
    pub(super) fn to_lost_prompt(&self) -> LostPrompt {
        LostPrompt {
            job: self.job.clone(),
            text: Arc::clone(&self.text),
        }
    }
}
