//! Serves the requests of one connection in sequence, with limits on size and time.

use std::sync::Arc;

use async_h1::server::{Encoder, decode};
use futures_lite::{AsyncWriteExt, io};
use http_types::{Method, Request, Response};
use kernel::{CancellationToken, ClockSource};
use memory::MemoryBudget;

use crate::{
    ApiFailure, EntryHandler, EntryLimits, EntryRequest, FailureKind, stream::CallerStream,
};

/// Maximum number of bytes read for one request head. async-h1 rejects heads over
/// 8 kB itself; this limit is above that and bounds what is read before it does.
const MAX_HEAD_BYTES: u64 = 16 * 1024;
/// Allowance for chunk headers and trailers, in addition to the body.
const FRAMING_ALLOWANCE_BYTES: u64 = 1024 * 1024;

pub(crate) struct CallerConnection {
    pub(crate) stream: CallerStream,
    pub(crate) handler: EntryHandler,
    pub(crate) limits: EntryLimits,
    pub(crate) budget: Arc<MemoryBudget>,
    pub(crate) clock: ClockSource,
}

enum HeadOutcome {
    Closed,
    Request(Box<Request>),
    Invalid(ApiFailure),
}

impl CallerConnection {
    /// Serves requests until the connection closes, which happens when
    /// - the caller disconnects or sends `Connection: close`,
    /// - a request head is invalid or late,
    /// - a response can't be written,
    /// - a request with a body fails, because the rest of its body may be unread, or
    /// - `token` is cancelled; a request in flight is completed first.
    pub(crate) async fn serve(mut self, token: CancellationToken) {
        loop {
            let head = smol::future::or(self.read_head(), async {
                token.cancelled().await;
                HeadOutcome::Closed
            })
            .await;
            let keep_alive = match head {
                HeadOutcome::Closed => false,
                HeadOutcome::Request(request) => self.handle_request(*request, &token).await,
                HeadOutcome::Invalid(failure) => {
                    self.write_response(failure.response(), Method::Get, true)
                        .await;
                    false
                }
            };
            if !keep_alive {
                self.stream.close().await.ok();
                return;
            }
        }
    }

    async fn read_head(&self) -> HeadOutcome {
        self.stream.set_read_allowance(MAX_HEAD_BYTES);
        let decoding = decode(self.stream.clone());
        let decoded = self.clock.timeout(self.limits.head_timeout, decoding).await;
        match decoded {
            Some(Ok(Some((request, _body)))) => HeadOutcome::Request(Box::new(request)),
            Some(Ok(None)) => HeadOutcome::Closed,
            Some(Err(_)) if self.stream.is_exhausted() => HeadOutcome::Invalid(head_too_large()),
            Some(Err(error)) => HeadOutcome::Invalid(head_failure(&error)),
            None => HeadOutcome::Invalid(head_timeout()),
        }
    }

    /// Passes the request to the handler and writes its response. Returns whether the
    /// connection stays open.
    async fn handle_request(&mut self, request: Request, token: &CancellationToken) -> bool {
        let method = request.method();
        let close_requested = request
            .header("Connection")
            .is_some_and(|values| values.last().as_str().eq_ignore_ascii_case("close"));
        self.stream
            .set_read_allowance(self.limits.body_bytes + FRAMING_ALLOWANCE_BYTES);
        let request = EntryRequest::new(
            request,
            self.clock.clone(),
            Arc::clone(&self.budget),
            self.limits.body_bytes,
            self.limits.body_timeout,
        );
        let has_body = !matches!(method, Method::Get | Method::Head | Method::Delete);
        let disconnected = request.disconnected.clone();
        let body_read = has_body.then(|| request.body_read.clone());
        let guard = disconnected.clone().drop_guard();
        let response = (self.handler)(request);
        let respond = async {
            let response = response.await;
            let failed = !response.status().is_success();
            let close = close_requested || token.is_cancelled() || (failed && has_body);
            self.write_response(response, method, close).await && !close
        };
        let keep_alive = smol::future::or(
            respond,
            watch_disconnect(self.stream.clone(), body_read, disconnected),
        )
        .await;
        drop(guard);
        keep_alive
    }

    /// Returns whether the whole response was written.
    async fn write_response(&self, mut response: Response, method: Method, close: bool) -> bool {
        if close {
            response.insert_header("Connection", "close");
        }
        let mut stream = self.stream.clone();
        let encoder = Encoder::new(response, method);
        io::copy(encoder, &mut stream).await.is_ok()
    }
}

/// Cancels `disconnected` when the caller closes the connection, and returns `false`
/// as the connection can't stay open. Starts after the body has been read; until
/// then `EntryRequest::body` notices a closed connection.
async fn watch_disconnect(
    stream: CallerStream,
    body_read: Option<CancellationToken>,
    disconnected: CancellationToken,
) -> bool {
    if let Some(body_read) = body_read {
        body_read.cancelled().await;
    }
    stream.wait_closed().await;
    disconnected.cancel();
    false
}

fn head_too_large() -> ApiFailure {
    ApiFailure::new(
        FailureKind::HeadTooLarge,
        "head_too_large",
        "the request's head is over the limit",
    )
}

fn head_timeout() -> ApiFailure {
    ApiFailure::new(
        FailureKind::RequestTimeout,
        "head_timeout",
        "the request's head did not arrive in time",
    )
}

fn head_failure(error: &http_types::Error) -> ApiFailure {
    // async-h1 reports a head over its own limits only by the text of the message.
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
