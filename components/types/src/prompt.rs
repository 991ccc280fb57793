//! Metadata of a prompt that scheduling and routing use.

use std::time::Instant;

use crate::{
    AdapterId, ModelId, ModelVersion, NoteVersion, OrganisationId, PlanKind, PrefixHash, RequestId,
    TokenCount, ZoneId,
};

/// Size of one block of an engine's prefix cache, in tokens.
pub const CACHE_BLOCK_TOKENS: TokenCount = 512;

/// Metadata of one prompt, without its text.
#[derive(Clone, Debug, PartialEq)]
pub struct PromptJob {
    /// Id of the caller's request.
    pub request: RequestId,
    /// Organisation that the caller's API key belongs to.
    pub organisation: OrganisationId,
    /// Plan of the organisation in the release note `note_version`.
    pub plan: PlanKind,
    /// Weight of the organisation in fair sharing within its plan; at least 1.
    pub weight: u32,
    /// Model that the caller asked for.
    pub model: ModelId,
    /// Version of the model in force when the request arrived; all attempts use
    /// it.
    pub version: ModelVersion,
    /// Adapter to apply on top of the model, if any.
    pub adapter: Option<AdapterId>,
    /// Version of the release note in force when the request arrived.
    pub note_version: NoteVersion,
    /// Length of the prompt in tokens, as `estimate_tokens` returns it.
    pub prompt_tokens: TokenCount,
    /// Maximum number of tokens to generate.
    pub output_tokens: TokenCount,
    /// Hashes of the prompt's prefixes, one per cache block, shortest first.
    pub prefixes: Vec<PrefixHash>,
    /// Availability zone of the node that the caller connected to.
    pub zone: ZoneId,
    /// Time at which the first node accepted the request.
    pub arrived: Instant,
    /// Time after which the caller has no use for the answer.
    pub deadline: Instant,
}
