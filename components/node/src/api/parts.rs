//! Context shared by the HTTP handlers.

use std::sync::{Arc, Mutex, atomic::AtomicU32};

use kernel::ClockSource;
use membership::AddressPlanner;
use memory::MemoryBudget;
use settings::NodeSettings;
use telemetry::{HopTracer, NodeMetrics};

use super::key_index::KeyIndex;
use crate::{
    directory::UpstreamDirectory, drain::DrainFlag, fleet::EngineOwnership, members::MemberService,
    notes::NoteService, orders::OrderService, prompts::PromptService,
    quarantine::QuarantineService,
};

/// Services, settings and counters that the HTTP handlers use.
pub struct ApiContext {
    /// Settings of this node, among them its id, zone, timeouts and operator keys.
    pub settings: NodeSettings,
    /// Clock for arrival times and deadlines.
    pub clock: ClockSource,
    /// Publishes release notes and holds the state in force.
    pub notes: Arc<NoteService>,
    /// Finds the organisation that an API key belongs to.
    pub keys: KeyIndex,
    /// Lists and clears prompts that crash engines.
    pub quarantine: Arc<QuarantineService>,
    /// Runs prompts on engines of this and other nodes.
    pub prompts: Arc<PromptService>,
    /// Runs orders and reads of plain services.
    pub orders: Arc<OrderService>,
    /// Members of the fleet, as this node sees them.
    pub members: Arc<MemberService>,
    /// Set while this node drains.
    pub draining: Arc<DrainFlag>,
    /// Chooses the node addresses for address answers.
    pub addresses: Mutex<AddressPlanner>,
    /// Assignment of engines to owning nodes.
    pub fleet: Arc<EngineOwnership>,
    /// Known engines and processes of plain services.
    pub directory: Arc<UpstreamDirectory>,
    /// Starts spans, and keeps recent ones for operators.
    pub tracer: HopTracer,
    /// Metrics that `/metrics` serves.
    pub metrics: Arc<NodeMetrics>,
    /// Memory budget for request bodies, in bytes.
    pub budget: Arc<MemoryBudget>,
    /// Number of open connections of the HTTP server.
    pub connections: Arc<AtomicU32>,
}
