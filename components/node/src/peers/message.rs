//! Messages between nodes over TCP.

use std::time::Duration;

use engines::DeathRecord;
use notes::NotesRequest;
use routing::RefusalReason;
use serde::{Deserialize, Serialize};
use types::{
    AdapterId, ModelId, ModelVersion, NoteVersion, OrganisationId, PlanKind, RequestId, TokenCount,
    ZoneId,
};

/// A forwarded prompt with the decisions of the node that admitted it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ForwardedPrompt {
    /// Id of the request.
    pub request: RequestId,
    /// Organisation that sent the request.
    pub organisation: OrganisationId,
    /// Plan of the organisation.
    pub plan: PlanKind,
    /// Weight that sets the organisation's share.
    pub weight: u32,
    /// Model that the prompt runs on.
    pub model: ModelId,
    /// Model version at admission.
    pub version: ModelVersion,
    /// Adapter at admission.
    pub adapter: Option<AdapterId>,
    /// Release note in force at admission.
    pub note_version: NoteVersion,
    /// Prompt length in tokens.
    pub prompt_tokens: TokenCount,
    /// Maximum number of tokens to generate.
    pub output_tokens: TokenCount,
    /// Availability zone of the node the caller reached.
    pub zone: ZoneId,
    /// Time since the request arrived at the entry host.
    pub waited: Duration,
    /// Time left until the deadline.
    pub deadline_in: Duration,
    /// Number of answer tokens that the caller already has.
    pub resume_at: TokenCount,
    /// W3C trace context of the hop.
    pub traceparent: String,
    /// Engine deaths in which the prompt was lost.
    pub deaths: Vec<DeathRecord>,
    /// Text of the prompt.
    pub text: String,
}

/// A request from one node to another.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PeerRequest {
    /// Run a prompt and stream the replies.
    Prompt(Box<ForwardedPrompt>),
    /// Fetch the release notes after a version.
    Notes(NotesRequest),
    /// Record engine deaths that prompts may have caused; answered by `DeathsAcknowledged`.
    Deaths(Vec<DeathRecord>),
}

/// Reply to `PeerRequest::Deaths`: the records have taken effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DeathsAcknowledged;

/// Updates of a forwarded prompt, in order; each carries its request id.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PeerReply {
    /// Prefill began.
    Started {
        /// Id of the forwarded request.
        request: RequestId,
        /// Prompt length in tokens as counted by the engine.
        prompt_tokens: TokenCount,
        /// Prompt tokens found in the engine's cache.
        cached_tokens: TokenCount,
    },
    /// The next token.
    Token {
        /// Id of the forwarded request.
        request: RequestId,
        /// Position in the answer, from 0.
        index: TokenCount,
        /// Text of the token.
        text: String,
    },
    /// The answer is complete.
    Finished {
        /// Id of the forwarded request.
        request: RequestId,
        /// Number of tokens in the answer.
        tokens: TokenCount,
    },
    /// The prompt was refused, or ended before its answer was complete.
    Refused {
        /// Id of the forwarded request.
        request: RequestId,
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Time after which the caller may retry.
        retry_after: Duration,
        /// Engine deaths in which the prompt was lost.
        deaths: Vec<DeathRecord>,
    },
}

impl PeerReply {
    /// Id of the request that the reply belongs to.
    #[must_use]
    pub fn request(&self) -> &RequestId {
        match self {
            Self::Started { request, .. }
            | Self::Token { request, .. }
            | Self::Finished { request, .. }
            | Self::Refused { request, .. } => request,
        }
    }
}
