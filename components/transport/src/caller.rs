//! HTTP client for calls to one peer.

use std::time::Duration;

use async_h1::client;
use errors::SendPhase;
use futures_lite::AsyncReadExt;
use http_types::{Method, Request, Response, StatusCode, Url, headers};
use kernel::ClockSource;
use serde::{Serialize, de::DeserializeOwned};
use smol::net::TcpStream;

use crate::{
    CallError, HttpResponse, MAX_BODY_BYTES,
    stream::{SendProgress, TrackedStream},
};

/// Client for one peer. Each call uses a new connection and is sent once. The
/// `step` of a call names the operation in its errors, such as `table read`.
#[derive(Clone, Debug)]
pub struct HttpClient {
    peer: String,
    clock: ClockSource,
    timeout: Duration,
}

impl HttpClient {
    /// Creates a client for `peer`, an IP address and port, with a default `timeout`
    /// for each call.
    #[must_use]
    pub fn new(peer: String, clock: ClockSource, timeout: Duration) -> Self {
        Self {
            peer,
            clock,
            timeout,
        }
    }

    /// Address that the calls go to, as named in errors.
    #[must_use]
    pub fn peer(&self) -> &str {
        &self.peer
    }

    /// Clock that measures the timeouts.
    #[must_use]
    pub fn clock(&self) -> &ClockSource {
        &self.clock
    }

    /// Timeout of calls that don't set their own.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Builds a request without a body; `path` starts with a slash.
    ///
    /// # Errors
    /// `CallError::Broken` with `SendPhase::BeforeFirstByte` when the address and path
    /// don't form a valid URL.
    pub fn request(&self, step: &str, method: Method, path: &str) -> Result<Request, CallError> {
        let text = format!("http://{}{path}", self.peer);
        let url =
            Url::parse(&text).map_err(|error| self.error_before_send(step, error.to_string()))?;
        Ok(Request::new(method, url))
    }

    /// Builds a POST request with `value` as its JSON body.
    ///
    /// # Errors
    /// `CallError::Broken` with `SendPhase::BeforeFirstByte` when `value` can't be
    /// serialised or the URL is invalid.
    pub fn post<T: Serialize>(
        &self,
        step: &str,
        path: &str,
        value: &T,
    ) -> Result<Request, CallError> {
        let mut request = self.request(step, Method::Post, path)?;
        let body = serde_json::to_vec(value)
            .map_err(|error| self.error_before_send(step, error.to_string()))?;
        request.set_body(body);
        request.insert_header(headers::CONTENT_TYPE, "application/json");
        Ok(request)
    }

    /// Sets a header to an untrusted value.
    ///
    /// # Errors
    /// `CallError::Broken` with `SendPhase::BeforeFirstByte` when the value has
    /// characters other than visible ASCII and spaces, which could inject further
    /// headers.
    pub fn set_header(
        &self,
        step: &str,
        request: &mut Request,
        name: &str,
        value: &str,
    ) -> Result<(), CallError> {
        let is_allowed = |byte: u8| byte == b' ' || byte.is_ascii_graphic();
        if !value.bytes().all(is_allowed) {
            return Err(self.error_before_send(
                step,
                format!("header {name} has a character other than visible ASCII or space"),
            ));
        }
        request.insert_header(name, value);
        Ok(())
    }

    /// Sends `request` and reads the whole response within the default timeout.
    ///
    /// # Errors
    /// `CallError` when no complete response arrives in time.
    pub async fn call(&self, step: &str, request: Request) -> Result<HttpResponse, CallError> {
        self.call_with_timeout(step, request, self.timeout).await
    }

    /// Sends `request` and reads the whole response within `timeout`.
    ///
    /// # Errors
    /// `CallError` when no complete response arrives in time.
    pub async fn call_with_timeout(
        &self,
        step: &str,
        request: Request,
        timeout: Duration,
    ) -> Result<HttpResponse, CallError> {
        let progress = SendProgress::default();
        let exchange = async {
            let head = self.send(step, request, progress.clone()).await?;
            self.read_body(step, head).await
        };
        let exchange = Box::pin(exchange);
        let outcome = self.clock.timeout(timeout, exchange).await;
        outcome.unwrap_or_else(|| Err(self.timeout_error(step, progress.phase())))
    }

    /// Sends `request` and reads the head of the response within `timeout`. The
    /// connection closes when the response is dropped.
    ///
    /// # Errors
    /// `CallError` when no valid head arrives in time.
    pub async fn open_response(
        &self,
        step: &str,
        request: Request,
        timeout: Duration,
    ) -> Result<Response, CallError> {
        let progress = SendProgress::default();
        let exchange = Box::pin(self.send(step, request, progress.clone()));
        let outcome = self.clock.timeout(timeout, exchange).await;
        outcome.unwrap_or_else(|| Err(self.timeout_error(step, progress.phase())))
    }

    /// Reads the body of a response to its declared length within `timeout`.
    ///
    /// # Errors
    /// As `read_body`, or `Overdue`.
    pub async fn read_body_with_timeout(
        &self,
        step: &str,
        head: Response,
        timeout: Duration,
    ) -> Result<HttpResponse, CallError> {
        let exchange = Box::pin(self.read_body(step, head));
        let outcome = self.clock.timeout(timeout, exchange).await;
        outcome.unwrap_or_else(|| Err(self.timeout_error(step, SendPhase::AfterFirstByte)))
    }

    /// Reads the body of a response to its declared length.
    ///
    /// # Errors
    /// `Broken` for a body that ends early, `Malformed` for one that exceeds
    /// `MAX_BODY_BYTES`.
    pub async fn read_body(
        &self,
        step: &str,
        mut head: Response,
    ) -> Result<HttpResponse, CallError> {
        let declared = head.len();
        let body = head.take_body();
        let mut bytes = Vec::new();
        let read = body
            .take(MAX_BODY_BYTES + 1)
            .read_to_end(&mut bytes)
            .await
            .map_err(|error| self.body_error(step, error.to_string()))?;
        if read as u64 > MAX_BODY_BYTES {
            return Err(self.malformed(step, "body exceeds the size limit".to_owned()));
        }
        if declared.is_some_and(|declared| declared != read) {
            return Err(self.body_error(step, "body ended before its declared length".to_owned()));
        }
        Ok(HttpResponse::new(head, bytes))
    }

    /// Decodes the body of a response from JSON.
    ///
    /// # Errors
    /// `CallError::Malformed` with the decoder's message.
    pub fn decode<T: DeserializeOwned>(
        &self,
        step: &str,
        response: &HttpResponse,
    ) -> Result<T, CallError> {
        response.json().map_err(|cause| self.malformed(step, cause))
    }

    /// Builds the error for a response that can't be interpreted.
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
        progress: SendProgress,
    ) -> Result<Response, CallError> {
        let stream = TcpStream::connect(&self.peer)
            .await
            .map_err(|error| self.error_before_send(step, error.to_string()))?;
        stream.set_nodelay(true).ok();
        let tracked = TrackedStream::new(stream, progress.clone());
        let head = client::connect(tracked, request)
            .await
            .map_err(|error| self.connection_error(step, progress.phase(), error.to_string()))?;
        progress.set_head_read();
        if !has_declared_length(&head) {
            return Err(self.malformed(
                step,
                "neither content-length nor transfer-encoding declares the length of the body"
                    .to_owned(),
            ));
        }
        Ok(head)
    }

    fn error_before_send(&self, step: &str, cause: String) -> CallError {
        self.connection_error(step, SendPhase::BeforeFirstByte, cause)
    }

    fn body_error(&self, step: &str, cause: String) -> CallError {
        self.connection_error(step, SendPhase::AfterFirstByte, cause)
    }

    fn connection_error(&self, step: &str, phase: SendPhase, cause: String) -> CallError {
        CallError::Broken {
            step: step.to_owned(),
            peer: self.peer.clone(),
            phase,
            cause,
        }
    }

    fn timeout_error(&self, step: &str, phase: SendPhase) -> CallError {
        CallError::Overdue {
            step: step.to_owned(),
            peer: self.peer.clone(),
            phase,
        }
    }
}

// The HTTP library reads a response without a declared length as an empty body.
fn has_declared_length(head: &Response) -> bool {
    head.status() == StatusCode::NoContent
        || head.header(headers::CONTENT_LENGTH).is_some()
        || head.header(headers::TRANSFER_ENCODING).is_some()
}
