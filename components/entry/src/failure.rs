//! Failures as callers see them, in the usual OpenAI-compatible shape.

use std::{error::Error, fmt, time::Duration};

use http_types::{Response, StatusCode, mime};
use serde::Serialize;

/// What kind of failure a caller is told of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureKind {
    /// The request is malformed.
    BadRequest,
    /// No key, or one that nobody has.
    Unauthorized,
    /// The key's organisation may not do this.
    Forbidden,
    /// There is no such thing.
    NotFound,
    /// The method is not one of this path's.
    MethodNotAllowed,
    /// The request did not arrive in time.
    RequestTimeout,
    /// Another request or note is in the way.
    Conflict,
    /// The body is over the limit.
    BodyTooLarge,
    /// The head is over the limit.
    HeadTooLarge,
    /// The content can't be processed.
    Unprocessable,
    /// The organisation is over its limit.
    TooManyRequests,
    /// The node failed.
    Internal,
    /// An upstream failed.
    BadGateway,
    /// Not now; come back.
    Unavailable,
    /// The deadline passed.
    DeadlineExceeded,
}

impl FailureKind {
    /// The HTTP status.
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

    fn type_name(self) -> &'static str {
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

/// A failure told to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ApiFailure {
    /// What kind.
    pub kind: FailureKind,
    /// Machine-readable code, such as `unknown_model`.
    pub code: String,
    /// What was tried, what came back and what to do next.
    pub message: String,
    /// Field of the request at fault, if one is.
    pub param: Option<String>,
    /// When to come back, if that helps.
    pub retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct FailureBody<'a> {
    error: FailureDetail<'a>,
}

#[derive(Serialize)]
struct FailureDetail<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    type_name: &'static str,
    param: Option<&'a str>,
    code: &'a str,
}

impl ApiFailure {
    /// A failure without a field and without a time to come back.
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

    /// The same failure, naming the field at fault.
    #[must_use]
    pub fn with_param(mut self, param: &str) -> Self {
        self.param = Some(param.to_owned());
        self
    }

    /// The same failure, telling when to come back.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// The JSON body.
    #[must_use]
    pub fn body(&self) -> String {
        let body = FailureBody {
            error: FailureDetail {
                message: &self.message,
                type_name: self.kind.type_name(),
                param: self.param.as_deref(),
                code: &self.code,
            },
        };
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// The HTTP response. `Retry-After` is in whole seconds, rounded up;
    /// `Retry-After-Ms` is exact.
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
