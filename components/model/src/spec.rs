//! What goes into the engine model and what comes out.

use std::{
    error::Error,
    fmt,
    time::{Duration, Instant},
};

use types::{AttemptId, FencingNumber, PrefixHash, RequestId, TokenCount};

/// Names one attempt inside one engine model; never used twice.
pub type SequenceId = u64;

/// One attempt to run on an engine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AttemptSpec {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// Lower runs first.
    pub priority: u32,
    /// Prompt length in tokens.
    pub prompt_tokens: TokenCount,
    /// Answer tokens the caller has already; generation goes on after them.
    pub resume_at: TokenCount,
    /// Most tokens of the whole answer; memory is set aside for them.
    pub output_tokens: TokenCount,
    /// Tokens of the whole answer at which the model stops by itself.
    pub answer_tokens: TokenCount,
    /// Hashes of the prompt's whole cache blocks, shortest prefix first.
    pub prefixes: Vec<PrefixHash>,
    /// Engines that share the sequence beside this one.
    pub members: u32,
    /// Tokens of the sequence that those engines hold.
    pub member_tokens: TokenCount,
}

impl AttemptSpec {
    /// Tokens of KV memory that the sequence may need on this engine.
    #[must_use]
    pub fn own_tokens(&self) -> TokenCount {
        let whole = self.prompt_tokens + self.output_tokens.max(self.answer_tokens);
        whole.saturating_sub(self.member_tokens)
    }

    /// Tokens to prefill before the next token comes, when nothing is cached.
    #[must_use]
    pub fn prefill_tokens(&self) -> TokenCount {
        self.prompt_tokens + self.resume_at
    }
}

/// KV memory to hold ahead of, or beside, an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HoldSpec {
    /// The request.
    pub request: RequestId,
    /// The attempt; the release names it too.
    pub attempt: AttemptId,
    /// Node that asks.
    pub holder: String,
    /// Size in tokens.
    pub tokens: TokenCount,
    /// Time after which the engine frees it by itself, unless renewed.
    pub lifetime: Duration,
}

/// A sequence's KV cache that an engine keeps for another to import.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvExportRef {
    /// Names the export on the engine that holds it.
    pub export: String,
    /// Size in tokens.
    pub tokens: TokenCount,
}

/// KV cache to fetch from another engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KvImportSpec {
    /// The hold that the import fills.
    pub hold: HoldSpec,
    /// Tokens of KV cache that come over.
    pub filled: TokenCount,
}

/// What happened to a sequence, and when.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ModelEvent {
    /// When it happened.
    pub at: Instant,
    /// The sequence it happened to.
    pub sequence: SequenceId,
    /// What happened.
    pub kind: EventKind,
}

/// What happened to a sequence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventKind {
    /// Prefill began; after a preemption it may begin again.
    Started {
        /// Prompt length in tokens.
        prompt_tokens: TokenCount,
        /// Tokens found in the prefix cache or imported.
        cached_tokens: TokenCount,
    },
    /// One token of the answer.
    Token {
        /// Place in the answer, from 0.
        index: TokenCount,
    },
    /// The answer is whole.
    Finished {
        /// Tokens of the whole answer.
        tokens: TokenCount,
    },
}

/// Why the engine model said no.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ModelError {
    /// The sequence is larger than the engine's whole memory.
    TooLarge {
        /// Tokens asked for.
        tokens: TokenCount,
        /// Tokens that the engine has in all.
        capacity: TokenCount,
    },
    /// Too little memory is free now.
    NoMemory {
        /// Tokens asked for.
        tokens: TokenCount,
        /// Tokens free now.
        free: TokenCount,
    },
    /// The attempt runs here already.
    AlreadyRunning,
    /// No such attempt runs here.
    UnknownAttempt,
    /// The order's number is older than one taken before.
    Fenced {
        /// Highest number taken.
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
