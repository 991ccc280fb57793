//! Bearer keys, stored and compared only as SHA-256 digests.

use http_types::Request;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

const BEARER_PREFIX: &str = "Bearer ";

/// Returns the SHA-256 digest of a key, in lower-case hexadecimal.
#[must_use]
pub fn key_digest(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

/// Returns the digest of the request's bearer key; `None` without a key.
#[must_use]
pub fn bearer_digest(request: &Request) -> Option<String> {
    let header = request.header("Authorization")?.last().as_str();
    let key = header.strip_prefix(BEARER_PREFIX)?.trim();
    if key.is_empty() {
        return None;
    }
    Some(key_digest(key))
}

/// Compares two hexadecimal digests in constant time, ignoring case.
#[must_use]
pub fn digest_matches(left: &str, right: &str) -> bool {
    let left = left.to_ascii_lowercase();
    let right = right.to_ascii_lowercase();
    left.as_bytes().ct_eq(right.as_bytes()).into()
}
