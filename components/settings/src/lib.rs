//! Settings in JSON with comments, validated completely before the node starts.
//!
//! `parse_document` reads a document of any type and reports the faults of the first
//! stage that fails, syntax or decoding, with line and column. `NodeSettings` is the
//! document of a node; `parse_node_settings` also checks its values.

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
