//! State of one attempt in the engine simulation.

use types::{CACHE_BLOCK_TOKENS, PrefixHash, TokenCount};

use crate::{AttemptSpec, SequenceId, cost, memory::AttemptKey};

/// Queue order: lower priority numbers first, then order of arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct QueueKey {
    pub(crate) priority: u32,
    pub(crate) sequence: SequenceId,
}

/// Stage of a sequence on its engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SequencePhase {
    /// Queued, without memory.
    Waiting,
    /// Has its memory; part of the prompt is not computed yet.
    Prefilling,
    /// Generates the answer.
    Decoding,
}

/// Progress and memory of one attempt.
#[derive(Clone, Debug)]
pub(crate) struct SequenceState {
    pub(crate) spec: AttemptSpec,
    pub(crate) id: SequenceId,
    pub(crate) phase: SequencePhase,
    /// Context tokens whose KV cache is in memory.
    pub(crate) computed: TokenCount,
    /// Index of the next token of the answer.
    pub(crate) next_token: TokenCount,
    /// Memory not shared with other sequences, in tokens.
    pub(crate) private_tokens: TokenCount,
    /// Leading prompt blocks that are in the prefix cache.
    pub(crate) shared_blocks: usize,
    /// Prefill speed relative to one engine.
    pub(crate) speedup: f64,
}

impl SequenceState {
    pub(crate) fn new(id: SequenceId, mut spec: AttemptSpec) -> Self {
        let blocks = whole_blocks(&spec);
        spec.prefixes.truncate(blocks);
        let members = usize::try_from(spec.members).unwrap_or(0);
        Self {
            id,
            phase: SequencePhase::Waiting,
            computed: 0,
            next_token: spec.resume_at,
            private_tokens: 0,
            shared_blocks: 0,
            speedup: cost::gang_speedup(std::iter::repeat_n(1.0, members)),
            spec,
        }
    }

    pub(crate) fn key(&self) -> QueueKey {
        QueueKey {
            priority: self.spec.priority,
            sequence: self.id,
        }
    }

    pub(crate) fn attempt_key(&self) -> AttemptKey {
        AttemptKey::new(&self.spec.request, self.spec.attempt)
    }

    /// Context that must be computed before the next token, in tokens.
    pub(crate) fn prefill_target(&self) -> TokenCount {
        self.spec.prompt_tokens + self.next_token
    }

    pub(crate) fn remaining_prefill(&self) -> TokenCount {
        self.prefill_target().saturating_sub(self.computed)
    }

    /// Context tokens read on this engine in one decode step.
    pub(crate) fn own_context(&self) -> TokenCount {
        self.computed / u64::from(self.spec.members + 1)
    }

    /// Prefix blocks that may be shared through the cache; a gang sequence shares
    /// none.
    pub(crate) fn shareable_prefixes(&self) -> &[PrefixHash] {
        if self.spec.members > 0 {
            return &[];
        }
        &self.spec.prefixes
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.next_token >= self.spec.answer_tokens
    }
}

fn whole_blocks(spec: &AttemptSpec) -> usize {
    usize::try_from(spec.prompt_tokens / CACHE_BLOCK_TOKENS).unwrap_or(usize::MAX)
}
