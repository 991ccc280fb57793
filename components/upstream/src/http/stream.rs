//! Event stream of a running attempt, with one JSON document per line. An engine
//! without new events sends empty lines as heartbeats.

use std::time::{Duration, Instant};

use errors::{SendPhase, UpstreamError};
use futures_lite::{AsyncBufReadExt, AsyncReadExt, stream::unfold};
use http_types::Response;
use transport::HttpClient;

use crate::{EngineEvent, TokenStream};

const MAX_LINE_BYTES: u64 = 64 * 1024;
/// Time without any line after which the engine is considered failed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const STEP: &str = "engine stream";

struct EventReader {
    client: HttpClient,
    response: Response,
    deadline: Instant,
}

/// Streams events until `Finished`, `Failed`, an error or the deadline. The
/// connection closes when the stream ends or is dropped, whichever comes first.
pub(crate) fn event_stream(
    client: HttpClient,
    response: Response,
    deadline: Instant,
) -> TokenStream {
    let reader = EventReader {
        client,
        response,
        deadline,
    };
    Box::pin(unfold(Some(reader), next_item))
}

async fn next_item(
    reader: Option<EventReader>,
) -> Option<(Result<EngineEvent, UpstreamError>, Option<EventReader>)> {
    let mut reader = reader?;
    let outcome = reader.next_event().await;
    let rest = if is_intermediate(&outcome) {
        Some(reader)
    } else {
        None
    };
    Some((outcome, rest))
}

fn is_intermediate(outcome: &Result<EngineEvent, UpstreamError>) -> bool {
    matches!(
        outcome,
        Ok(EngineEvent::Started { .. } | EngineEvent::Token { .. })
    )
}

impl EventReader {
    async fn next_event(&mut self) -> Result<EngineEvent, UpstreamError> {
        loop {
            let line = self.read_line_with_timeout().await?;
            if line.trim_ascii().is_empty() {
                continue;
            }
            return serde_json::from_slice(&line)
                .map_err(|error| self.malformed(&error.to_string()));
        }
    }

    async fn read_line_with_timeout(&mut self) -> Result<Vec<u8>, UpstreamError> {
        let clock = self.client.clock().clone();
        let remaining = self.deadline.saturating_duration_since(clock.now());
        let timeout = remaining.min(IDLE_TIMEOUT);
        let outcome = clock.timeout(timeout, self.read_line()).await;
        outcome.unwrap_or_else(|| Err(self.timeout_error()))
    }

    async fn read_line(&mut self) -> Result<Vec<u8>, UpstreamError> {
        let mut line = Vec::new();
        let mut bounded = (&mut self.response).take(MAX_LINE_BYTES);
        let read = bounded.read_until(b'\n', &mut line).await;
        if let Err(error) = read {
            return Err(self.broken_error(&error.to_string()));
        }
        if line.ends_with(b"\n") {
            return Ok(line);
        }
        if line.len() as u64 >= MAX_LINE_BYTES {
            return Err(self.malformed("event line exceeds the size limit"));
        }
        Err(self.broken_error("stream ended before the finished or failed event"))
    }

    fn timeout_error(&self) -> UpstreamError {
        UpstreamError::Overdue {
            step: STEP.to_owned(),
            peer: self.client.peer().to_owned(),
            phase: SendPhase::AfterFirstByte,
        }
    }

    fn broken_error(&self, cause: &str) -> UpstreamError {
        UpstreamError::Broken {
            step: STEP.to_owned(),
            peer: self.client.peer().to_owned(),
            phase: SendPhase::AfterFirstByte,
            cause: cause.to_owned(),
        }
    }

    fn malformed(&self, cause: &str) -> UpstreamError {
        self.client.malformed(STEP, cause.to_owned()).into()
    }
}
