//! Handing an answer's tokens on: in order, without gaps, from one source.

use std::sync::Arc;

use types::{RequestId, TokenCount};

use super::{PromptService, PromptUpdate, open::PromptAssignment};

/// What became of a token.
pub(super) enum TokenOutcome {
    /// The caller has it.
    Delivered {
        /// Whether it was the prompt's first token.
        first: bool,
    },
    /// The caller had it before.
    Duplicate,
    /// Tokens before it are missing.
    Gap {
        /// The place that was due.
        expected: TokenCount,
    },
    /// The prompt ended or is somebody else's work now.
    Stale,
}

impl PromptService {
    /// Hands a token on for the source that `work` names.
    pub(super) async fn deliver(
        self: &Arc<Self>,
        request: &RequestId,
        assignment: &PromptAssignment,
        index: TokenCount,
        text: String,
    ) -> TokenOutcome {
        let target = self.with_open_prompts(|open| {
            let prompt = open.get(request)?;
            (prompt.assignment == *assignment).then(|| (prompt.updates.clone(), prompt.delivered))
        });
        let Some((updates, expected)) = target else {
            return TokenOutcome::Stale;
        };
        if index < expected {
            return TokenOutcome::Duplicate;
        }
        if index > expected {
            return TokenOutcome::Gap { expected };
        }
        let update = PromptUpdate::Token { index, text };
        if updates.send(update).await.is_err() {
            return TokenOutcome::Stale;
        }
        self.count_delivered(request, index)
    }

    fn count_delivered(self: &Arc<Self>, request: &RequestId, index: TokenCount) -> TokenOutcome {
        let first = self.with_open_prompts(|open| {
            let prompt = open.get_mut(request)?;
            prompt.delivered = index + 1;
            let first = !prompt.first_token_seen;
            prompt.first_token_seen = true;
            first.then(|| prompt.job.clone())
        });
        self.metrics.tokens.inc();
        self.clear_passed_suspect(request, index + 1);
        if let Some(job) = &first {
            self.count_first_token(job);
        }
        TokenOutcome::Delivered {
            first: first.is_some(),
        }
    }

    /// Whether the caller has as many tokens as the answer's end names.
    pub(super) fn is_complete(&self, request: &RequestId, tokens: TokenCount) -> bool {
        self.with_open_prompts(|open| {
            let delivered = open.get(request).map(|prompt| prompt.delivered);
            delivered.is_none_or(|delivered| delivered == tokens)
        })
    }

    /// Counts a failed attempt or hop.
    pub(super) fn count_failure(&self, request: &RequestId) {
        self.with_open_prompts(|open| {
            if let Some(prompt) = open.get_mut(request) {
                prompt.failures += 1;
            }
        });
    }

    /// Takes a prompt off the source that `work` names; returns the tokens
    /// delivered.
    pub(super) fn release_assignment(
        &self,
        request: &RequestId,
        assignment: &PromptAssignment,
    ) -> TokenCount {
        self.with_open_prompts(|open| {
            let Some(prompt) = open.get_mut(request) else {
                return 0;
            };
            if prompt.assignment == *assignment {
                prompt.assignment = PromptAssignment::Queued;
            }
            prompt.delivered
        })
    }
}
