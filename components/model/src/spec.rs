//! Inputs, events and errors of the engine simulation.

use std::{
    error::Error,
    fmt,
    time::{Duration, Instant},
};

use types::{AttemptId, FencingNumber, PrefixHash, RequestId, TokenCount};

/// Identifies one attempt on one simulated engine; never reused.
pub type SequenceId = u64;

/// One attempt to run on an engine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AttemptSpec {
    /// Request that the attempt serves.
    pub request: RequestId,
    /// Number of the attempt within the request.
    pub attempt: AttemptId,
    /// Lower numbers run first.
    pub priority: u32,
    /// Prompt length in tokens.
    pub prompt_tokens: TokenCount,
    /// Answer tokens that the caller already has; generation resumes after them.
    pub resume_at: TokenCount,
    /// Limit on tokens of the whole answer; memory is reserved for them.
    pub output_tokens: TokenCount,
    /// Tokens of the whole answer at which generation ends.
    pub answer_tokens: TokenCount,
    /// Hashes of the prompt's whole cache blocks, shortest prefix first.
    pub prefixes: Vec<PrefixHash>,
    /// Further engines in the gang besides this one; 0 for a single engine.
    pub members: u32,
    /// Tokens of the sequence held by the further engines.
    pub member_tokens: TokenCount,
}

impl AttemptSpec {
    /// Tokens of KV memory that the sequence may need on this engine.
    #[must_use]
    pub fn own_tokens(&self) -> TokenCount {
        let whole = self.prompt_tokens + self.output_tokens.max(self.answer_tokens);
        whole.saturating_sub(self.member_tokens)
    }

    /// Tokens to prefill before the next token when nothing is cached.
    #[must_use]
    pub fn prefill_tokens(&self) -> TokenCount {
        self.prompt_tokens + self.resume_at
    }
}

/// KV memory to hold for an attempt before it runs, or while it runs on
/// another engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HoldSpec {
    /// Request that the memory is held for.
    pub request: RequestId,
    /// Its attempt; a release must name the same one.
    pub attempt: AttemptId,
    /// Node that made the reservation, or `export` for exported KV cache.
    pub holder: String,
    /// Size in tokens.
    pub tokens: TokenCount,
    /// Lease time after which the engine frees the hold unless it is renewed.
    pub lifetime: Duration,
}

/// A reference to KV cache that an engine keeps for another to import.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvExportRef {
    /// Identifier of the export on the engine that holds it.
    pub export: String,
    /// Size in tokens.
    pub tokens: TokenCount,
}

/// KV cache to fetch from another engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvImportSpec {
    /// The hold that receives the cache.
    pub hold: HoldSpec,
    /// Tokens of KV cache to transfer.
    pub filled: TokenCount,
}

/// An event of one sequence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ModelEvent {
    /// Time of the event.
    pub at: Instant,
    /// Sequence that the event belongs to.
    pub sequence: SequenceId,
    /// The kind of event, with its data.
    pub kind: EventKind,
}

/// What happened to a sequence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventKind {
    /// Prefill started; a preempted sequence starts again.
    Started {
        /// Prompt length in tokens.
        prompt_tokens: TokenCount,
        /// Tokens found in the prefix cache or imported.
        cached_tokens: TokenCount,
    },
    /// One token of the answer was generated.
    Token {
        /// Position in the answer, from 0.
        index: TokenCount,
    },
    /// The answer is complete.
    Finished {
        /// Tokens of the whole answer.
        tokens: TokenCount,
    },
}

/// Why the engine refused a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ModelError {
    /// The request needs more than the engine's whole memory.
    TooLarge {
        /// Tokens requested.
        tokens: TokenCount,
        /// KV memory of the engine, in tokens.
        capacity: TokenCount,
    },
    /// Too little memory is free now.
    NoMemory {
        /// Tokens requested.
        tokens: TokenCount,
        /// Tokens free now.
        free: TokenCount,
    },
    /// The attempt is already queued or running on this engine.
    AlreadyRunning,
    /// The engine has no such attempt, or it has computed nothing yet.
    UnknownAttempt,
    /// The order's fencing number is lower than one accepted before.
    Fenced {
        /// Highest fencing number accepted.
        newest: FencingNumber,
    },
}

impl fmt::Display for ModelError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { tokens, capacity } => {
                write!(formatter, "{tokens} tokens exceed the memory of {capacity}")
            }
            Self::NoMemory { tokens, free } => {
                write!(formatter, "{tokens} tokens asked for while {free} are free")
            }
            Self::AlreadyRunning => write!(formatter, "the attempt runs already"),
            Self::UnknownAttempt => write!(formatter, "no such attempt"),
            Self::Fenced { newest } => {
                write!(formatter, "an order numbered {newest} was taken before")
            }
        }
    }
}

impl Error for ModelError {}
