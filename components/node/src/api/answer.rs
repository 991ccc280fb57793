//! Builds JSON and plain-text responses.

use entry::ApiFailure;
use http_types::{Response, StatusCode, mime};
use serde::Serialize;

/// Result of a handler: a response, or a failure that becomes one.
pub type ApiResult = Result<Response, ApiFailure>;

/// Builds a response of status 200 with a JSON body.
pub fn json_response<T: Serialize>(value: &T) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(serde_json::to_string(value).unwrap_or_default());
    response.set_content_type(mime::JSON);
    response
}

/// Builds a response of status 200 with a plain-text body.
pub fn text_response(text: &str) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(text);
    response.set_content_type(mime::PLAIN);
    response
}
