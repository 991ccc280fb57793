//! How a prompt's length and cache blocks follow from its text.

use sha2::{Digest, Sha256};

use crate::{AdapterId, CACHE_BLOCK_TOKENS, ModelId, ModelVersion, PrefixHash, TokenCount};

const BYTES_PER_TOKEN: usize = 4;
const BLOCK_BYTES: usize = CACHE_BLOCK_TOKENS as usize * BYTES_PER_TOKEN;
const NO_ADAPTER: &str = "";

/// Length of `text` in tokens: four bytes each, the last one begun counts.
#[must_use]
pub fn estimate_tokens(text: &str) -> TokenCount {
    text.len().div_ceil(BYTES_PER_TOKEN) as TokenCount
}

/// Hashes of the prefixes of `text` that end on a cache block border, the
/// shortest first. Engines share KV cache only within one model, version and
/// adapter, so these go into each hash.
#[must_use]
pub fn prefix_hashes(
    model: &ModelId,
    version: &ModelVersion,
    adapter: Option<&AdapterId>,
    text: &str,
) -> Vec<PrefixHash> {
    let mut chain = variant_digest(model, version, adapter);
    let mut hashes = Vec::with_capacity(text.len() / BLOCK_BYTES);
    for block in text.as_bytes().chunks_exact(BLOCK_BYTES) {
        let digest = Sha256::new().chain_update(chain).chain_update(block);
        chain = digest.finalize().into();
        hashes.push(short(chain));
    }
    hashes
}

fn variant_digest(
    model: &ModelId,
    version: &ModelVersion,
    adapter: Option<&AdapterId>,
) -> [u8; 32] {
    let adapter = adapter.map_or(NO_ADAPTER, String::as_str);
    let mut digest = Sha256::new();
    for part in [model.as_str(), version.as_str(), adapter] {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    digest.finalize().into()
}

fn short(digest: [u8; 32]) -> PrefixHash {
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    PrefixHash::from_be_bytes(first)
}
