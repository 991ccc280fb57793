//! What the platform's HTTP statuses mean.

use errors::PlatformError;
use serde::de::DeserializeOwned;
use transport::{HttpClient, HttpResponse};

const STATUS_OK: u16 = 200;
const STATUS_NO_CONTENT: u16 = 204;
const STATUS_TOO_MANY: u16 = 429;
const STATUS_UNAVAILABLE: u16 = 503;

/// Takes an answer of success as it is; the error of any other.
///
/// 429 and 503 say that nothing took effect, and so does any other status
/// from 400 to 499. A status from 500 on doesn't tell.
pub(crate) fn check(
    client: &HttpClient,
    step: &str,
    response: HttpResponse,
) -> Result<HttpResponse, PlatformError> {
    match response.status() {
        STATUS_OK | STATUS_NO_CONTENT => Ok(response),
        STATUS_TOO_MANY | STATUS_UNAVAILABLE => Err(PlatformError::Refused {
            step: step.to_owned(),
            peer: client.peer().to_owned(),
            retry_after: response.retry_after(),
        }),
        status @ 400..=499 => Err(PlatformError::Refused {
            step: format!("{step} (status {status}: {})", response.excerpt()),
            peer: client.peer().to_owned(),
            retry_after: None,
        }),
        status => Err(client.malformed(step, format!("status {status}")).into()),
    }
}

/// Takes the JSON body of an answer of success.
pub(crate) fn decode<T: DeserializeOwned>(
    client: &HttpClient,
    step: &str,
    response: HttpResponse,
) -> Result<T, PlatformError> {
    let response = check(client, step, response)?;
    Ok(client.decode(step, &response)?)
}
