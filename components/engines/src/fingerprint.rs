//! What tells one prompt from another across resends.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use types::{ModelId, OrganisationId};

const ORGANISATION_BYTES: usize = 4;
const CONTENT_BYTES: usize = 16;

/// Names a prompt of one organisation by its content.
///
/// The organisation is part of it: whoever sends the text of another
/// organisation's prompt gets a fingerprint of its own.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct PromptFingerprint {
    organisation: [u8; ORGANISATION_BYTES],
    content: [u8; CONTENT_BYTES],
}

impl PromptFingerprint {
    /// The fingerprint in hexadecimal.
    #[must_use]
    pub fn to_hex(self) -> String {
        format!(
            "{}{}",
            hex::encode(self.organisation),
            hex::encode(self.content)
        )
    }

    /// The fingerprint written in hexadecimal as `text`.
    #[must_use]
    pub fn from_hex(text: &str) -> Option<Self> {
        let bytes = hex::decode(text).ok()?;
        let (organisation, content) = bytes.split_at_checked(ORGANISATION_BYTES)?;
        Some(Self {
            organisation: organisation.try_into().ok()?,
            content: content.try_into().ok()?,
        })
    }

    /// Whether both are prompts of one organisation.
    #[must_use]
    pub fn same_organisation(&self, other: &Self) -> bool {
        self.organisation == other.organisation
    }
}

/// The fingerprint of a prompt: SHA-256 over organisation, model and text,
/// cut short.
#[must_use]
pub fn fingerprint_of(
    organisation: &OrganisationId,
    model: &ModelId,
    text: &str,
) -> PromptFingerprint {
    PromptFingerprint {
        organisation: digest_of(&[organisation]),
        content: digest_of(&[organisation, model, text]),
    }
}

fn digest_of<const BYTES: usize>(parts: &[&str]) -> [u8; BYTES] {
    let mut digest = Sha256::new();
    for part in parts {
        // The length keeps text from moving between the parts unseen.
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part.as_bytes());
    }
    let whole = digest.finalize();
    std::array::from_fn(|index| whole[index])
}
