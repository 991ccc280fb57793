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

/// A prompt handed on with what was decided where it was admitted.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ForwardedPrompt {
    /// The request.
    pub request: RequestId,
    /// The organisation.
    pub organisation: OrganisationId,
    /// Its plan.
    pub plan: PlanKind,
    /// Its share.
    pub weight: u32,
    /// Model to run.
    pub model: ModelId,
    /// Version at admission.
    pub version: ModelVersion,
    /// Adapter at admission.
    pub adapter: Option<AdapterId>,
    /// Release note in force at admission.
    pub note_version: NoteVersion,
    /// Prompt length in tokens.
    pub prompt_tokens: TokenCount,
    /// Most tokens to generate.
    pub output_tokens: TokenCount,
    /// Availability zone of the node the caller reached.
    pub zone: ZoneId,
    /// Time since the request arrived.
    pub waited: Duration,
    /// Time left until the deadline.
    pub deadline_in: Duration,
    /// Answer tokens the caller has already.
    pub resume_at: TokenCount,
    /// W3C trace context of the hop.
    pub traceparent: String,
    /// Deaths of engines that the prompt was lost by.
    pub deaths: Vec<DeathRecord>,
    /// The prompt's text.
    pub text: String,
}

/// What one node asks of another.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PeerRequest {
    /// Run a prompt and stream the replies.
    Prompt(Box<ForwardedPrompt>),
    /// The release notes after a version.
    Notes(NotesRequest),
    /// Deaths of engines under prompts; answered by `DeathsAcknowledged`.
    Deaths(Vec<DeathRecord>),
}

/// The answer to `PeerRequest::Deaths`: what was told is known from now on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DeathsAcknowledged;

/// What happens to a forwarded prompt, in order; each names its request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PeerReply {
    /// Prefill began.
    Started {
        /// The request.
        request: RequestId,
        /// Prompt length as the engine counts it.
        prompt_tokens: TokenCount,
        /// Prompt tokens found in the engine's cache.
        cached_tokens: TokenCount,
    },
    /// The next token.
    Token {
        /// The request.
        request: RequestId,
        /// Place in the answer, from 0.
        index: TokenCount,
        /// Its text.
        text: String,
    },
    /// The answer is whole.
    Finished {
        /// The request.
        request: RequestId,
        /// Tokens in the answer.
        tokens: TokenCount,
    },
    /// The prompt was not or not wholly run.
    Refused {
        /// The request.
        request: RequestId,
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Duration,
        /// Deaths of engines that the prompt was lost by.
        deaths: Vec<DeathRecord>,
    },
}

impl PeerReply {
    /// The request a reply belongs to.
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
