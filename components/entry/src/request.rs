//! Request that the server passes to handlers.

use std::{str::FromStr, sync::Arc, time::Duration};

use futures_lite::AsyncReadExt;
use http_types::{Method, Request};
use kernel::{CancellationToken, ClockSource};
use memory::MemoryBudget;

use crate::{ApiFailure, BufferedBody, FailureKind, bearer_digest};

const READ_BUFFER_BYTES: usize = 64 * 1024;
/// The whole body may take this many times the time limit of a single read.
const TOTAL_BODY_TIME_FACTOR: u32 = 6;

/// Request headers that handlers read by name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeaderName {
    /// Time in milliseconds within which the caller needs the response.
    DeadlineMs,
    /// Request id chosen by the caller.
    RequestId,
    /// W3C trace context of the caller.
    Traceparent,
    /// Deduplication key: an order with this key runs at most once.
    IdempotencyKey,
    /// Lowest release note version that the caller has been served under.
    NoteVersion,
}

impl HeaderName {
    /// Header name on the wire.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::DeadlineMs => "X-Deadline-Ms",
            Self::RequestId => "X-Request-Id",
            Self::Traceparent => "traceparent",
            Self::IdempotencyKey => "Idempotency-Key",
            Self::NoteVersion => "X-Note-Version",
        }
    }
}

/// Request whose head has been parsed; `body` reads the body on demand.
#[derive(Debug)]
pub struct EntryRequest {
    request: Request,
    /// Cancelled when the request ends: the caller has disconnected, which is noticed
    /// only once the body has been read, or the response has been written.
    pub disconnected: CancellationToken,
    pub(crate) body_read: CancellationToken,
    pub(crate) clock: ClockSource,
    pub(crate) budget: Arc<MemoryBudget>,
    pub(crate) body_limit: u64,
    pub(crate) body_timeout: Duration,
}

impl EntryRequest {
    pub(crate) fn new(
        request: Request,
        clock: ClockSource,
        budget: Arc<MemoryBudget>,
        body_limit: u64,
        body_timeout: Duration,
    ) -> Self {
        Self {
            request,
            disconnected: CancellationToken::new(),
            body_read: CancellationToken::new(),
            clock,
            budget,
            body_limit,
            body_timeout,
        }
    }

    /// HTTP method of the request line.
    #[must_use]
    pub fn method(&self) -> Method {
        self.request.method()
    }

    /// URL path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.request.url().path()
    }

    /// Decoded value of the first query parameter called `name`.
    #[must_use]
    pub fn query(&self, name: &str) -> Option<String> {
        self.request
            .url()
            .query_pairs()
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.into_owned())
    }

    /// Undecoded query string, without the question mark.
    #[must_use]
    pub fn raw_query(&self) -> Option<&str> {
        self.request.url().query()
    }

    /// Last value of a header; empty when the header is absent.
    #[must_use]
    pub fn header(&self, name: HeaderName) -> &str {
        self.request
            .header(name.as_str())
            .map_or("", |values| values.last().as_str())
    }

    /// Media type of the body; `application/json` when the header is absent.
    #[must_use]
    pub fn content_type(&self) -> String {
        self.request.header("Content-Type").map_or_else(
            || "application/json".to_owned(),
            |values| values.last().as_str().to_owned(),
        )
    }

    /// Parses a header as a number; `None` when it is absent or empty.
    ///
    /// # Errors
    /// `bad_header` when the value does not parse as `T`.
    pub fn number<T: FromStr>(&self, name: HeaderName) -> Result<Option<T>, ApiFailure> {
        let text = self.header(name);
        if text.is_empty() {
            return Ok(None);
        }
        text.parse().map(Some).map_err(|_| {
            let message = format!("{} must be a whole number", name.as_str());
            ApiFailure::new(FailureKind::BadRequest, "bad_header", message)
                .with_param(name.as_str())
        })
    }

    /// SHA-256 digest of the bearer key, if one was sent.
    #[must_use]
    pub fn key_digest(&self) -> Option<String> {
        bearer_digest(&self.request)
    }

    /// Reads the whole body into memory.
    ///
    /// # Errors
    /// `body_too_large`, `body_timeout` or `body_cut` for a body that is too large,
    /// too slow or incomplete; `node_full` when the node's budget is used up.
    pub async fn body(&mut self) -> Result<BufferedBody, ApiFailure> {
        let length = self.request.len().map_or(0, |length| length as u64);
        if length > self.body_limit {
            return Err(self.body_too_large());
        }
        let timeout = self.body_timeout * TOTAL_BODY_TIME_FACTOR;
        let clock = self.clock.clone();
        match clock.timeout(timeout, self.read_body()).await {
            Some(result) => result,
            None => Err(body_timeout_failure()),
        }
    }

    async fn read_body(&mut self) -> Result<BufferedBody, ApiFailure> {
        let mut body = BufferedBody::new(&self.budget);
        let mut buffer = vec![0_u8; READ_BUFFER_BYTES];
        loop {
            let count = match self.request.read(&mut buffer).await {
                Ok(0) => break,
                Ok(count) => count,
                Err(error) => return Err(self.read_failure(&error)),
            };
            if body.bytes().len() as u64 + count as u64 > self.body_limit {
                return Err(self.body_too_large());
            }
            if !body.extend(&buffer[..count]) {
                return Err(budget_exceeded_failure());
            }
        }
        if self
            .request
            .len()
            .is_some_and(|length| length > body.bytes().len())
        {
            return Err(body_truncated_failure());
        }
        self.body_read.cancel();
        Ok(body)
    }

    fn read_failure(&self, error: &std::io::Error) -> ApiFailure {
        match error.kind() {
            std::io::ErrorKind::TimedOut => body_timeout_failure(),
            std::io::ErrorKind::InvalidData => self.body_too_large(),
            _ => body_truncated_failure(),
        }
    }

    fn body_too_large(&self) -> ApiFailure {
        let message = format!("the body is over the limit of {} bytes", self.body_limit);
        ApiFailure::new(FailureKind::BodyTooLarge, "body_too_large", message)
    }
}

fn body_timeout_failure() -> ApiFailure {
    ApiFailure::new(
        FailureKind::RequestTimeout,
        "body_timeout",
        "the body did not arrive in time; nothing was run",
    )
}

fn body_truncated_failure() -> ApiFailure {
    ApiFailure::new(
        FailureKind::BadRequest,
        "body_cut",
        "the body ended before its length; nothing was run",
    )
}

fn budget_exceeded_failure() -> ApiFailure {
    ApiFailure::new(
        FailureKind::Unavailable,
        "node_full",
        "this node holds too many request bodies; nothing was run; use another address",
    )
    .with_retry_after(Duration::from_secs(1))
}
