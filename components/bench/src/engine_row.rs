//! What a baseline knows of one engine.

use std::time::Instant;

use types::{EngineReport, RequestId, TokenCount};

/// Prompt tokens that weigh as much as one sequence being decoded.
const DECODING_WEIGHT: TokenCount = 32;

#[derive(Clone, Debug)]
pub(crate) struct SentWork {
    pub(crate) request: RequestId,
    pub(crate) at: Instant,
    pub(crate) tokens: TokenCount,
    pub(crate) memory: TokenCount,
}

#[derive(Clone, Debug)]
pub(crate) struct EngineRow {
    pub(crate) report: EngineReport,
    pub(crate) taken: Instant,
    pub(crate) sent: Vec<SentWork>,
    /// A call to it failed since its last report.
    pub(crate) suspect: bool,
}

impl EngineRow {
    fn unseen(&self) -> impl Iterator<Item = &SentWork> {
        self.sent.iter().filter(|work| work.at >= self.taken)
    }

    /// Work on the engine, in prompt tokens.
    pub(crate) fn load(&self) -> TokenCount {
        let unseen: TokenCount = self.unseen().map(|work| work.tokens).sum();
        let decoding = TokenCount::from(self.report.decoding) * DECODING_WEIGHT;
        self.report.prefill_backlog + unseen + decoding
    }

    /// Memory in use, in tokens.
    pub(crate) fn used(&self) -> TokenCount {
        let unseen: TokenCount = self.unseen().map(|work| work.memory).sum();
        self.report.kv_used + unseen
    }
}
