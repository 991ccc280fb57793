//! Requests read from JSON, and the answers to outcomes.

use std::{error::Error, time::Duration};

use errors::{PlatformError, UpstreamError};
use http_types::{Request, Response, Status, StatusCode};
use serde::{Serialize, de::DeserializeOwned};
use stores::ConflictResponse;
use upstream::{FencedResponse, RefusedResponse};

/// What an endpoint returns: an answer, or an error to cut the connection.
pub(crate) type Reply = http_types::Result<Response>;

/// The JSON body of a request; an error of status 400 when it has another
/// shape.
pub(crate) async fn read_json<T: DeserializeOwned>(request: &mut Request) -> http_types::Result<T> {
    let bytes = request.body_bytes().await?;
    serde_json::from_slice(&bytes).status(StatusCode::BadRequest)
}

/// The answer of an endpoint that returned `fault`; an error again when the
/// connection is to be cut.
pub(crate) fn fault_reply(fault: http_types::Error) -> Reply {
    if fault.status() != StatusCode::BadRequest {
        return Err(fault);
    }
    let body = RefusedResponse {
        cause: fault.to_string(),
    };
    Ok(json(StatusCode::BadRequest, &body))
}

pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let mut response = Response::new(status);
    response.set_body(serde_json::to_vec(value).unwrap_or_default());
    response.insert_header("content-type", "application/json");
    response
}

pub(crate) fn empty() -> Response {
    Response::new(StatusCode::NoContent)
}

pub(crate) fn unknown_path() -> Response {
    let body = RefusedResponse {
        cause: "unknown path or method".to_owned(),
    };
    json(StatusCode::NotFound, &body)
}

/// The answer to a platform call.
pub(crate) fn platform_reply<T>(
    outcome: Result<T, PlatformError>,
    success: impl FnOnce(T) -> Response,
) -> Reply {
    match outcome {
        Ok(value) => Ok(success(value)),
        Err(PlatformError::Conflict { key, found, .. }) => {
            Ok(json(StatusCode::Conflict, &ConflictResponse { key, found }))
        }
        Err(PlatformError::Refused { retry_after, .. }) => {
            let status = match retry_after {
                Some(_) => StatusCode::TooManyRequests,
                None => StatusCode::ServiceUnavailable,
            };
            Ok(with_retry(Response::new(status), retry_after))
        }
        Err(fault) => Err(cut(&fault)),
    }
}

/// The answer to an engine call.
pub(crate) fn engine_reply<T>(
    outcome: Result<T, UpstreamError>,
    success: impl FnOnce(T) -> Response,
) -> Reply {
    match outcome {
        Ok(value) => Ok(success(value)),
        Err(UpstreamError::Fenced { newest, .. }) => {
            Ok(json(StatusCode::Conflict, &FencedResponse { newest }))
        }
        Err(UpstreamError::Refused {
            status,
            cause,
            retry_after,
            ..
        }) => {
            let status = StatusCode::try_from(status).unwrap_or(StatusCode::ServiceUnavailable);
            let response = json(status, &RefusedResponse { cause });
            Ok(with_retry(response, retry_after))
        }
        Err(fault) => Err(cut(&fault)),
    }
}

/// The error that cuts a connection.
pub(crate) fn cut(fault: &dyn Error) -> http_types::Error {
    let cause = fault.to_string();
    http_types::Error::from_str(StatusCode::InternalServerError, cause)
}

pub(crate) fn with_retry(mut response: Response, retry_after: Option<Duration>) -> Response {
    if let Some(delay) = retry_after {
        let seconds = delay.as_millis().div_ceil(1_000);
        response.insert_header("retry-after", seconds.to_string());
        response.insert_header("retry-after-ms", delay.as_millis().to_string());
    }
    response
}
