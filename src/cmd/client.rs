//! Calls from the command line to a node.

use std::{
    env,
    io::{self, Write},
    time::Duration,
};

use http_types::{Method, Request};
use kernel::ClockSource;
use serde::{Deserialize, de::DeserializeOwned};
use transport::{HttpClient, HttpResponse};

use crate::launch::LaunchError;

const CALL_LIMIT: Duration = Duration::from_secs(30);
const KEY_VARIABLE: &str = "GENTIANTALLY_KEY";
const REACH_ADVICE: &str = "check that the node runs and that --node names its callers' address";

/// One node, called with one key.
pub struct NodeClient {
    caller: HttpClient,
    key: Option<String>,
    idempotency_key: Option<String>,
}

#[derive(Deserialize)]
struct FailureAnswer {
    error: FailureDetail,
}

#[derive(Deserialize)]
struct FailureDetail {
    code: String,
    message: String,
}

impl NodeClient {
    /// Calls to the node at `address`; the key comes from the argument or the
    /// environment.
    #[must_use]
    pub fn new(address: &str, key: Option<&str>) -> Self {
        let key = key
            .map(str::to_owned)
            .or_else(|| env::var(KEY_VARIABLE).ok());
        Self {
            caller: HttpClient::new(address.to_owned(), ClockSource::System, CALL_LIMIT),
            key,
            idempotency_key: None,
        }
    }

    /// The same node, with an idempotency key on every call.
    #[must_use]
    pub fn with_idempotency_key(mut self, key: &str) -> Self {
        self.idempotency_key = Some(key.to_owned());
        self
    }

    /// The same key towards another node.
    #[must_use]
    pub fn at(&self, address: &str) -> Self {
        Self {
            caller: HttpClient::new(address.to_owned(), ClockSource::System, CALL_LIMIT),
            key: self.key.clone(),
            idempotency_key: None,
        }
    }

    /// Reads a JSON document.
    ///
    /// # Errors
    /// `LaunchError::Failed`.
    pub async fn get<T: DeserializeOwned>(&self, step: &str, path: &str) -> Result<T, LaunchError> {
        let request = self.request(step, Method::Get, path)?;
        self.call(step, request).await
    }

    /// Posts text and reads a JSON document.
    ///
    /// # Errors
    /// `LaunchError::Failed`.
    pub async fn post<T: DeserializeOwned>(
        &self,
        step: &str,
        path: &str,
        body: String,
    ) -> Result<T, LaunchError> {
        let mut request = self.request(step, Method::Post, path)?;
        request.set_body(body);
        self.call(step, request).await
    }

    fn request(&self, step: &str, method: Method, path: &str) -> Result<Request, LaunchError> {
        let mut request = self
            .caller
            .request(step, method, path)
            .map_err(|error| LaunchError::Failed(format!("{error}; {REACH_ADVICE}")))?;
        if let Some(key) = &self.key {
            let value = format!("Bearer {key}");
            self.caller
                .set_header(step, &mut request, "Authorization", &value)
                .map_err(|error| self.fault(step, error, "use a key of plain characters"))?;
        }
        if let Some(key) = &self.idempotency_key {
            self.caller
                .set_header(step, &mut request, "Idempotency-Key", key)
                .map_err(|error| self.fault(step, error, "use a key of plain characters"))?;
        }
        Ok(request)
    }

    async fn call<T: DeserializeOwned>(
        &self,
        step: &str,
        request: Request,
    ) -> Result<T, LaunchError> {
        let answer = self
            .caller
            .call(step, request)
            .await
            .map_err(|error| LaunchError::Failed(format!("{error}; {REACH_ADVICE}")))?;
        if answer.status() != 200 {
            return Err(self.refusal(step, &answer));
        }
        answer
            .json()
            .map_err(|cause| self.fault(step, cause, "use a command of the node's version"))
    }

    fn refusal(&self, step: &str, answer: &HttpResponse) -> LaunchError {
        let status = answer.status();
        let Ok(failure) = answer.json::<FailureAnswer>() else {
            return self.fault(step, format!("status {status}"), REACH_ADVICE);
        };
        let advice = match status {
            401 => "give the key with --key or GENTIANTALLY_KEY",
            403 => "use an operator's key",
            409 => "look at what is in force with: gentiantally note history",
            422 => "mend the document and send it again",
            _ => "try again, or use another node",
        };
        let cause = format!("{status} {}: {}", failure.error.code, failure.error.message);
        self.fault(step, cause, advice)
    }

    fn fault(&self, step: &str, cause: impl std::fmt::Display, advice: &str) -> LaunchError {
        LaunchError::failed(step, self.caller.peer(), cause, advice)
    }
}

/// Writes one line to standard output.
///
/// # Errors
/// `LaunchError::Failed` when it can't be written.
pub fn write_line(line: &str) -> Result<(), LaunchError> {
    writeln!(io::stdout(), "{line}")?;
    Ok(())
}

/// Writes one JSON document to standard output.
///
/// # Errors
/// `LaunchError::Failed` when it can't be written.
pub fn write_json<T: serde::Serialize>(value: &T) -> Result<(), LaunchError> {
    let text = serde_json::to_string_pretty(value)
        .map_err(|error| LaunchError::Failed(error.to_string()))?;
    write_line(&text)
}
