//! Complete HTTP response.

use std::time::Duration;

use http_types::Response;
use serde::de::DeserializeOwned;

/// Maximum size in bytes of a response body that is read into memory.
pub const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

const MAX_EXCERPT_BYTES: usize = 200;

/// Response whose body has been read to its declared length.
#[derive(Debug)]
pub struct HttpResponse {
    head: Response,
    body: Vec<u8>,
}

impl HttpResponse {
    pub(crate) fn new(head: Response, body: Vec<u8>) -> Self {
        Self { head, body }
    }

    /// HTTP status code.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.head.status().into()
    }

    /// Last value of a header; `None` when the header is absent.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name).map(|values| values.last().as_str())
    }

    /// Parses a header as a number; `None` when it is absent or not a number.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.header(name)?.parse().ok()
    }

    /// Delay before a retry: `Retry-After-Ms` in milliseconds, else `Retry-After`
    /// in seconds.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        self.number("retry-after-ms")
            .map(Duration::from_millis)
            .or_else(|| self.number("retry-after").map(Duration::from_secs))
    }

    /// Returns the body as raw bytes.
    #[must_use]
    pub fn into_body(self) -> Vec<u8> {
        self.body
    }

    /// Returns the first 200 bytes of the body as one line of text, for error
    /// messages and logs. Control characters become spaces, so that the text can't
    /// forge a log line.
    #[must_use]
    pub fn excerpt(&self) -> String {
        let start = &self.body[..self.body.len().min(MAX_EXCERPT_BYTES)];
        let text = String::from_utf8_lossy(start);
        text.replace(char::is_control, " ")
    }

    /// Decodes the body from JSON.
    ///
    /// # Errors
    /// The decoder's message.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, String> {
        serde_json::from_slice(&self.body).map_err(|error| error.to_string())
    }
}
