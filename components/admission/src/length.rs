//! Classes of prompt length.

use types::TokenCount;

/// Longest prompt of class `Short`, in tokens.
const SHORT_LIMIT_TOKENS: TokenCount = 4_096;
/// Longest prompt of class `Medium`, in tokens.
const MEDIUM_LIMIT_TOKENS: TokenCount = 32_768;

/// Length of a prompt, coarsely: classes wait in lanes of their own.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum LengthClass {
    /// Up to 4,096 tokens.
    Short,
    /// Up to 32,768 tokens.
    Medium,
    /// Longer, on one engine.
    Long,
    /// More than one engine's memory.
    Gang,
}

impl LengthClass {
    /// Every class, shortest first.
    pub const ALL: [Self; 4] = [Self::Short, Self::Medium, Self::Long, Self::Gang];

    /// The class of a prompt that needs `prompt_tokens` and fits one engine.
    #[must_use]
    pub fn of(prompt_tokens: TokenCount) -> Self {
        match prompt_tokens {
            0..=SHORT_LIMIT_TOKENS => Self::Short,
            _ if prompt_tokens <= MEDIUM_LIMIT_TOKENS => Self::Medium,
            _ => Self::Long,
        }
    }
}
