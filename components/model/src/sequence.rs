//! One attempt inside the engine model.

use types::{CACHE_BLOCK_TOKENS, PrefixHash, TokenCount};

use crate::{AttemptSpec, SequenceId, cost, memory::AttemptKey};

/// Place in a queue: lower priority numbers first, then first come first
/// served.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct QueueKey {
    pub(crate) priority: u32,
    pub(crate) sequence: SequenceId,
}

/// Whether a sequence has its memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SequencePhase {
    /// Holds no memory.
    Waiting,
    /// Holds its memory; some of the prompt is not computed yet.
    Prefilling,
    /// Generates.
    Decoding,
}

/// State of one attempt.
#[derive(Clone, Debug)]
pub(crate) struct SequenceState {
    pub(crate) spec: AttemptSpec,
    pub(crate) id: SequenceId,
    pub(crate) phase: SequencePhase,
    /// Context tokens that are in memory.
    pub(crate) computed: TokenCount,
    /// Index of the next token of the answer.
    pub(crate) next_token: TokenCount,
    /// Memory that no other sequence shares, in tokens.
    pub(crate) private: TokenCount,
    /// Cache blocks in use, counted from the first.
    pub(crate) shared_blocks: usize,
    /// Prefill speed over that of one engine.
    pub(crate) pace: f64,
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
            private: 0,
            shared_blocks: 0,
            pace: cost::gang_pace(std::iter::repeat_n(1.0, members)),
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

    /// Context that must be in memory before the next token comes.
    pub(crate) fn prefill_goal(&self) -> TokenCount {
        self.spec.prompt_tokens + self.next_token
    }

    pub(crate) fn prefill_left(&self) -> TokenCount {
        self.prefill_goal().saturating_sub(self.computed)
    }

    /// Context tokens read on this engine in one decode step.
    pub(crate) fn own_context(&self) -> TokenCount {
        self.computed / u64::from(self.spec.members + 1)
    }

    /// Prefixes that this engine may share; a sequence over several engines
    /// shares none.
    pub(crate) fn sharable(&self) -> &[PrefixHash] {
        if self.spec.members > 0 {
            return &[];
        }
        &self.spec.prefixes
    }

    pub(crate) fn answered(&self) -> bool {
        self.next_token >= self.spec.answer_tokens
    }
}

fn whole_blocks(spec: &AttemptSpec) -> usize {
    usize::try_from(spec.prompt_tokens / CACHE_BLOCK_TOKENS).unwrap_or(usize::MAX)
}
