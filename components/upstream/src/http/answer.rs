//! Maps the HTTP statuses of engines to errors.

use errors::UpstreamError;
use serde::de::DeserializeOwned;
use transport::{HttpClient, HttpResponse};

use crate::http::wire::{FencedResponse, RefusedResponse};

pub(crate) const STATUS_OK: u16 = 200;
const STATUS_NO_CONTENT: u16 = 204;
const STATUS_CONFLICT: u16 = 409;
const STATUS_UNAVAILABLE: u16 = 503;

/// Returns a successful response unchanged and any other as an error.
///
/// 409 means that the order was rejected for an old fencing number. 503 and any
/// status from 400 to 499 except 409 mean that the call did not run. Any other
/// status leaves open whether it ran.
pub(crate) fn check_status(
    client: &HttpClient,
    step: &str,
    response: HttpResponse,
) -> Result<HttpResponse, UpstreamError> {
    match response.status() {
        STATUS_OK | STATUS_NO_CONTENT => Ok(response),
        STATUS_CONFLICT => Err(fenced_error(client, step, &response)),
        status @ (400..=499 | STATUS_UNAVAILABLE) => Err(UpstreamError::Refused {
            step: step.to_owned(),
            peer: client.peer().to_owned(),
            status,
            cause: refusal_cause(&response),
            retry_after: response.retry_after(),
        }),
        status => Err(client
            .malformed(step, format!("unexpected status {status}"))
            .into()),
    }
}

/// Decodes the JSON body of a successful response.
pub(crate) fn decode_body<T: DeserializeOwned>(
    client: &HttpClient,
    step: &str,
    response: HttpResponse,
) -> Result<T, UpstreamError> {
    let response = check_status(client, step, response)?;
    Ok(client.decode(step, &response)?)
}

fn fenced_error(client: &HttpClient, step: &str, response: &HttpResponse) -> UpstreamError {
    match client.decode::<FencedResponse>(step, response) {
        Ok(fenced) => UpstreamError::Fenced {
            step: step.to_owned(),
            peer: client.peer().to_owned(),
            newest: fenced.newest,
        },
        Err(error) => error.into(),
    }
}

fn refusal_cause(response: &HttpResponse) -> String {
    match response.json::<RefusedResponse>() {
        Ok(refused) => refused.cause,
        Err(_) => response.excerpt(),
    }
}
