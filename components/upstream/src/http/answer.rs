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
    caller: &HttpClient,
    step: &str,
    answer: HttpResponse,
) -> Result<HttpResponse, UpstreamError> {
    match answer.status() {
        STATUS_OK | STATUS_NO_CONTENT => Ok(answer),
        STATUS_CONFLICT => Err(fenced(caller, step, &answer)),
        status @ (400..=499 | STATUS_UNAVAILABLE) => Err(UpstreamError::Refused {
            step: step.to_owned(),
            peer: caller.peer().to_owned(),
            status,
            cause: cause(&answer),
            retry_after: answer.retry_after(),
        }),
        status => Err(caller.malformed(step, format!("status {status}")).into()),
    }
}

/// Takes the JSON body of an answer of success.
pub(crate) fn decode<T: DeserializeOwned>(
    caller: &HttpClient,
    step: &str,
    answer: HttpResponse,
) -> Result<T, UpstreamError> {
    let answer = check(caller, step, answer)?;
    Ok(caller.decode(step, &answer)?)
}

fn fenced(caller: &HttpClient, step: &str, answer: &HttpResponse) -> UpstreamError {
    match caller.decode::<FencedResponse>(step, answer) {
        Ok(fenced) => UpstreamError::Fenced {
            step: step.to_owned(),
            peer: caller.peer().to_owned(),
            newest: fenced.newest,
        },
        Err(fault) => fault.into(),
    }
}

fn cause(answer: &HttpResponse) -> String {
    match answer.json::<RefusedResponse>() {
        Ok(refused) => refused.cause,
        Err(_) => answer.excerpt(),
    }
}
