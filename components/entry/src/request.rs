//! A request as handlers see it.

use std::{str::FromStr, sync::Arc, time::Duration};

use futures_lite::AsyncReadExt;
use http_types::{Method, Request};
use kernel::{CancellationToken, ClockSource};

use crate::{ApiFailure, BodyBudget, BufferedBody, FailureKind, bearer_digest};

const READ_BYTES: usize = 64 * 1024;
/// A whole body may take this many times the limit for one part of it.
const BODY_TIME_FACTOR: u32 = 6;

/// Headers that callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeaderName {
    /// Time in milliseconds until the answer has no more use.
    DeadlineMs,
    /// The caller's own id of the request.
    RequestId,
    /// W3C trace context.
    Traceparent,
    /// Key under which an order runs at most once.
    IdempotencyKey,
    /// Least note version the caller has been served under.
    NoteVersion,
}

impl HeaderName {
    /// The name on the wire.
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

/// A request whose head has arrived; the body is read when asked for.
#[derive(Debug)]
pub struct EntryRequest {
    request: Request,
    /// Cancelled when the caller closes its connection.
    pub gone: CancellationToken,
    pub(crate) body_read: CancellationToken,
    pub(crate) clock: ClockSource,
    pub(crate) budget: Arc<BodyBudget>,
    pub(crate) body_limit: u64,
    pub(crate) body_time: Duration,
}

impl EntryRequest {
    pub(crate) fn new(
        request: Request,
        clock: ClockSource,
        budget: Arc<BodyBudget>,
        body_limit: u64,
        body_time: Duration,
    ) -> Self {
        Self {
            request,
            gone: CancellationToken::new(),
            body_read: CancellationToken::new(),
            clock,
            budget,
            body_limit,
            body_time,
        }
    }

    /// HTTP method.
    #[must_use]
    pub fn method(&self) -> Method {
        self.request.method()
    }

    /// Path, without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.request.url().path()
    }

    /// Value of a query field.
    #[must_use]
    pub fn query(&self, name: &str) -> Option<String> {
        self.request
            .url()
            .query_pairs()
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.into_owned())
    }

    /// The query as sent, without the question mark.
    #[must_use]
    pub fn raw_query(&self) -> Option<&str> {
        self.request.url().query()
    }

    /// Text of a header; empty when absent.
    #[must_use]
    pub fn header(&self, name: HeaderName) -> &str {
        self.request
            .header(name.as_str())
            .map_or("", |values| values.last().as_str())
    }

    /// Media type of the body; `application/json` when not said.
    #[must_use]
    pub fn content_type(&self) -> String {
        self.request.header("Content-Type").map_or_else(
            || "application/json".to_owned(),
            |values| values.last().as_str().to_owned(),
        )
    }

    /// A header read as a number.
    ///
    /// # Errors
    /// `ApiFailure` when it is present and no number.
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

    /// Digest of the bearer key, if one was sent.
    #[must_use]
    pub fn key_digest(&self) -> Option<String> {
        bearer_digest(&self.request)
    }

    /// Reads the body.
    ///
    /// # Errors
    /// `ApiFailure` when it is too large, too slow or cut off, or when the
    /// node holds too much already.
    pub async fn body(&mut self) -> Result<BufferedBody, ApiFailure> {
        let length = self.request.len().map_or(0, |length| length as u64);
        if length > self.body_limit {
            return Err(self.too_large());
        }
        let limit = self.body_time * BODY_TIME_FACTOR;
        let clock = self.clock.clone();
        match clock.timeout(limit, self.read_parts()).await {
            Some(result) => result,
            None => Err(body_overdue()),
        }
    }

    async fn read_parts(&mut self) -> Result<BufferedBody, ApiFailure> {
        let mut body = BufferedBody::new(Arc::clone(&self.budget));
        let mut part = vec![0_u8; READ_BYTES];
        loop {
            let count = match self.request.read(&mut part).await {
                Ok(0) => break,
                Ok(count) => count,
                Err(error) => return Err(self.read_failure(&error)),
            };
            if body.bytes().len() as u64 + count as u64 > self.body_limit {
                return Err(self.too_large());
            }
            if !body.extend(&part[..count]) {
                return Err(no_room());
            }
        }
        if self
            .request
            .len()
            .is_some_and(|length| length > body.bytes().len())
        {
            return Err(body_cut());
        }
        self.body_read.cancel();
        Ok(body)
    }

    fn read_failure(&self, error: &std::io::Error) -> ApiFailure {
        match error.kind() {
            std::io::ErrorKind::TimedOut => body_overdue(),
            std::io::ErrorKind::InvalidData => self.too_large(),
            _ => body_cut(),
        }
    }

    fn too_large(&self) -> ApiFailure {
        let message = format!("the body is over the limit of {} bytes", self.body_limit);
        ApiFailure::new(FailureKind::BodyTooLarge, "body_too_large", message)
    }
}

fn body_overdue() -> ApiFailure {
    ApiFailure::new(
        FailureKind::RequestTimeout,
        "body_timeout",
        "the body did not arrive in time; nothing was run",
    )
}

fn body_cut() -> ApiFailure {
    ApiFailure::new(
        FailureKind::BadRequest,
        "body_cut",
        "the body ended before its length; nothing was run",
    )
}

fn no_room() -> ApiFailure {
    ApiFailure::new(
        FailureKind::Unavailable,
        "node_full",
        "this node holds too many request bodies; nothing was run; use another address",
    )
    .with_retry_after(Duration::from_secs(1))
}
