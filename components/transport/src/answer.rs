//! A whole answer.

use std::time::Duration;

use http_types::Response;
use serde::de::DeserializeOwned;

/// Longest body of an answer that is read whole, in bytes.
pub const ANSWER_LIMIT_BYTES: u64 = 16 * 1024 * 1024;

const EXCERPT_BYTES: usize = 200;

/// An answer whose body was read to its stated end.
#[derive(Debug)]
pub struct HttpResponse {
    head: Response,
    body: Vec<u8>,
}

impl HttpResponse {
    pub(crate) fn new(head: Response, body: Vec<u8>) -> Self {
        Self { head, body }
    }

    /// HTTP status.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.head.status().into()
    }

    /// The last value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name).map(|values| values.last().as_str())
    }

    /// A header that holds a number.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.header(name)?.parse().ok()
    }

    /// When to try again: `Retry-After-Ms`, else `Retry-After` in seconds.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        self.number("retry-after-ms")
            .map(Duration::from_millis)
            .or_else(|| self.number("retry-after").map(Duration::from_secs))
    }

    /// The body.
    #[must_use]
    pub fn into_body(self) -> Vec<u8> {
        self.body
    }

    /// The start of the body as one line of text, for errors and logs.
    #[must_use]
    pub fn excerpt(&self) -> String {
        let start = &self.body[..self.body.len().min(EXCERPT_BYTES)];
        let text = String::from_utf8_lossy(start);
        text.replace(char::is_control, " ")
    }

    /// The body from JSON.
    ///
    /// # Errors
    /// What the decoder said.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, String> {
        serde_json::from_slice(&self.body).map_err(|fault| fault.to_string())
    }
}
