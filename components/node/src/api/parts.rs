//! What the handlers work with.

use std::sync::Arc;

use kernel::ClockSource;
use settings::NodeSettings;
use telemetry::{HopTracer, NodeMetrics};

use crate::{directory::UpstreamDirectory, notes::NoteService, prompts::PromptService};

/// The services behind the HTTP interface.
pub struct ApiParts {
    /// Settings of the node.
    pub settings: NodeSettings,
    /// Clock.
    pub clock: ClockSource,
    /// Release notes.
    pub notes: Arc<NoteService>,
    /// Prompts.
    pub prompts: Arc<PromptService>,
    /// Upstreams.
    pub directory: Arc<UpstreamDirectory>,
    /// Spans.
    pub tracer: HopTracer,
    /// Metrics.
    pub metrics: Arc<NodeMetrics>,
}

impl ApiParts {
    /// Addresses of the nodes that callers should use, best first.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<String> {
        vec![self.settings.addresses.callers.clone()]
    }
}
