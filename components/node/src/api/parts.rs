//! What the handlers work with.

use std::sync::Arc;

use kernel::ClockSource;
use settings::NodeSettings;
use telemetry::{HopTracer, NodeMetrics};

use crate::{
    directory::UpstreamDirectory, fleet::FleetView, members::MemberService, notes::NoteService,
    prompts::PromptService,
};

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
    /// Membership.
    pub members: Arc<MemberService>,
    /// Who owns which engine.
    pub fleet: Arc<FleetView>,
    /// Upstreams.
    pub directory: Arc<UpstreamDirectory>,
    /// Spans.
    pub tracer: HopTracer,
    /// Metrics.
    pub metrics: Arc<NodeMetrics>,
}
