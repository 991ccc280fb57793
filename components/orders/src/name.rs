//! Identity of an order and the digest of its request.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use types::{OrganisationId, ServiceName};

/// Characters percent-encoded in row keys: all but letters, digits, `-`, `_`
/// and `.`.
const ROW_KEY_ESCAPES: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.');

/// Identifies an order. The same key of another organisation or for another
/// service is another order.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct OrderName {
    /// Organisation that submitted the order.
    pub organisation: OrganisationId,
    /// Plain service that runs the order.
    pub service: ServiceName,
    /// Idempotency key set by the caller.
    pub key: String,
}

impl OrderName {
    /// Key of the order's row: `organisation/service/key`, each
    /// percent-encoded.
    #[must_use]
    pub fn row_key(&self) -> String {
        format!(
            "{}/{}/{}",
            escape(&self.organisation),
            escape(&self.service),
            escape(&self.key)
        )
    }

    /// Common prefix of the row keys of an organisation's orders.
    #[must_use]
    pub fn row_key_prefix(organisation: &str) -> String {
        format!("{}/", escape(organisation))
    }

    /// Parses a row key; `None` if it is malformed.
    #[must_use]
    pub fn from_row_key(row_key: &str) -> Option<Self> {
        let mut segments = row_key.split('/').map(unescape);
        let name = Self {
            organisation: segments.next()??,
            service: segments.next()??,
            key: segments.next()??,
        };
        segments.next().is_none().then_some(name)
    }

    /// Key sent to a service that deduplicates: `organisation/key`, each
    /// percent-encoded.
    #[must_use]
    pub fn dedup_key(&self) -> String {
        format!("{}/{}", escape(&self.organisation), escape(&self.key))
    }
}

/// SHA-256 of path, media type and body, in hexadecimal.
#[must_use]
pub fn request_digest(path: &str, content_type: &str, body: &str) -> String {
    let mut hasher = Sha256::new();
    for part in [path, content_type, body] {
        // Without the length, moving text from one part to the next would give
        // the same digest.
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part.as_bytes());
    }
    hex::encode(hasher.finalize())
}

fn escape(text: &str) -> String {
    utf8_percent_encode(text, ROW_KEY_ESCAPES).to_string()
}

fn unescape(text: &str) -> Option<String> {
    let decoded = percent_decode_str(text).decode_utf8().ok()?;
    Some(decoded.into_owned())
}
