//! Keys that authenticate datagrams, and their rotation by overlap.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Length of the authentication tag in bytes: HMAC-SHA256, cut to half.
pub const TAG_BYTES: usize = 16;

/// One secret that nodes share.
#[derive(Clone, Eq, PartialEq)]
pub struct SealKey {
    /// Names the key on the wire.
    pub id: u32,
    /// The secret.
    pub secret: Vec<u8>,
}

impl std::fmt::Debug for SealKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "SealKey {{ id: {}, secret: hidden }}", self.id)
    }
}

/// The keys a node accepts; it signs with the first.
///
/// To rotate without a gap, every node first accepts the new key after the
/// old one, then signs with the new one, then drops the old one.
#[derive(Clone, Debug)]
pub struct KeyRing {
    signing: SealKey,
    accepted: Vec<SealKey>,
}

impl KeyRing {
    /// A ring that signs with `signing` and also accepts `others`.
    #[must_use]
    pub fn new(signing: SealKey, others: Vec<SealKey>) -> Self {
        let mut accepted = others;
        accepted.insert(0, signing.clone());
        Self { signing, accepted }
    }

    /// Id of the key that signs.
    #[must_use]
    pub fn signing_id(&self) -> u32 {
        self.signing.id
    }

    /// The tag of `parts` under the signing key.
    #[must_use]
    pub fn sign(&self, parts: &[&[u8]]) -> [u8; TAG_BYTES] {
        let full = keyed(&self.signing, parts).finalize().into_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&full[..TAG_BYTES]);
        tag
    }

    /// Whether `tag` is that of `parts` under the key `id`; `None` when the
    /// ring doesn't hold the key. Takes the same time whichever byte differs.
    #[must_use]
    pub fn verify(&self, id: u32, parts: &[&[u8]], tag: &[u8]) -> Option<bool> {
        let key = self.accepted.iter().find(|key| key.id == id)?;
        let matches = keyed(key, parts).verify_truncated_left(tag).is_ok();
        Some(matches && tag.len() == TAG_BYTES)
    }
}

fn keyed(key: &SealKey, parts: &[&[u8]]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&key.secret).expect("any length is a key");
    for part in parts {
        let length = u32::try_from(part.len()).unwrap_or(u32::MAX);
        mac.update(&length.to_le_bytes());
        mac.update(part);
    }
    mac
}
