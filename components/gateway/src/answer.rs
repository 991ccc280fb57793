//! Answers to callers: the gateway's own, and bodies forwarded from upstreams.

use std::{
    convert::Infallible,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use futures_lite::Stream;
use http::{HeaderValue, Response, StatusCode, header};
use hyper::body::{Body, Frame, SizeHint};

use crate::{
    callers::RequestPlace,
    held::{HeldBody, SlicedBody},
};

/// Time after which a caller that this node refuses since it stops is told to retry: at another
/// node, which takes the request at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(20);

type FrameStream = Pin<Box<dyn Stream<Item = io::Result<Bytes>>>>;

/// Body of an answer to a caller.
pub(crate) struct AnswerBody {
    content: AnswerContent,
    /// Place of the request, which ends with its answer.
    _place: Option<Box<RequestPlace>>,
}

enum AnswerContent {
    /// The complete body.
    Buffered(SlicedBody),
    /// Bytes streamed from an upstream; an error closes the caller's connection.
    Streamed(FrameStream),
}

/// Answer that the gateway produces itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum GatewayAnswer {
    /// The request did not run; the caller may retry after this time.
    Refused(Duration),
    /// The request did not run, and this node stops before it could end. Another node takes it
    /// at once.
    Stopping,
    /// No route matches the request.
    NoRoute,
    /// The API key is missing or not valid for the route.
    NoKey,
    /// The body could not be read.
    Unreadable,
    /// The body exceeds the size limit.
    TooLarge,
    /// The body has not arrived in the time that the request has.
    LateBody,
    /// The body made no progress while others needed its memory; the request did not run.
    GaveWay(Duration),
    /// The request may have run, and its outcome is unknown.
    Unknown,
    /// The deadline passed after the request was sent.
    Overdue,
}

impl GatewayAnswer {
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::Refused(_) | Self::GaveWay(_) | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::Unreadable => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::LateBody => StatusCode::REQUEST_TIMEOUT,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::Overdue => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Refused(after) | Self::GaveWay(after) => Some(after),
            Self::Stopping => Some(STOPPING_RETRY_AFTER),
            _ => None,
        }
    }

    /// Returns whether the connection ends with this answer: what the caller still sends is not
    /// read to its end.
    fn ends_connection(self) -> bool {
        matches!(
            self,
            Self::Stopping | Self::TooLarge | Self::LateBody | Self::GaveWay(_)
        )
    }

    pub(crate) fn into_response(self) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::from(Bytes::new()));
        *response.status_mut() = self.status();
        if let Some(after) = self.retry_after() {
            // Hundredths of a second, although HTTP allows only whole seconds here.
            let text = format!("{:.2}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        if self.ends_connection() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }
}

impl AnswerBody {
    pub(crate) fn streamed(stream: impl Stream<Item = io::Result<Bytes>> + 'static) -> Self {
        AnswerContent::Streamed(Box::pin(stream)).into()
    }

    /// Keeps the place of the request until the answer has been written.
    pub(crate) fn with_place(self, place: RequestPlace) -> Self {
        Self {
            _place: Some(Box::new(place)),
            ..self
        }
    }
}

impl From<AnswerContent> for AnswerBody {
    fn from(content: AnswerContent) -> Self {
        Self {
            content,
            _place: None,
        }
    }
}

impl From<Bytes> for AnswerBody {
    fn from(bytes: Bytes) -> Self {
        AnswerContent::Buffered(bytes.into()).into()
    }
}

impl From<Rc<HeldBody>> for AnswerBody {
    fn from(body: Rc<HeldBody>) -> Self {
        AnswerContent::Buffered(body.into()).into()
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut self.get_mut().content {
            AnswerContent::Buffered(buffered) => Pin::new(buffered)
                .poll_frame(context)
                .map_err(|never: Infallible| match never {}),
            AnswerContent::Streamed(stream) => stream
                .as_mut()
                .poll_next(context)
                .map(|item| item.map(|bytes| bytes.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            AnswerContent::Buffered(buffered) => buffered.is_end_stream(),
            AnswerContent::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            AnswerContent::Buffered(buffered) => buffered.size_hint(),
            AnswerContent::Streamed(_) => SizeHint::default(),
        }
    }
}
