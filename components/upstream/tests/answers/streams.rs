//! Event streams that are complete, truncated, malformed or idle.

use std::time::Duration;

use errors::{SendPhase, UpstreamError};
use futures_lite::{AsyncWriteExt, StreamExt};
use kernel::{ClockSource, PausedClock};
use smol::{block_on, future, net::TcpListener};
use upstream::{EngineCall, EngineEvent, HttpEngine, ModelEngine};

use crate::script::{
    CallOutcome, FAILED, FINISHED, STARTED, ScriptedServer, TIMEOUT, call, call_outcome, chunked,
};

#[test]
fn an_incomplete_stream_ends_in_an_error() {
    let long_line = "x".repeat(70_000);
    let last_chunk = "0\r\n\r\n";
    let cases = [
        (
            "clean end before the last event",
            chunked(&[STARTED], last_chunk),
            CallOutcome::BrokenAfterFirstByte,
        ),
        (
            "no event at all",
            chunked(&[], last_chunk),
            CallOutcome::BrokenAfterFirstByte,
        ),
        (
            "cut between chunks",
            chunked(&[STARTED], ""),
            CallOutcome::BrokenAfterFirstByte,
        ),
        (
            "cut within a chunk",
            chunked(&[STARTED], "ff\r\n{\"ev"),
            CallOutcome::BrokenAfterFirstByte,
        ),
        (
            "half a line",
            chunked(&[STARTED], "3\r\n{\"e\r\n0\r\n\r\n"),
            CallOutcome::BrokenAfterFirstByte,
        ),
        (
            "no JSON",
            chunked(&[STARTED, "token"], last_chunk),
            CallOutcome::Malformed,
        ),
        (
            "an unknown event",
            chunked(&[STARTED, "{\"event\":\"x\"}"], last_chunk),
            CallOutcome::Malformed,
        ),
        (
            "a line without end",
            chunked(&[&long_line], last_chunk),
            CallOutcome::Malformed,
        ),
        (
            "finished",
            chunked(&[STARTED, FINISHED], last_chunk),
            CallOutcome::Complete,
        ),
        (
            "failed",
            chunked(&[STARTED, "", FAILED], last_chunk),
            CallOutcome::Complete,
        ),
        (
            "cut after the last event",
            chunked(&[FINISHED], ""),
            CallOutcome::Complete,
        ),
    ];
    block_on(async {
        for (name, response, expected) in cases {
            let server = ScriptedServer::start(response).await;
            let engine = HttpEngine::new(server.address.clone(), ClockSource::System, TIMEOUT);
            let stream = engine.submit(call()).await.expect(name);
            let events: Vec<_> = stream.collect().await;
            let last = events.last().expect("at least one item");
            assert_eq!(call_outcome(last), expected, "{name}: {last:?}");
            let is_last = |event: &Result<EngineEvent, UpstreamError>| {
                matches!(
                    event,
                    Ok(EngineEvent::Finished { .. } | EngineEvent::Failed { .. }) | Err(_)
                )
            };
            assert_eq!(
                events.iter().filter(|event| is_last(event)).count(),
                1,
                "{name}"
            );
            assert!(is_last(last), "{name}");
            assert_eq!(server.request_count(), 1, "{name}");
        }
    });
}

#[test]
fn a_stream_ends_at_its_deadline_or_after_the_idle_timeout() {
    let cases = [
        (Duration::from_secs(5), Duration::from_secs(5)),
        (Duration::from_mins(10), Duration::from_secs(10)),
    ];
    block_on(async {
        for (deadline_in, advance) in cases {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
            let address = listener.local_addr().expect("address").to_string();
            let paused = PausedClock::new();
            let engine = HttpEngine::new(address, ClockSource::Paused(paused.clone()), TIMEOUT);
            let accepted = smol::spawn(async move {
                let (mut stream, _) = listener.accept().await.expect("accept");
                let head = chunked(&[STARTED], "");
                stream.write_all(head.as_bytes()).await.expect("write");
                stream
            });
            let call = EngineCall {
                deadline_in,
                ..call()
            };
            let mut events = engine.submit(call).await.expect("submit");
            let _open = accepted.await;
            let first = events.next().await.expect("an item");
            assert!(matches!(first, Ok(EngineEvent::Started { .. })));
            let last = future::zip(events.next(), async { paused.advance(advance) });
            let last = last.await.0.expect("an item");
            let Err(UpstreamError::Overdue { phase, .. }) = last else {
                panic!("{last:?}");
            };
            assert_eq!(phase, SendPhase::AfterFirstByte);
            assert!(events.next().await.is_none());
        }
    });
}
