//! What the handlers work with.

use std::sync::{Arc, Mutex, atomic::AtomicU32};

use entry::BodyBudget;
use kernel::ClockSource;
use membership::AddressPlanner;
use settings::NodeSettings;
use telemetry::{HopTracer, NodeMetrics};

use super::key_index::KeyIndex;
use crate::{
    directory::UpstreamDirectory, drain::DrainFlag, fleet::EngineOwnership, members::MemberService,
    notes::NoteService, orders::OrderService, prompts::PromptService,
    quarantine::QuarantineService,
};

/// The services behind the HTTP interface.
pub struct ApiParts {
    /// Settings of the node.
    pub settings: NodeSettings,
    /// Clock.
    pub clock: ClockSource,
    /// Release notes.
    pub notes: Arc<NoteService>,
    /// Which organisation a key belongs to.
    pub keys: KeyIndex,
    /// Prompts that crash engines.
    pub quarantine: Arc<QuarantineService>,
    /// Prompts.
    pub prompts: Arc<PromptService>,
    /// Orders and reads of plain services.
    pub orders: Arc<OrderService>,
    /// Membership.
    pub members: Arc<MemberService>,
    /// Whether this node is on its way out.
    pub draining: Arc<DrainFlag>,
    /// Answers callers that ask which node to use.
    pub addresses: Mutex<AddressPlanner>,
    /// Who owns which engine.
    pub fleet: Arc<EngineOwnership>,
    /// Upstreams.
    pub directory: Arc<UpstreamDirectory>,
    /// Spans.
    pub tracer: HopTracer,
    /// Metrics.
    pub metrics: Arc<NodeMetrics>,
    /// Memory of request bodies.
    pub budget: Arc<BodyBudget>,
    /// Connections open now.
    pub connections: Arc<AtomicU32>,
}
