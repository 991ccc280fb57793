//! What the decision components need to know of one prompt.

use std::time::Instant;

use crate::{
    AdapterId, ModelId, ModelVersion, NoteVersion, OrganisationId, PlanKind, PrefixHash, RequestId,
    TokenCount, ZoneId,
};

/// Tokens in one block of an engine's prefix cache.
pub const CACHE_BLOCK_TOKENS: TokenCount = 512;

/// One admitted prompt as the decision components see it, without its text.
#[derive(Clone, Debug, PartialEq)]
pub struct PromptJob {
    /// The caller's request.
    pub request: RequestId,
    /// The organisation whose key the caller showed.
    pub organisation: OrganisationId,
    /// The organisation's plan under `note_version`.
    pub plan: PlanKind,
    /// The organisation's share among those of its plan; at least 1.
    pub weight: u32,
    /// Model to run.
    pub model: ModelId,
    /// Version of the model at admission; kept for every attempt.
    pub version: ModelVersion,
    /// Adapter on top of the model, if any.
    pub adapter: Option<AdapterId>,
    /// The release note in force when the request was admitted.
    pub note_version: NoteVersion,
    /// Prompt length in tokens.
    pub prompt_tokens: TokenCount,
    /// Upper bound of the tokens to generate.
    pub output_tokens: TokenCount,
    /// Hashes of the prompt's prefixes, one a cache block, shortest first.
    pub prefixes: Vec<PrefixHash>,
    /// Availability zone of the node the caller reached.
    pub zone: ZoneId,
    /// When the first node took the request.
    pub arrived: Instant,
    /// When the answer has no more use.
    pub deadline: Instant,
}
