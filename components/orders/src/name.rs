//! How an order is named and its body compared.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use types::{OrganisationId, ServiceName};

/// Everything but letters, digits and these is escaped in row keys.
const KEY_ESCAPES: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.');

/// Names one order: another organisation's same key is another order.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct OrderName {
    /// Whose order it is.
    pub organisation: OrganisationId,
    /// Service it goes to.
    pub service: ServiceName,
    /// The caller's idempotency key.
    pub key: String,
}

impl OrderName {
    /// Key of the order's row: `organisation/service/key`, each escaped.
    #[must_use]
    pub fn row_key(&self) -> String {
        format!(
            "{}/{}/{}",
            escape(&self.organisation),
            escape(&self.service),
            escape(&self.key)
        )
    }

    /// Start of the row keys of one organisation's orders.
    #[must_use]
    pub fn row_key_prefix(organisation: &str) -> String {
        format!("{}/", escape(organisation))
    }

    /// The name behind a row key; `None` when it is not one.
    #[must_use]
    pub fn from_row_key(row_key: &str) -> Option<Self> {
        let mut parts = row_key.split('/').map(unescape);
        let name = Self {
            organisation: parts.next()??,
            service: parts.next()??,
            key: parts.next()??,
        };
        parts.next().is_none().then_some(name)
    }

    /// Key towards a service that deduplicates.
    #[must_use]
    pub fn dedup_key(&self) -> String {
        format!("{}/{}", escape(&self.organisation), escape(&self.key))
    }
}

/// SHA-256 over path, media type and body, in hexadecimal.
#[must_use]
pub fn request_digest(path: &str, content_type: &str, body: &str) -> String {
    let mut hasher = Sha256::new();
    for part in [path, content_type, body] {
        // The length keeps text from moving between the parts unseen.
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part.as_bytes());
    }
    hex::encode(hasher.finalize())
}

fn escape(text: &str) -> String {
    utf8_percent_encode(text, KEY_ESCAPES).to_string()
}

fn unescape(text: &str) -> Option<String> {
    let decoded = percent_decode_str(text).decode_utf8().ok()?;
    Some(decoded.into_owned())
}
