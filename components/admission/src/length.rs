//! Length classes of prompts.

use types::TokenCount;

/// Maximum length of a `Short` prompt.
const SHORT_LIMIT_TOKENS: TokenCount = 4_096;
/// Maximum length of a `Medium` prompt.
const MEDIUM_LIMIT_TOKENS: TokenCount = 32_768;

/// Length class of a prompt; each class has queue lanes of its own.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum LengthClass {
    /// At most 4,096 tokens.
    Short,
    /// 4,097 to 32,768 tokens.
    Medium,
    /// More than 32,768 tokens, within the KV cache memory of one engine.
    Long,
    /// Needs more KV cache memory than one engine has, so several engines serve
    /// it together.
    Gang,
}

impl LengthClass {
    /// All classes, shortest first.
    pub const ALL: [Self; 4] = [Self::Short, Self::Medium, Self::Long, Self::Gang];

    /// Class of a prompt of `prompt_tokens` that fits on one engine; never `Gang`.
    #[must_use]
    pub fn of(prompt_tokens: TokenCount) -> Self {
        match prompt_tokens {
            0..=SHORT_LIMIT_TOKENS => Self::Short,
            _ if prompt_tokens <= MEDIUM_LIMIT_TOKENS => Self::Medium,
            _ => Self::Long,
        }
    }
}
