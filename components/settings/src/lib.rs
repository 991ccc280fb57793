//! Settings in JSON with comments, validated completely before the node starts.
//!
//! `parse_document` reads a document of any type and reports every fault with its
//! line and column. `NodeSettings` is the document of a node.

mod check;
mod document;
mod node;
mod places;
mod scheduling;

pub use check::FaultList;
pub use document::{ParsedDocument, parse_document};
pub use node::{
    AddressSettings, ClusterKey, HostIdentity, LimitSettings, NodeSettings, PlatformSettings,
    TimeoutSettings, UpstreamSettings, load_node_settings, parse_node_settings,
};
pub use places::FieldPositions;
pub use scheduling::{QueueSettings, SchedulingSettings};
