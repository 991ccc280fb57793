//! Shared keys that authenticate messages between nodes, and key rotation.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Length of the authentication tag in bytes: HMAC-SHA256 truncated to 128 bits.
pub const TAG_BYTES: usize = 16;

/// Secret key that all nodes of the fleet share.
#[derive(Clone, Eq, PartialEq)]
pub struct MacKey {
    /// Identifier of the key in datagrams, so that receivers find it in their ring.
    pub id: u32,
    /// Secret bytes of any length; `Debug` doesn't print them.
    pub secret: Vec<u8>,
}

impl std::fmt::Debug for MacKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "MacKey {{ id: {}, secret: hidden }}", self.id)
    }
}

/// Keys that a node accepts, one of which it signs with.
///
/// To rotate a key without dropped messages, make all nodes accept the new key
/// beside the old one, then let all sign with the new one, then remove the old
/// one from all.
#[derive(Clone, Debug)]
pub struct KeyRing {
    signing: MacKey,
    accepted: Vec<MacKey>,
}

impl KeyRing {
    /// Creates a ring that signs with `signing` and accepts it and `other_keys`.
    #[must_use]
    pub fn new(signing: MacKey, other_keys: Vec<MacKey>) -> Self {
        let mut accepted = other_keys;
        accepted.insert(0, signing.clone());
        Self { signing, accepted }
    }

    /// Identifier of the key that this node signs with.
    #[must_use]
    pub fn signing_id(&self) -> u32 {
        self.signing.id
    }

    /// Computes the authentication tag of `parts` under the signing key. Each
    /// part is hashed with its length, so parts can't be shifted into each other.
    #[must_use]
    pub fn sign(&self, parts: &[&[u8]]) -> [u8; TAG_BYTES] {
        let full_tag = mac_over(&self.signing, parts).finalize().into_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&full_tag[..TAG_BYTES]);
        tag
    }

    /// Returns whether `tag` authenticates `parts` under the key `id`, or `None`
    /// when the ring doesn't hold that key. The comparison takes constant time.
    #[must_use]
    pub fn verify(&self, id: u32, parts: &[&[u8]], tag: &[u8]) -> Option<bool> {
        let key = self.accepted.iter().find(|key| key.id == id)?;
        let matches = mac_over(key, parts).verify_truncated_left(tag).is_ok();
        Some(matches && tag.len() == TAG_BYTES)
    }
}

fn mac_over(key: &MacKey, parts: &[&[u8]]) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(&key.secret).expect("HMAC accepts keys of any length");
    for part in parts {
        let length = u32::try_from(part.len()).unwrap_or(u32::MAX);
        mac.update(&length.to_le_bytes());
        mac.update(part);
    }
    mac
}
