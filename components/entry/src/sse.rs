//! Server-sent events (SSE) sent to callers.

use futures_lite::{AsyncWriteExt, io::BufReader};
use http_types::{Body, Response, StatusCode};
use piper::{Reader, Writer};
use serde::Serialize;

const PIPE_CAPACITY_BYTES: usize = 64 * 1024;

/// Writing end of an event stream. Writes wait while the caller does not read.
pub struct EventSink {
    writer: Writer,
}

impl EventSink {
    /// Sends one event with JSON data; returns `false` when the caller has
    /// disconnected or `event` can't be serialised.
    pub async fn send<T: Serialize>(&mut self, event: &T) -> bool {
        match serde_json::to_string(event) {
            Ok(text) => self.send_text(&text).await,
            Err(_) => false,
        }
    }

    /// Sends one event with `text` as data; returns `false` when the caller has
    /// disconnected. `text` must not contain line breaks.
    pub async fn send_text(&mut self, text: &str) -> bool {
        let frame = format!("data: {text}\n\n");
        self.writer.write_all(frame.as_bytes()).await.is_ok()
    }
}

/// Creates a response that streams the events written to the sink. The stream
/// ends when the sink is dropped.
#[must_use]
pub fn event_stream() -> (Response, EventSink) {
    let (reader, writer): (Reader, Writer) = piper::pipe(PIPE_CAPACITY_BYTES);
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(BufReader::new(reader), None));
    response.insert_header("Content-Type", "text/event-stream");
    response.insert_header("Cache-Control", "no-store");
    (response, EventSink { writer })
}
