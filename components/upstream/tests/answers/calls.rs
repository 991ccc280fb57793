//! Calls with a single response, and the requests that they send.

use std::time::Duration;

use kernel::ClockSource;
use smol::block_on;
use upstream::{HttpEngine, HttpService, ModelEngine, OrderCall, PlainService};

use crate::script::{CallOutcome, ScriptedServer, TIMEOUT, call_outcome, order};

#[test]
fn an_order_is_sent_once_whatever_the_response() {
    let response = |head: &str, body: &str| format!("HTTP/1.1 {head}\r\n\r\n{body}");
    let cases = [
        ("no bytes", String::new(), CallOutcome::BrokenAfterFirstByte),
        (
            "half a head",
            "HTTP/1.1 200 O".to_owned(),
            CallOutcome::BrokenAfterFirstByte,
        ),
        (
            "no HTTP",
            "hello\r\n\r\n".to_owned(),
            CallOutcome::BrokenAfterFirstByte,
        ),
        (
            "a truncated body",
            response("200 OK\r\ncontent-length: 9", "half"),
            CallOutcome::BrokenAfterFirstByte,
        ),
        (
            "a truncated chunk",
            response("200 OK\r\ntransfer-encoding: chunked", "9\r\nhalf"),
            CallOutcome::BrokenAfterFirstByte,
        ),
        (
            "no declared length",
            response("200 OK", "body"),
            CallOutcome::Malformed,
        ),
        (
            // The declared length cuts the two-byte character in half.
            "a body that is not UTF-8",
            response("200 OK\r\ncontent-length: 1", "\u{80}"),
            CallOutcome::Malformed,
        ),
        (
            "an error",
            response("500 Oops\r\ncontent-length: 0", ""),
            CallOutcome::Complete,
        ),
        (
            "unavailable, may have run",
            response("503 Down\r\ncontent-length: 0", ""),
            CallOutcome::Complete,
        ),
        (
            "unavailable, not run",
            response("503 Down\r\nnot-run: true\r\ncontent-length: 0", ""),
            CallOutcome::Refused,
        ),
        (
            "fenced",
            response("409 Old\r\nfencing-newest: 7\r\ncontent-length: 0", ""),
            CallOutcome::Fenced,
        ),
    ];
    block_on(async {
        for (name, response, expected) in cases {
            let server = ScriptedServer::start(response).await;
            let service = HttpService::new(server.address.clone(), ClockSource::System, TIMEOUT);
            let outcome = service.order(order()).await;
            assert_eq!(call_outcome(&outcome), expected, "{name}: {outcome:?}");
            assert_eq!(server.request_count(), 1, "{name}");
        }
    });
}

#[test]
fn an_engine_status_tells_whether_the_call_may_have_run() {
    let response = |head: &str, body: &str| {
        let length = body.len();
        format!("HTTP/1.1 {head}\r\ncontent-length: {length}\r\n\r\n{body}")
    };
    let cases = [
        ("done", response("204 Done", ""), CallOutcome::Complete),
        (
            "refused",
            response("503 Full", "{\"cause\":\"full\"}"),
            CallOutcome::Refused,
        ),
        (
            "not found",
            response("404 None", "none"),
            CallOutcome::Refused,
        ),
        (
            "fenced",
            response("409 Old", "{\"newest\":7}"),
            CallOutcome::Fenced,
        ),
        (
            "fenced without a number",
            response("409 Old", "old"),
            CallOutcome::Malformed,
        ),
        ("an error", response("500 Oops", ""), CallOutcome::Malformed),
        (
            "a redirect",
            response("302 Moved", ""),
            CallOutcome::Malformed,
        ),
    ];
    block_on(async {
        for (name, response, expected) in cases {
            let server = ScriptedServer::start(response).await;
            let engine = HttpEngine::new(server.address.clone(), ClockSource::System, TIMEOUT);
            let outcome = engine.cancel(&"r1".to_owned(), 1).await;
            assert_eq!(call_outcome(&outcome), expected, "{name}: {outcome:?}");
            assert_eq!(server.request_count(), 1, "{name}");
        }
    });
}

#[test]
fn an_order_carries_trace_deadline_deduplication_key_and_fencing_number() {
    block_on(async {
        let done = "HTTP/1.1 204 Done\r\ncontent-length: 0\r\n\r\n".to_owned();
        let server = ScriptedServer::start(done).await;
        let service = HttpService::new(server.address.clone(), ClockSource::System, TIMEOUT);
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
fn an_untrusted_path_cannot_change_the_host_or_inject_a_header() {
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
        let service = HttpService::new(server.address.clone(), ClockSource::System, TIMEOUT);
        for (path, sent) in cases {
            service.read(path, TIMEOUT, "").await.expect(path);
            let request = server.requests.recv().await.expect("a request");
            let line = request.lines().next().expect("a line");
            assert_eq!(line, format!("GET {sent} HTTP/1.1"));
            assert!(!request.contains("\r\nx:"), "{request}");
        }
    });
}

#[test]
fn a_refusal_quotes_at_most_one_short_line_of_the_response() {
    block_on(async {
        let body = "down\nevent=forged ".repeat(1_000);
        let length = body.len();
        let head = "HTTP/1.1 503 Down\r\nnot-run: true\r\ncontent-length";
        let server = ScriptedServer::start(format!("{head}: {length}\r\n\r\n{body}")).await;
        let service = HttpService::new(server.address.clone(), ClockSource::System, TIMEOUT);
        let error = service.order(order()).await.expect_err("refused");
        let message = error.to_string();
        assert!(message.contains("down event=forged"), "{message}");
        assert_eq!(message.lines().count(), 1);
        assert!(message.len() < 400, "{}", message.len());
    });
}
