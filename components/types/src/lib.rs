//! Identifiers and plain data types shared by all components.
//!
//! The only functions estimate the token count of a text and hash its prefixes;
//! scheduling and other rules are implemented in the component that they belong
//! to.

mod engine;
mod ids;
mod plan;
mod prompt;
mod tokens;

pub use engine::{
    CacheEvent, EngineOrder, EngineProfile, EngineReport, EngineRole, MemoryHold, ModelSpec,
};
pub use ids::{
    AdapterId, AttemptId, EngineId, FencingNumber, IncarnationNumber, ModelId, ModelVersion,
    NodeId, NoteVersion, OrganisationId, PrefixHash, PromptPartId, RegionId, RequestId, RowVersion,
    ServiceName, TokenCount, UpstreamId, ZoneId,
};
pub use plan::PlanKind;
pub use prompt::{CACHE_BLOCK_TOKENS, PromptJob};
pub use tokens::{estimate_tokens, prefix_hashes};
