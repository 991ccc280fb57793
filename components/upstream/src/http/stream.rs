//! The events of a running attempt, one JSON document a line. An engine that
//! has nothing to say sends an empty line now and then.

use std::time::{Duration, Instant};

use errors::{SendPhase, UpstreamError};
use futures_lite::{AsyncBufReadExt, AsyncReadExt, stream::unfold};
use http_types::Response;
use transport::HttpClient;

use crate::{EngineEvent, TokenStream};

const LINE_LIMIT_BYTES: u64 = 64 * 1024;
/// Longest time without any line until the engine is taken for dead.
const SILENCE_LIMIT: Duration = Duration::from_secs(10);
const STEP: &str = "engine stream";

struct EventReader {
    client: HttpClient,
    response: Response,
    deadline: Instant,
}

/// Reads events until `Finished`, `Failed`, an error or the deadline. The
/// connection closes when the stream ends or is dropped, whichever is first.
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
    Box::pin(unfold(Some(reader), step))
}

async fn step(
    reader: Option<EventReader>,
) -> Option<(Result<EngineEvent, UpstreamError>, Option<EventReader>)> {
    let mut reader = reader?;
    let outcome = reader.next().await;
    let rest = if goes_on(&outcome) {
        Some(reader)
    } else {
        None
    };
    Some((outcome, rest))
}

fn goes_on(outcome: &Result<EngineEvent, UpstreamError>) -> bool {
    matches!(
        outcome,
        Ok(EngineEvent::Started { .. } | EngineEvent::Token { .. })
    )
}

impl EventReader {
    async fn next(&mut self) -> Result<EngineEvent, UpstreamError> {
        loop {
            let line = self.read_line_in_time().await?;
            if line.trim_ascii().is_empty() {
                continue;
            }
            return serde_json::from_slice(&line)
                .map_err(|fault| self.malformed(&fault.to_string()));
        }
    }

    async fn read_line_in_time(&mut self) -> Result<Vec<u8>, UpstreamError> {
        let clock = self.client.clock().clone();
        let left = self.deadline.saturating_duration_since(clock.now());
        let limit = left.min(SILENCE_LIMIT);
        let outcome = clock.timeout(limit, self.read_line()).await;
        outcome.unwrap_or_else(|| Err(self.overdue()))
    }

    async fn read_line(&mut self) -> Result<Vec<u8>, UpstreamError> {
        let mut line = Vec::new();
        let mut bounded = (&mut self.response).take(LINE_LIMIT_BYTES);
        let read = bounded.read_until(b'\n', &mut line).await;
        if let Err(fault) = read {
            return Err(self.broken(&fault.to_string()));
        }
        if line.ends_with(b"\n") {
            return Ok(line);
        }
        if line.len() as u64 >= LINE_LIMIT_BYTES {
            return Err(self.malformed("line over the limit"));
        }
        Err(self.broken("ended before the response was whole"))
    }

    fn overdue(&self) -> UpstreamError {
        UpstreamError::Overdue {
            step: STEP.to_owned(),
            peer: self.client.peer().to_owned(),
            phase: SendPhase::AfterFirstByte,
        }
    }

    fn broken(&self, cause: &str) -> UpstreamError {
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
