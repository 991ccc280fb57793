//! Estimates the token count of a text and hashes its prefixes for the prefix
//! cache.

use xxhash_rust::xxh3::Xxh3;

use crate::{AdapterId, CACHE_BLOCK_TOKENS, ModelId, ModelVersion, PrefixHash, TokenCount};

const BYTES_PER_TOKEN: usize = 4;

/// Estimates the length of `text` in tokens: four bytes per token, rounded up.
#[must_use]
pub fn estimate_tokens(text: &str) -> TokenCount {
    text.len().div_ceil(BYTES_PER_TOKEN) as TokenCount
}

/// Hashes the prefixes of `text` that end on an estimated cache block boundary
/// (`CACHE_BLOCK_TOKENS` at 4 bytes per token), shortest first. The hashes include model, version and adapter, as a cached prefix is
/// valid only for these.
#[must_use]
pub fn prefix_hashes(
    model: &ModelId,
    version: &ModelVersion,
    adapter: Option<&AdapterId>,
    text: &str,
) -> Vec<PrefixHash> {
    let mut hasher = Xxh3::new();
    for part in [model, version, adapter.unwrap_or(&String::new())] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    let block = usize::try_from(CACHE_BLOCK_TOKENS).unwrap_or(usize::MAX) * BYTES_PER_TOKEN;
    text.as_bytes()
        .chunks_exact(block)
        .map(|bytes| {
            hasher.update(bytes);
            hasher.digest()
        })
        .collect()
}
