//! A baseline balancer's view of one engine.

use std::time::Instant;

use types::{EngineReport, RequestId, TokenCount};

/// Load of one decoding sequence, in equivalent prompt tokens.
const DECODING_WEIGHT: TokenCount = 32;

/// An attempt that this node sent to an engine.
#[derive(Clone, Debug)]
pub(crate) struct SentWork {
    pub(crate) request: RequestId,
    pub(crate) at: Instant,
    pub(crate) tokens: TokenCount,
    pub(crate) memory: TokenCount,
}

/// An engine's last report and the attempts sent to it.
#[derive(Clone, Debug)]
pub(crate) struct EngineRow {
    pub(crate) report: EngineReport,
    pub(crate) reported_at: Instant,
    pub(crate) sent: Vec<SentWork>,
    /// Whether an attempt on it failed since its last report.
    pub(crate) suspect: bool,
}

impl EngineRow {
    fn unreported(&self) -> impl Iterator<Item = &SentWork> {
        self.sent.iter().filter(|work| work.at >= self.reported_at)
    }

    /// Estimated work on the engine, in prompt tokens.
    pub(crate) fn load(&self) -> TokenCount {
        let unreported: TokenCount = self.unreported().map(|work| work.tokens).sum();
        let decoding = TokenCount::from(self.report.decoding) * DECODING_WEIGHT;
        self.report.prefill_backlog + unreported + decoding
    }

    /// Estimated KV memory in use, in tokens.
    pub(crate) fn used(&self) -> TokenCount {
        let unreported: TokenCount = self.unreported().map(|work| work.memory).sum();
        self.report.kv_used + unreported
    }
}
