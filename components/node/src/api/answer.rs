//! Responses that carry JSON.

use entry::ApiFailure;
use http_types::{Response, StatusCode, mime};
use serde::Serialize;

/// What a handler ends with.
pub type ApiResult = Result<Response, ApiFailure>;

/// A response with a JSON body.
pub fn json_response<T: Serialize>(value: &T) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(serde_json::to_string(value).unwrap_or_default());
    response.set_content_type(mime::JSON);
    response
}

/// A response with plain text.
pub fn text_response(text: &str) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(text);
    response.set_content_type(mime::PLAIN);
    response
}
