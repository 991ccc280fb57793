//! What the adapters make of answers that no well-behaved upstream gives.

use std::time::Duration;

use errors::{SendPhase, UpstreamError};
use futures_lite::{AsyncReadExt, AsyncWriteExt, StreamExt};
use kernel::{ClockSource, PausedClock};
use smol::{
    Task, block_on,
    channel::{Receiver, Sender, unbounded},
    future,
    net::{TcpListener, TcpStream},
};
use upstream::{
    EngineCall, EngineEvent, HttpEngine, HttpService, ModelEngine, OrderCall, PlainService,
};

const LIMIT: Duration = Duration::from_secs(30);
const STARTED: &str = r#"{"event":"started","attempt":1,"prompt_tokens":9,"cached_tokens":0}"#;
const FINISHED: &str = r#"{"event":"finished","attempt":1,"tokens":0}"#;
const FAILED: &str = r#"{"event":"failed","attempt":1,"cause":"full"}"#;

/// A server that gives every connection the same bytes and closes it.
struct ScriptedServer {
    address: String,
    requests: Receiver<String>,
    _task: Task<()>,
}

impl ScriptedServer {
    async fn start(answer: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address").to_string();
        let (sender, requests) = unbounded();
        let task = smol::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                answer_one(stream, &answer, &sender).await;
            }
        });
        Self {
            address,
            requests,
            _task: task,
        }
    }

    fn count(&self) -> usize {
        self.requests.len()
    }
}

async fn answer_one(mut stream: TcpStream, answer: &str, requests: &Sender<String>) {
    let mut bytes = Vec::new();
    let mut part = [0; 4_096];
    while !is_whole(&bytes) {
        let count = stream.read(&mut part).await.unwrap_or(0);
        if count == 0 {
            break;
        }
        bytes.extend_from_slice(&part[..count]);
    }
    // Counted before the answer, so that the caller's return implies it.
    let request = String::from_utf8_lossy(&bytes).into_owned();
    requests.try_send(request).ok();
    stream.write_all(answer.as_bytes()).await.ok();
}

/// Whether a request with its body has come; bodies of the tests end in `}`.
fn is_whole(bytes: &[u8]) -> bool {
    bytes.ends_with(b"}") || (bytes.starts_with(b"GET") && bytes.ends_with(b"\r\n\r\n"))
}

fn chunked(lines: &[&str], ending: &str) -> String {
    let chunk = |line: &&str| format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
    let chunks = lines.iter().map(chunk).collect::<Vec<_>>().concat();
    format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunks}{ending}")
}

fn call() -> EngineCall {
    EngineCall {
        request: "r1".to_owned(),
        attempt: 1,
        model: "ash".to_owned(),
        version: "v1".to_owned(),
        adapter: None,
        prompt: "brief".to_owned(),
        output_tokens: 9,
        resume_at: 0,
        priority: 1,
        deadline_in: LIMIT,
        members: Vec::new(),
        traceparent: String::new(),
    }
}

fn order() -> OrderCall {
    OrderCall {
        path: "issue".to_owned(),
        content_type: "application/json".to_owned(),
        body: "{}".to_owned(),
        dedup_key: None,
        fencing: None,
        deadline_in: LIMIT,
        traceparent: String::new(),
    }
}

/// How a call or stream ended, without its texts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ending {
    Whole,
    BrokenAfter,
    Malformed,
    Refused,
    Fenced,
    Other,
}

fn ending<T>(outcome: &Result<T, UpstreamError>) -> Ending {
    match outcome {
        Ok(_) => Ending::Whole,
        Err(UpstreamError::Broken {
            phase: SendPhase::AfterFirstByte,
            ..
        }) => Ending::BrokenAfter,
        Err(UpstreamError::Malformed { .. }) => Ending::Malformed,
        Err(UpstreamError::Refused { .. }) => Ending::Refused,
        Err(UpstreamError::Fenced { .. }) => Ending::Fenced,
        Err(_) => Ending::Other,
    }
}

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

#[test]
fn an_order_is_sent_once_whatever_comes_back() {
    let answer = |head: &str, body: &str| format!("HTTP/1.1 {head}\r\n\r\n{body}");
    let cases = [
        ("nothing", String::new(), Ending::BrokenAfter),
        (
            "half a head",
            "HTTP/1.1 200 O".to_owned(),
            Ending::BrokenAfter,
        ),
        ("no HTTP", "hello\r\n\r\n".to_owned(), Ending::BrokenAfter),
        (
            "a short body",
            answer("200 OK\r\ncontent-length: 9", "half"),
            Ending::BrokenAfter,
        ),
        (
            "a cut chunk",
            answer("200 OK\r\ntransfer-encoding: chunked", "9\r\nhalf"),
            Ending::BrokenAfter,
        ),
        ("no stated end", answer("200 OK", "body"), Ending::Malformed),
        (
            "no text",
            answer("200 OK\r\ncontent-length: 1", "\u{80}"),
            Ending::Malformed,
        ),
        (
            "an error",
            answer("500 Oops\r\ncontent-length: 0", ""),
            Ending::Whole,
        ),
        (
            "down, perhaps run",
            answer("503 Down\r\ncontent-length: 0", ""),
            Ending::Whole,
        ),
        (
            "down, not run",
            answer("503 Down\r\nnot-run: true\r\ncontent-length: 0", ""),
            Ending::Refused,
        ),
        (
            "fenced",
            answer("409 Old\r\nfencing-newest: 7\r\ncontent-length: 0", ""),
            Ending::Fenced,
        ),
    ];
    block_on(async {
        for (name, answer, expected) in cases {
            let server = ScriptedServer::start(answer).await;
            let service = HttpService::new(server.address.clone(), ClockSource::System, LIMIT);
            let outcome = service.order(order()).await;
            assert_eq!(ending(&outcome), expected, "{name}: {outcome:?}");
            assert_eq!(server.count(), 1, "{name}");
        }
    });
}

#[test]
fn an_engine_call_reads_statuses_as_the_format_says() {
    let answer = |head: &str, body: &str| {
        let length = body.len();
        format!("HTTP/1.1 {head}\r\ncontent-length: {length}\r\n\r\n{body}")
    };
    let cases = [
        ("done", answer("204 Done", ""), Ending::Whole),
        (
            "refused",
            answer("503 Full", "{\"cause\":\"full\"}"),
            Ending::Refused,
        ),
        ("unknown to it", answer("404 None", "none"), Ending::Refused),
        (
            "fenced",
            answer("409 Old", "{\"newest\":7}"),
            Ending::Fenced,
        ),
        (
            "fenced by nothing",
            answer("409 Old", "old"),
            Ending::Malformed,
        ),
        ("an error", answer("500 Oops", ""), Ending::Malformed),
        ("a move", answer("302 Moved", ""), Ending::Malformed),
    ];
    block_on(async {
        for (name, answer, expected) in cases {
            let server = ScriptedServer::start(answer).await;
            let engine = HttpEngine::new(server.address.clone(), ClockSource::System, LIMIT);
            let outcome = engine.cancel(&"r1".to_owned(), 1).await;
            assert_eq!(ending(&outcome), expected, "{name}: {outcome:?}");
            assert_eq!(server.count(), 1, "{name}");
        }
    });
}

#[test]
fn the_hop_carries_its_trace_deadline_key_and_number() {
    block_on(async {
        let done = "HTTP/1.1 204 Done\r\ncontent-length: 0\r\n\r\n".to_owned();
        let server = ScriptedServer::start(done).await;
        let service = HttpService::new(server.address.clone(), ClockSource::System, LIMIT);
        let call = OrderCall {
            dedup_key: Some("lakeshore/42".to_owned()),
            fencing: Some(7),
            traceparent: "00-a-b-01".to_owned(),
            deadline_in: Duration::from_millis(1_500),
            ..order()
        };
        service.order(call).await.expect("order");
        let request = server.requests.recv().await.expect("a request");
        assert!(request.starts_with("POST /issue HTTP/1.1\r\n"), "{request}");
        for line in [
            "traceparent: 00-a-b-01",
            "deadline-ms: 1500",
            "idempotency-key: lakeshore/42",
            "fencing-number: 7",
        ] {
            assert!(request.contains(&format!("\r\n{line}\r\n")), "{request}");
        }
    });
}

#[test]
fn a_path_from_elsewhere_stays_on_the_service_and_adds_no_line() {
    let cases = [
        ("issue/7?desk=2#top", "/issue/7?desk=2"),
        ("//elsewhere/issue", "/elsewhere/issue"),
        ("http://elsewhere/issue", "/http://elsewhere/issue"),
        ("a/../../b", "/b"),
        ("a b\u{e9}", "/a%20b%C3%A9"),
        ("a HTTP/1.1\r\nx: y", "/a%20HTTP/1.1x:%20y"),
    ];
    block_on(async {
        let done = "HTTP/1.1 204 Done\r\ncontent-length: 0\r\n\r\n".to_owned();
        let server = ScriptedServer::start(done).await;
        let service = HttpService::new(server.address.clone(), ClockSource::System, LIMIT);
        for (path, sent) in cases {
            service.read(path, LIMIT, "").await.expect(path);
            let request = server.requests.recv().await.expect("a request");
            let line = request.lines().next().expect("a line");
            assert_eq!(line, format!("GET {sent} HTTP/1.1"));
            assert!(!request.contains("\r\nx:"), "{request}");
        }
    });
}
