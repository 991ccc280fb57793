//! Calls to one peer, each on a connection of its own.

use std::time::Duration;

use async_h1::client;
use errors::SendPhase;
use futures_lite::AsyncReadExt;
use http_types::{Method, Request, Response, StatusCode, Url, headers};
use kernel::ClockSource;
use serde::{Serialize, de::DeserializeOwned};
use smol::net::TcpStream;

use crate::{
    ANSWER_LIMIT_BYTES, CallError, HttpResponse,
    stream::{MarkedStream, SendMark},
};

/// Calls to one peer, each on a connection of its own and sent once.
#[derive(Clone, Debug)]
pub struct HttpClient {
    peer: String,
    clock: ClockSource,
    limit: Duration,
}

impl HttpClient {
    /// Calls to `peer`, an IP number and port, with at most `limit` each.
    #[must_use]
    pub fn new(peer: String, clock: ClockSource, limit: Duration) -> Self {
        Self { peer, clock, limit }
    }

    /// Whom the calls go to.
    #[must_use]
    pub fn peer(&self) -> &str {
        &self.peer
    }

    /// The clock that limits the calls.
    #[must_use]
    pub fn clock(&self) -> &ClockSource {
        &self.clock
    }

    /// The limit of a call that names none.
    #[must_use]
    pub fn limit(&self) -> Duration {
        self.limit
    }

    /// An empty request to `path`, which starts with a slash.
    ///
    /// # Errors
    /// `CallError::Broken` before the first byte when the address or path is
    /// no URL.
    pub fn request(&self, step: &str, method: Method, path: &str) -> Result<Request, CallError> {
        let text = format!("http://{}{path}", self.peer);
        let url = Url::parse(&text).map_err(|fault| self.unsent(step, fault.to_string()))?;
        Ok(Request::new(method, url))
    }

    /// A POST of `value` as JSON.
    ///
    /// # Errors
    /// `CallError::Broken` before the first byte when it can't be built.
    pub fn post<T: Serialize>(
        &self,
        step: &str,
        path: &str,
        value: &T,
    ) -> Result<Request, CallError> {
        let mut request = self.request(step, Method::Post, path)?;
        let body =
            serde_json::to_vec(value).map_err(|fault| self.unsent(step, fault.to_string()))?;
        request.set_body(body);
        request.insert_header(headers::CONTENT_TYPE, "application/json");
        Ok(request)
    }

    /// Sets a header whose value comes from elsewhere.
    ///
    /// # Errors
    /// `CallError::Broken` before the first byte when the value isn't visible
    /// ASCII and blanks, so that it can't add headers of its own.
    pub fn set_header(
        &self,
        step: &str,
        request: &mut Request,
        name: &str,
        value: &str,
    ) -> Result<(), CallError> {
        let plain = |byte: u8| byte == b' ' || byte.is_ascii_graphic();
        if !value.bytes().all(plain) {
            return Err(self.unsent(step, format!("header {name} has a forbidden character")));
        }
        request.insert_header(name, value);
        Ok(())
    }

    /// Sends `request` and reads the whole answer within the caller's limit.
    ///
    /// # Errors
    /// `CallError`.
    pub async fn call(&self, step: &str, request: Request) -> Result<HttpResponse, CallError> {
        self.call_within(step, request, self.limit).await
    }

    /// Sends `request` and reads the whole answer within `limit`.
    ///
    /// # Errors
    /// `CallError`.
    pub async fn call_within(
        &self,
        step: &str,
        request: Request,
        limit: Duration,
    ) -> Result<HttpResponse, CallError> {
        let mark = SendMark::default();
        let work = async {
            let head = self.send(step, request, mark.clone()).await?;
            self.read_whole(step, head).await
        };
        let work = Box::pin(work);
        let outcome = self.clock.timeout(limit, work).await;
        outcome.unwrap_or_else(|| Err(self.overdue(step, mark.phase())))
    }

    /// Sends `request` and reads the head of the answer within `limit`; the
    /// connection closes when the response is dropped.
    ///
    /// # Errors
    /// `CallError`.
    pub async fn open(
        &self,
        step: &str,
        request: Request,
        limit: Duration,
    ) -> Result<Response, CallError> {
        let mark = SendMark::default();
        let work = Box::pin(self.send(step, request, mark.clone()));
        let outcome = self.clock.timeout(limit, work).await;
        outcome.unwrap_or_else(|| Err(self.overdue(step, mark.phase())))
    }

    /// Reads the rest of an answer to its stated end within `limit`.
    ///
    /// # Errors
    /// As `read_whole`, or `Overdue`.
    pub async fn read_within(
        &self,
        step: &str,
        head: Response,
        limit: Duration,
    ) -> Result<HttpResponse, CallError> {
        let work = Box::pin(self.read_whole(step, head));
        let outcome = self.clock.timeout(limit, work).await;
        outcome.unwrap_or_else(|| Err(self.overdue(step, SendPhase::AfterFirstByte)))
    }

    /// Reads the rest of an answer to its stated end.
    ///
    /// # Errors
    /// `CallError`; a body that ends early is `Broken`, never a whole answer.
    pub async fn read_whole(
        &self,
        step: &str,
        mut head: Response,
    ) -> Result<HttpResponse, CallError> {
        let stated = head.len();
        let body = head.take_body();
        let mut bytes = Vec::new();
        let read = body
            .take(ANSWER_LIMIT_BYTES + 1)
            .read_to_end(&mut bytes)
            .await
            .map_err(|fault| self.cut(step, fault.to_string()))?;
        if read as u64 > ANSWER_LIMIT_BYTES {
            return Err(self.malformed(step, "body over the limit".to_owned()));
        }
        if stated.is_some_and(|stated| stated != read) {
            return Err(self.cut(step, "body ended early".to_owned()));
        }
        Ok(HttpResponse::new(head, bytes))
    }

    /// Reads an answer's body from JSON.
    ///
    /// # Errors
    /// `CallError::Malformed`.
    pub fn decode<T: DeserializeOwned>(
        &self,
        step: &str,
        answer: &HttpResponse,
    ) -> Result<T, CallError> {
        answer.json().map_err(|cause| self.malformed(step, cause))
    }

    /// The fault of an answer that can't be understood.
    #[must_use]
    pub fn malformed(&self, step: &str, cause: String) -> CallError {
        CallError::Malformed {
            step: step.to_owned(),
            peer: self.peer.clone(),
            cause,
        }
    }

    async fn send(
        &self,
        step: &str,
        request: Request,
        mark: SendMark,
    ) -> Result<Response, CallError> {
        let stream = TcpStream::connect(&self.peer)
            .await
            .map_err(|fault| self.unsent(step, fault.to_string()))?;
        stream.set_nodelay(true).ok();
        let marked = MarkedStream::new(stream, mark.clone());
        let head = client::connect(marked, request)
            .await
            .map_err(|fault| self.broken(step, mark.phase(), fault.to_string()))?;
        mark.end_head();
        if !has_stated_end(&head) {
            return Err(self.malformed(step, "body without a stated end".to_owned()));
        }
        Ok(head)
    }

    fn unsent(&self, step: &str, cause: String) -> CallError {
        self.broken(step, SendPhase::BeforeFirstByte, cause)
    }

    fn cut(&self, step: &str, cause: String) -> CallError {
        self.broken(step, SendPhase::AfterFirstByte, cause)
    }

    fn broken(&self, step: &str, phase: SendPhase, cause: String) -> CallError {
        CallError::Broken {
            step: step.to_owned(),
            peer: self.peer.clone(),
            phase,
            cause,
        }
    }

    fn overdue(&self, step: &str, phase: SendPhase) -> CallError {
        CallError::Overdue {
            step: step.to_owned(),
            peer: self.peer.clone(),
            phase,
        }
    }
}

// The client library gives such an answer an empty body.
fn has_stated_end(head: &Response) -> bool {
    head.status() == StatusCode::NoContent
        || head.header(headers::CONTENT_LENGTH).is_some()
        || head.header(headers::TRANSFER_ENCODING).is_some()
}
