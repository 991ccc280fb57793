//! One connection: requests one after another, each bounded.

use std::sync::Arc;

use async_h1::server::{Encoder, decode};
use futures_lite::{AsyncWriteExt, io};
use http_types::{Method, Request, Response};
use kernel::{CancellationToken, ClockSource};

use crate::{
    ApiFailure, BodyBudget, EntryHandler, EntryLimits, EntryRequest, FailureKind,
    stream::CallerStream,
};

const HEAD_BYTES: u64 = 16 * 1024;
/// Chunk headers and the like, beyond the body itself.
const FRAMING_BYTES: u64 = 1024 * 1024;

pub(crate) struct CallerConnection {
    pub(crate) stream: CallerStream,
    pub(crate) handler: EntryHandler,
    pub(crate) limits: EntryLimits,
    pub(crate) budget: Arc<BodyBudget>,
    pub(crate) clock: ClockSource,
}

enum HeadOutcome {
    Closed,
    Request(Box<Request>),
    Faulty(ApiFailure),
}

impl CallerConnection {
    /// Serves requests until the caller closes, a request fails to parse, or
    /// the node stops; a request under way is always finished.
    pub(crate) async fn serve(mut self, token: CancellationToken) {
        loop {
            let head = smol::future::or(self.read_head(), async {
                token.cancelled().await;
                HeadOutcome::Closed
            })
            .await;
            let keep = match head {
                HeadOutcome::Closed => false,
                HeadOutcome::Request(request) => self.answer(*request, &token).await,
                HeadOutcome::Faulty(failure) => {
                    self.write(failure.response(), Method::Get, true).await;
                    false
                }
            };
            if !keep {
                self.stream.close().await.ok();
                return;
            }
        }
    }

    async fn read_head(&self) -> HeadOutcome {
        self.stream.allow(HEAD_BYTES);
        let decoding = decode(self.stream.clone());
        let decoded = self.clock.timeout(self.limits.head_time, decoding).await;
        match decoded {
            Some(Ok(Some((request, _body)))) => HeadOutcome::Request(Box::new(request)),
            Some(Ok(None)) => HeadOutcome::Closed,
            Some(Err(_)) if self.stream.is_exhausted() => HeadOutcome::Faulty(head_too_large()),
            Some(Err(error)) => HeadOutcome::Faulty(head_failure(&error)),
            None => HeadOutcome::Faulty(head_overdue()),
        }
    }

    async fn answer(&mut self, request: Request, token: &CancellationToken) -> bool {
        let method = request.method();
        let close_asked = request
            .header("Connection")
            .is_some_and(|values| values.last().as_str().eq_ignore_ascii_case("close"));
        self.stream.allow(self.limits.body_bytes + FRAMING_BYTES);
        let request = EntryRequest::new(
            request,
            self.clock.clone(),
            Arc::clone(&self.budget),
            self.limits.body_bytes,
            self.limits.body_time,
        );
        let has_body = !matches!(method, Method::Get | Method::Head | Method::Delete);
        let gone = request.gone.clone();
        let body_read = has_body.then(|| request.body_read.clone());
        let guard = gone.clone().drop_guard();
        let response = (self.handler)(request);
        let work = async {
            let response = response.await;
            let failed = !response.status().is_success();
            let close = close_asked || token.is_cancelled() || (failed && has_body);
            self.write(response, method, close).await && !close
        };
        let keep = smol::future::or(work, watch_caller(self.stream.clone(), body_read, gone)).await;
        drop(guard);
        keep
    }

    async fn write(&self, mut response: Response, method: Method, close: bool) -> bool {
        if close {
            response.insert_header("Connection", "close");
        }
        let mut stream = self.stream.clone();
        let encoder = Encoder::new(response, method);
        io::copy(encoder, &mut stream).await.is_ok()
    }
}

/// Ends, and tells the request's work, when the caller closes. While a body
/// is still to be read, its reader sees the end instead.
async fn watch_caller(
    stream: CallerStream,
    body_read: Option<CancellationToken>,
    gone: CancellationToken,
) -> bool {
    if let Some(read) = body_read {
        read.cancelled().await;
    }
    stream.closed().await;
    gone.cancel();
    false
}

fn head_too_large() -> ApiFailure {
    ApiFailure::new(
        FailureKind::HeadTooLarge,
        "head_too_large",
        "the request's head is over the limit",
    )
}

fn head_overdue() -> ApiFailure {
    ApiFailure::new(
        FailureKind::RequestTimeout,
        "head_timeout",
        "the request's head did not arrive in time",
    )
}

fn head_failure(error: &http_types::Error) -> ApiFailure {
    let text = error.to_string();
    if text.contains("8kb") || text.contains("too many headers") {
        return head_too_large();
    }
    ApiFailure::new(
        FailureKind::BadRequest,
        "malformed_request",
        "the request's head is malformed",
    )
}
