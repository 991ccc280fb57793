//! Streams of tokens that are whole, cut, garbled or silent.

use std::time::Duration;

use errors::{SendPhase, UpstreamError};
use futures_lite::{AsyncWriteExt, StreamExt};
use kernel::{ClockSource, PausedClock};
use smol::{block_on, future, net::TcpListener};
use upstream::{EngineCall, EngineEvent, HttpEngine, ModelEngine};

use crate::script::{
    Ending, FAILED, FINISHED, LIMIT, STARTED, ScriptedServer, call, chunked, ending,
};

#[test]
fn a_stream_that_is_not_whole_ends_in_an_error() {
    let long_line = "x".repeat(70_000);
    let whole = "0\r\n\r\n";
    let cases = [
        (
            "clean end before the last event",
            chunked(&[STARTED], whole),
            Ending::BrokenAfter,
        ),
        ("no event at all", chunked(&[], whole), Ending::BrokenAfter),
        (
            "cut between chunks",
            chunked(&[STARTED], ""),
            Ending::BrokenAfter,
        ),
        (
            "cut within a chunk",
            chunked(&[STARTED], "ff\r\n{\"ev"),
            Ending::BrokenAfter,
        ),
        (
            "half a line",
            chunked(&[STARTED], "3\r\n{\"e\r\n0\r\n\r\n"),
            Ending::BrokenAfter,
        ),
        (
            "no JSON",
            chunked(&[STARTED, "token"], whole),
            Ending::Malformed,
        ),
        (
            "an unknown event",
            chunked(&[STARTED, "{\"event\":\"x\"}"], whole),
            Ending::Malformed,
        ),
        (
            "a line without end",
            chunked(&[&long_line], whole),
            Ending::Malformed,
        ),
        (
            "finished",
            chunked(&[STARTED, FINISHED], whole),
            Ending::Whole,
        ),
        (
            "failed",
            chunked(&[STARTED, "", FAILED], whole),
            Ending::Whole,
        ),
        (
            "cut after the last event",
            chunked(&[FINISHED], ""),
            Ending::Whole,
        ),
    ];
    block_on(async {
        for (name, answer, expected) in cases {
            let server = ScriptedServer::start(answer).await;
            let engine = HttpEngine::new(server.address.clone(), ClockSource::System, LIMIT);
            let stream = engine.submit(call()).await.expect(name);
            let events: Vec<_> = stream.collect().await;
            let last = events.last().expect("at least one item");
            assert_eq!(ending(last), expected, "{name}: {last:?}");
            let ends = |event: &Result<EngineEvent, UpstreamError>| {
                matches!(
                    event,
                    Ok(EngineEvent::Finished { .. } | EngineEvent::Failed { .. }) | Err(_)
                )
            };
            assert_eq!(
                events.iter().filter(|event| ends(event)).count(),
                1,
                "{name}"
            );
            assert!(ends(last), "{name}");
            assert_eq!(server.count(), 1, "{name}");
        }
    });
}

#[test]
fn a_stream_ends_at_the_deadline_of_its_call_or_in_silence() {
    let cases = [
        (Duration::from_secs(5), Duration::from_secs(5)),
        (Duration::from_mins(10), Duration::from_secs(10)),
    ];
    block_on(async {
        for (deadline_in, passes) in cases {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
            let address = listener.local_addr().expect("address").to_string();
            let paused = PausedClock::new();
            let engine = HttpEngine::new(address, ClockSource::Paused(paused.clone()), LIMIT);
            let served = smol::spawn(async move {
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
            let _open = served.await;
            let first = events.next().await.expect("an item");
            assert!(matches!(first, Ok(EngineEvent::Started { .. })));
            let last = future::zip(events.next(), async { paused.advance(passes) });
            let last = last.await.0.expect("an item");
            let Err(UpstreamError::Overdue { phase, .. }) = last else {
                panic!("{last:?}");
            };
            assert_eq!(phase, SendPhase::AfterFirstByte);
            assert!(events.next().await.is_none());
        }
    });
}
