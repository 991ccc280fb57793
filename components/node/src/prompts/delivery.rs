//! Delivers the tokens of an answer in order and without gaps, from the attempt
//! or node that the prompt is assigned to.

use std::sync::Arc;

use types::{RequestId, TokenCount};

use super::{PromptService, PromptUpdate, open::PromptAssignment};

/// Result of delivering a token.
pub(super) enum TokenOutcome {
    /// The token was sent to the caller.
    Delivered {
        /// Whether it was the prompt's first token.
        first: bool,
    },
    /// The caller has received the token before.
    Duplicate,
    /// Tokens before it are missing.
    Gap {
        /// Index of the next token that the caller needs.
        expected: TokenCount,
    },
    /// The prompt has ended or is assigned elsewhere, or its caller has gone.
    Stale,
}

impl PromptService {
    /// Sends a token to the caller if the prompt still has this `assignment`.
    pub(super) async fn deliver(
        self: &Arc<Self>,
        request: &RequestId,
        assignment: &PromptAssignment,
        index: TokenCount,
        text: String,
    ) -> TokenOutcome {
        let target = self.with_open_prompts(|prompts| {
            let prompt = prompts.get(request)?;
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
        self.record_delivered_token(request, index)
    }

    /// Updates the prompt and the metrics after a token was sent to the caller, and
    /// clears the prompt if it is a suspect that has passed.
    fn record_delivered_token(
        self: &Arc<Self>,
        request: &RequestId,
        index: TokenCount,
    ) -> TokenOutcome {
        let first = self.with_open_prompts(|prompts| {
            let prompt = prompts.get_mut(request)?;
            prompt.delivered = index + 1;
            let first = !prompt.first_token_seen;
            prompt.first_token_seen = true;
            first.then(|| prompt.job.clone())
        });
        self.metrics.tokens.inc();
        self.clear_passed_suspect(request, index + 1);
        if let Some(job) = &first {
            self.record_first_token_time(job);
        }
        TokenOutcome::Delivered {
            first: first.is_some(),
        }
    }

    /// Returns whether the caller has received `tokens` tokens, the number that
    /// the end event names; also true when the prompt is no longer open.
    pub(super) fn is_complete(&self, request: &RequestId, tokens: TokenCount) -> bool {
        self.with_open_prompts(|prompts| {
            let delivered = prompts.get(request).map(|prompt| prompt.delivered);
            delivered.is_none_or(|delivered| delivered == tokens)
        })
    }

    /// Counts a failed attempt or forward.
    pub(super) fn count_failure(&self, request: &RequestId) {
        self.with_open_prompts(|prompts| {
            if let Some(prompt) = prompts.get_mut(request) {
                prompt.failures += 1;
            }
        });
    }

    /// Returns a prompt to the queued state if it still has this `assignment`.
    /// Returns the number of tokens delivered.
    pub(super) fn release_assignment(
        &self,
        request: &RequestId,
        assignment: &PromptAssignment,
    ) -> TokenCount {
        self.with_open_prompts(|prompts| {
            let Some(prompt) = prompts.get_mut(request) else {
                return 0;
            };
            if prompt.assignment == *assignment {
                prompt.assignment = PromptAssignment::Queued;
            }
            prompt.delivered
        })
    }
}
