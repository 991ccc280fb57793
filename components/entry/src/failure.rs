//! Error responses to callers, in the OpenAI-compatible JSON format.

use std::{error::Error, fmt, time::Duration};

use http_types::{Response, StatusCode, mime};
use serde::Serialize;

/// Category of a failure; determines the HTTP status and the error `type`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureKind {
    /// 400: the request is malformed.
    BadRequest,
    /// 401: the bearer key is missing or unknown.
    Unauthorized,
    /// 403: the key's organisation lacks permission for the operation.
    Forbidden,
    /// 404: the requested resource does not exist.
    NotFound,
    /// 405: the path does not support the HTTP method.
    MethodNotAllowed,
    /// 408: the head or body did not arrive within its time limit.
    RequestTimeout,
    /// 409: conflicts with another request or release note.
    Conflict,
    /// 413: the body exceeds the size limit.
    BodyTooLarge,
    /// 431: the request line and headers exceed the size limit.
    HeadTooLarge,
    /// 422: the body is well-formed but its content is invalid.
    Unprocessable,
    /// 429: the organisation exceeds its limit.
    TooManyRequests,
    /// 500: internal error of the node.
    Internal,
    /// 502: an upstream failed.
    BadGateway,
    /// 503: temporarily unavailable; the caller may retry later.
    Unavailable,
    /// 504: the request's deadline passed.
    DeadlineExceeded,
}

impl FailureKind {
    /// HTTP status that the response carries.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BadRequest,
            Self::Unauthorized => StatusCode::Unauthorized,
            Self::Forbidden => StatusCode::Forbidden,
            Self::NotFound => StatusCode::NotFound,
            Self::MethodNotAllowed => StatusCode::MethodNotAllowed,
            Self::RequestTimeout => StatusCode::RequestTimeout,
            Self::Conflict => StatusCode::Conflict,
            Self::BodyTooLarge => StatusCode::PayloadTooLarge,
            Self::HeadTooLarge => StatusCode::RequestHeaderFieldsTooLarge,
            Self::Unprocessable => StatusCode::UnprocessableEntity,
            Self::TooManyRequests => StatusCode::TooManyRequests,
            Self::Internal => StatusCode::InternalServerError,
            Self::BadGateway => StatusCode::BadGateway,
            Self::Unavailable => StatusCode::ServiceUnavailable,
            Self::DeadlineExceeded => StatusCode::GatewayTimeout,
        }
    }

    fn error_type(self) -> &'static str {
        match self {
            Self::BadRequest
            | Self::NotFound
            | Self::MethodNotAllowed
            | Self::RequestTimeout
            | Self::Conflict
            | Self::BodyTooLarge
            | Self::HeadTooLarge
            | Self::Unprocessable => "invalid_request_error",
            Self::Unauthorized => "authentication_error",
            Self::Forbidden => "permission_error",
            Self::TooManyRequests => "rate_limit_error",
            Self::Internal | Self::BadGateway | Self::Unavailable | Self::DeadlineExceeded => {
                "server_error"
            }
        }
    }
}

/// Error returned to a caller as a JSON response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ApiFailure {
    /// Determines the HTTP status and the error `type`.
    pub kind: FailureKind,
    /// Machine-readable code, such as `unknown_model`.
    pub code: String,
    /// Text for the caller: what was tried, what came back and what to do next.
    pub message: String,
    /// Request field or header that caused the failure, if known.
    pub param: Option<String>,
    /// Delay before a retry, sent as `Retry-After`; `None` when a retry does not help.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    type_name: &'static str,
    param: Option<&'a str>,
    code: &'a str,
}

impl ApiFailure {
    /// Creates a failure without `param` and `retry_after`.
    #[must_use]
    pub fn new(kind: FailureKind, code: &str, message: impl Into<String>) -> Self {
        Self {
            kind,
            code: code.to_owned(),
            message: message.into(),
            param: None,
            retry_after: None,
        }
    }

    /// Sets the request field or header that caused the failure.
    #[must_use]
    pub fn with_param(mut self, param: &str) -> Self {
        self.param = Some(param.to_owned());
        self
    }

    /// Sets the delay before a retry.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Serialises the failure as `{"error": {...}}`.
    #[must_use]
    pub fn body(&self) -> String {
        let body = ErrorBody {
            error: ErrorDetail {
                message: &self.message,
                type_name: self.kind.error_type(),
                param: self.param.as_deref(),
                code: &self.code,
            },
        };
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// Builds the HTTP response. `Retry-After` is in whole seconds, rounded up;
    /// `Retry-After-Ms` has the exact delay in milliseconds.
    #[must_use]
    pub fn response(&self) -> Response {
        let mut response = Response::new(self.kind.status());
        response.set_body(self.body());
        response.set_content_type(mime::JSON);
        if let Some(delay) = self.retry_after {
            let milliseconds = delay.as_millis().max(1);
            let seconds = milliseconds.div_ceil(1_000);
            response.insert_header("Retry-After", seconds.to_string());
            response.insert_header("Retry-After-Ms", milliseconds.to_string());
        }
        if self.kind == FailureKind::Unauthorized {
            response.insert_header("WWW-Authenticate", "Bearer");
        }
        response
    }
}

impl fmt::Display for ApiFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.code, self.message)
    }
}

impl Error for ApiFailure {}
