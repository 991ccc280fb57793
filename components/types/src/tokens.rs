//! How a prompt's length in tokens is estimated from its text.

use crate::TokenCount;

const BYTES_PER_TOKEN: usize = 4;

/// Length of `text` in tokens: four bytes each, the last one begun counts.
#[must_use]
pub fn estimate_tokens(text: &str) -> TokenCount {
    text.len().div_ceil(BYTES_PER_TOKEN) as TokenCount
}
