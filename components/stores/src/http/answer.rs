//! Maps the HTTP statuses of the platform's services to errors.

use errors::PlatformError;
use serde::de::DeserializeOwned;
use transport::{HttpClient, HttpResponse};

const STATUS_OK: u16 = 200;
const STATUS_NO_CONTENT: u16 = 204;
const STATUS_TOO_MANY_REQUESTS: u16 = 429;
const STATUS_UNAVAILABLE: u16 = 503;

/// Returns a successful response unchanged and any other as an error.
///
/// 503 and any status from 400 to 499 mean that nothing was applied; 429 and 503 may
/// carry the delay before a retry.
/// Any other status, such as one from 500 on, leaves open whether the call was
/// applied.
pub(crate) fn check_status(
    client: &HttpClient,
    step: &str,
    response: HttpResponse,
) -> Result<HttpResponse, PlatformError> {
    match response.status() {
        STATUS_OK | STATUS_NO_CONTENT => Ok(response),
        STATUS_TOO_MANY_REQUESTS | STATUS_UNAVAILABLE => Err(PlatformError::Refused {
            step: step.to_owned(),
            peer: client.peer().to_owned(),
            retry_after: response.retry_after(),
        }),
        status @ 400..=499 => Err(PlatformError::Refused {
            step: format!("{step} (status {status}: {})", response.excerpt()),
            peer: client.peer().to_owned(),
            retry_after: None,
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
) -> Result<T, PlatformError> {
    let response = check_status(client, step, response)?;
    Ok(client.decode(step, &response)?)
}
