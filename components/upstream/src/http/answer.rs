//! What an engine's HTTP statuses mean.

use errors::UpstreamError;
use serde::de::DeserializeOwned;
use transport::{HttpClient, HttpResponse};

use crate::http::wire::{FencedResponse, RefusedResponse};

pub(crate) const STATUS_OK: u16 = 200;
const STATUS_NO_CONTENT: u16 = 204;
const STATUS_CONFLICT: u16 = 409;
const STATUS_UNAVAILABLE: u16 = 503;

/// Takes an answer of success as it is; the error of any other.
///
/// 409 is a fenced order, 503 and any other status from 400 to 499 a call
/// that did not run. Other statuses don't tell.
pub(crate) fn check(
    client: &HttpClient,
    step: &str,
    response: HttpResponse,
) -> Result<HttpResponse, UpstreamError> {
    match response.status() {
        STATUS_OK | STATUS_NO_CONTENT => Ok(response),
        STATUS_CONFLICT => Err(fenced(client, step, &response)),
        status @ (400..=499 | STATUS_UNAVAILABLE) => Err(UpstreamError::Refused {
            step: step.to_owned(),
            peer: client.peer().to_owned(),
            status,
            cause: cause(&response),
            retry_after: response.retry_after(),
        }),
        status => Err(client.malformed(step, format!("status {status}")).into()),
    }
}

/// Takes the JSON body of an answer of success.
pub(crate) fn decode<T: DeserializeOwned>(
    client: &HttpClient,
    step: &str,
    response: HttpResponse,
) -> Result<T, UpstreamError> {
    let response = check(client, step, response)?;
    Ok(client.decode(step, &response)?)
}

fn fenced(client: &HttpClient, step: &str, response: &HttpResponse) -> UpstreamError {
    match client.decode::<FencedResponse>(step, response) {
        Ok(fenced) => UpstreamError::Fenced {
            step: step.to_owned(),
            peer: client.peer().to_owned(),
            newest: fenced.newest,
        },
        Err(fault) => fault.into(),
    }
}

fn cause(response: &HttpResponse) -> String {
    match response.json::<RefusedResponse>() {
        Ok(refused) => refused.cause,
        Err(_) => response.excerpt(),
    }
}
