//! Server-sent events towards a caller.

use futures_lite::{AsyncWriteExt, io::BufReader};
use http_types::{Body, Response, StatusCode};
use piper::{Reader, Writer};
use serde::Serialize;

const PIPE_BYTES: usize = 64 * 1024;

/// Where events are written; full when the caller does not read.
pub struct EventSink {
    writer: Writer,
}

impl EventSink {
    /// Sends one event with a JSON body; `false` when the caller is gone.
    pub async fn send<T: Serialize>(&mut self, event: &T) -> bool {
        match serde_json::to_string(event) {
            Ok(text) => self.send_text(&text).await,
            Err(_) => false,
        }
    }

    /// Sends one event with this text, which has no line break.
    pub async fn send_text(&mut self, text: &str) -> bool {
        let frame = format!("data: {text}\n\n");
        self.writer.write_all(frame.as_bytes()).await.is_ok()
    }
}

/// A response that streams the events written to the sink, and ends when the
/// sink is dropped.
#[must_use]
pub fn event_stream() -> (Response, EventSink) {
    let (reader, writer): (Reader, Writer) = piper::pipe(PIPE_BYTES);
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(BufReader::new(reader), None));
    response.insert_header("Content-Type", "text/event-stream");
    response.insert_header("Cache-Control", "no-store");
    (response, EventSink { writer })
}
