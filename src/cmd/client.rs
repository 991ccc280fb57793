//! HTTP client of the command line for calls to a node.

use std::{
    env,
    io::{self, Write},
    time::Duration,
};

use http_types::{Method, Request};
use kernel::ClockSource;
use serde::{Deserialize, de::DeserializeOwned};
use transport::{HttpClient, HttpResponse};

use crate::launch::ProgramError;

const CALL_TIMEOUT: Duration = Duration::from_secs(30);
const KEY_VARIABLE: &str = "GENTIANTALLY_KEY";
const UNREACHABLE_ADVICE: &str =
    "check that the node runs and that --node names its callers' address";

/// HTTP client for one node; sends the same key with every call.
pub struct NodeClient {
    http: HttpClient,
    key: Option<String>,
    idempotency_key: Option<String>,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Deserialize)]
struct ErrorDetail {
    code: String,
    message: String,
}

impl NodeClient {
    /// Creates a client for the node at `address`. Without `key`, the client
    /// uses the environment variable `GENTIANTALLY_KEY`, if it is set.
    #[must_use]
    pub fn new(address: &str, key: Option<&str>) -> Self {
        let key = key
            .map(str::to_owned)
            .or_else(|| env::var(KEY_VARIABLE).ok());
        Self {
            http: HttpClient::new(address.to_owned(), ClockSource::System, CALL_TIMEOUT),
            key,
            idempotency_key: None,
        }
    }

    /// Sends this idempotency key with every call.
    #[must_use]
    pub fn with_idempotency_key(mut self, key: &str) -> Self {
        self.idempotency_key = Some(key.to_owned());
        self
    }

    /// A client for the node at `address` with the same key, without an
    /// idempotency key.
    #[must_use]
    pub fn with_address(&self, address: &str) -> Self {
        Self {
            http: HttpClient::new(address.to_owned(), ClockSource::System, CALL_TIMEOUT),
            key: self.key.clone(),
            idempotency_key: None,
        }
    }

    /// Sends a GET request and decodes the JSON answer. `step` names the
    /// operation in errors.
    ///
    /// # Errors
    /// `ProgramError::Failed` when the node can't be reached, answers with a
    /// status other than 200, or sends other JSON than `T`.
    pub async fn get<T: DeserializeOwned>(
        &self,
        step: &str,
        path: &str,
    ) -> Result<T, ProgramError> {
        let request = self.request(step, Method::Get, path)?;
        self.call(step, request).await
    }

    /// Sends a POST request with `body` and decodes the JSON answer.
    ///
    /// # Errors
    /// As for [`get`](Self::get).
    pub async fn post<T: DeserializeOwned>(
        &self,
        step: &str,
        path: &str,
        body: String,
    ) -> Result<T, ProgramError> {
        let mut request = self.request(step, Method::Post, path)?;
        request.set_body(body);
        self.call(step, request).await
    }

    fn request(&self, step: &str, method: Method, path: &str) -> Result<Request, ProgramError> {
        let mut request = self
            .http
            .request(step, method, path)
            .map_err(|error| ProgramError::Failed(format!("{error}; {UNREACHABLE_ADVICE}")))?;
        if let Some(key) = &self.key {
            let value = format!("Bearer {key}");
            self.http
                .set_header(step, &mut request, "Authorization", &value)
                .map_err(|error| {
                    self.call_error(step, error, "use a key of printable ASCII characters")
                })?;
        }
        if let Some(key) = &self.idempotency_key {
            self.http
                .set_header(step, &mut request, "Idempotency-Key", key)
                .map_err(|error| {
                    self.call_error(
                        step,
                        error,
                        "use an idempotency key of printable ASCII characters",
                    )
                })?;
        }
        Ok(request)
    }

    async fn call<T: DeserializeOwned>(
        &self,
        step: &str,
        request: Request,
    ) -> Result<T, ProgramError> {
        let answer = self
            .http
            .call(step, request)
            .await
            .map_err(|error| ProgramError::Failed(format!("{error}; {UNREACHABLE_ADVICE}")))?;
        if answer.status() != 200 {
            return Err(self.status_error(step, &answer));
        }
        answer.json().map_err(|cause| {
            self.call_error(
                step,
                cause,
                "use the version of gentiantally that the node runs",
            )
        })
    }

    fn status_error(&self, step: &str, answer: &HttpResponse) -> ProgramError {
        let status = answer.status();
        let Ok(body) = answer.json::<ErrorBody>() else {
            return self.call_error(step, format!("status {status}"), UNREACHABLE_ADVICE);
        };
        let advice = match status {
            401 => "give the key with --key or GENTIANTALLY_KEY",
            403 => "use an operator's key",
            409 => "list the accepted notes with: gentiantally note history",
            422 => "correct the document and send it again",
            _ => "try again, or use another node",
        };
        let cause = format!("{status} {}: {}", body.error.code, body.error.message);
        self.call_error(step, cause, advice)
    }

    fn call_error(&self, step: &str, cause: impl std::fmt::Display, advice: &str) -> ProgramError {
        ProgramError::failed(step, self.http.peer(), cause, advice)
    }
}

/// Writes one line to standard output.
///
/// # Errors
/// `ProgramError::Failed` when it can't be written.
pub fn write_line(line: &str) -> Result<(), ProgramError> {
    writeln!(io::stdout(), "{line}")?;
    Ok(())
}

/// Writes one JSON document to standard output.
///
/// # Errors
/// `ProgramError::Failed` when it can't be written.
pub fn write_json<T: serde::Serialize>(value: &T) -> Result<(), ProgramError> {
    let text = serde_json::to_string_pretty(value)
        .map_err(|error| ProgramError::Failed(error.to_string()))?;
    write_line(&text)
}
