//! Prompt fingerprints, which identify a prompt again when it is resent.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use types::{ModelId, OrganisationId};

const ORGANISATION_BYTES: usize = 4;
const CONTENT_BYTES: usize = 16;

/// Identifies a prompt of one organisation by a hash of its content.
///
/// The organisation is part of the hash: an organisation that sends the text of
/// another one's prompt gets a different fingerprint.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct PromptFingerprint {
    organisation: [u8; ORGANISATION_BYTES],
    content: [u8; CONTENT_BYTES],
}

impl PromptFingerprint {
    /// Encodes the fingerprint as 40 hexadecimal digits.
    #[must_use]
    pub fn to_hex(self) -> String {
        format!(
            "{}{}",
            hex::encode(self.organisation),
            hex::encode(self.content)
        )
    }

    /// Parses 40 hexadecimal digits; `None` if `text` is anything else.
    #[must_use]
    pub fn from_hex(text: &str) -> Option<Self> {
        let bytes = hex::decode(text).ok()?;
        let (organisation, content) = bytes.split_at_checked(ORGANISATION_BYTES)?;
        Some(Self {
            organisation: organisation.try_into().ok()?,
            content: content.try_into().ok()?,
        })
    }

    /// Whether both prompts belong to the same organisation.
    #[must_use]
    pub fn same_organisation(&self, other: &Self) -> bool {
        self.organisation == other.organisation
    }
}

/// Fingerprint of a prompt: truncated SHA-256 over organisation, model and text.
#[must_use]
pub fn fingerprint_of(
    organisation: &OrganisationId,
    model: &ModelId,
    text: &str,
) -> PromptFingerprint {
    PromptFingerprint {
        organisation: truncated_hash(&[organisation]),
        content: truncated_hash(&[organisation, model, text]),
    }
}

fn truncated_hash<const BYTES: usize>(parts: &[&str]) -> [u8; BYTES] {
    let mut digest = Sha256::new();
    for part in parts {
        // The length prefix gives every split of the same bytes into parts a
        // different hash.
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part.as_bytes());
    }
    let hash = digest.finalize();
    std::array::from_fn(|index| hash[index])
}
