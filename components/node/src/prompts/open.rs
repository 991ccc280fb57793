//! Open prompts of this node and the updates that their callers receive.

use std::{sync::Arc, time::Duration};

use kernel::CancellationToken;
use routing::{RefusalReason, SchedulerEvent};
use smol::channel::{Receiver, Sender};
use types::{AttemptId, EngineId, IncarnationNumber, NodeId, PromptJob, RequestId, TokenCount};

use super::PromptService;
use crate::quarantine::LostPrompt;

/// Progress or end of an open prompt; the caller receives the updates in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PromptUpdate {
    /// An engine began to prefill the prompt.
    Started {
        /// Prompt length as the engine counts it.
        prompt_tokens: TokenCount,
        /// Prompt tokens found in the engine's KV cache.
        cached_tokens: TokenCount,
    },
    /// The next token of the answer.
    Token {
        /// Index in the answer, from 0, without gaps.
        index: TokenCount,
        /// Text of the token.
        text: String,
    },
    /// The answer is complete. This is the last update.
    Finished {
        /// Tokens in the answer.
        tokens: TokenCount,
    },
    /// The prompt was not run, or its answer is incomplete. This is the last
    /// update.
    Refused {
        /// Why the prompt was not run or not completed.
        reason: RefusalReason,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// A caller's handle to an open prompt; dropping it cancels the prompt.
pub struct PromptHandle {
    pub(super) service: Arc<PromptService>,
    pub(super) request: RequestId,
    pub(super) updates: Receiver<PromptUpdate>,
}

impl PromptHandle {
    /// Waits for the next update; `None` when the prompt was removed without a
    /// last update.
    pub async fn next(&self) -> Option<PromptUpdate> {
        self.updates.recv().await.ok()
    }
}

impl Drop for PromptHandle {
    fn drop(&mut self) {
        self.service.cancel(&self.request);
    }
}

/// Where an open prompt runs at present.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum PromptAssignment {
    /// Nowhere: it is queued in the scheduler.
    Queued,
    /// On engines of this node, in the attempt with this number.
    Attempt(AttemptId),
    /// On another node, to which it was forwarded.
    Forwarded(NodeId),
}

/// State of an open prompt.
pub(super) struct OpenPrompt {
    pub(super) job: PromptJob,
    /// Whether another node forwarded it to this one.
    pub(super) forwarded_here: bool,
    pub(super) text: Arc<str>,
    pub(super) traceparent: String,
    pub(super) updates: Sender<PromptUpdate>,
    /// Answer tokens sent to `updates`.
    pub(super) delivered: TokenCount,
    pub(super) assignment: PromptAssignment,
    /// Cancels the current attempt or forward.
    pub(super) token: CancellationToken,
    /// Whether the caller has received the first token, here or through the
    /// forwarding node.
    pub(super) first_token_seen: bool,
    /// Number of the last attempt started on this node's engines.
    pub(super) attempts: AttemptId,
    /// Failed attempts and forwards.
    pub(super) failures: u32,
    /// Where the last attempt was sent; `None` before the first attempt.
    pub(super) run: Option<EngineRun>,
}

/// Engine process that received the call of an attempt. In a gang, this is the
/// first engine.
pub(super) struct EngineRun {
    pub(super) engine: EngineId,
    pub(super) incarnation: IncarnationNumber,
    /// Whether the engine accepted the call, so that it may have run the prompt.
    pub(super) accepted: bool,
}

impl OpenPrompt {
    /// Returns whether this incarnation of `engine` accepted the prompt's running
    /// attempt.
    pub(super) fn runs_on(&self, engine: &EngineId, incarnation: IncarnationNumber) -> bool {
        let is_same = |run: &EngineRun| {
            run.accepted && run.engine == *engine && run.incarnation == incarnation
        };
        matches!(self.assignment, PromptAssignment::Attempt(_))
            && self.run.as_ref().is_some_and(is_same)
    }

    /// Builds the event that returns the prompt to the scheduler for a retry.
    pub(super) fn resubmission(&self) -> SchedulerEvent {
        SchedulerEvent::Resubmitted {
            job: self.job.clone(),
            attempts: self.attempts,
            failures: self.failures,
            delivered: self.delivered,
        }
    }

    /// Builds the record of the prompt that the quarantine needs.
    pub(super) fn to_lost_prompt(&self) -> LostPrompt {
        LostPrompt {
            job: self.job.clone(),
            text: Arc::clone(&self.text),
        }
    }
}
