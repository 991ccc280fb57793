//! Calls with one answer, and what they send.

use std::time::Duration;

use kernel::ClockSource;
use smol::block_on;
use upstream::{HttpEngine, HttpService, ModelEngine, OrderCall, PlainService};

use crate::script::{Ending, LIMIT, ScriptedServer, ending, order};

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

#[test]
fn a_refusal_quotes_one_short_line_of_what_came() {
    block_on(async {
        let body = "down\nevent=forged ".repeat(1_000);
        let length = body.len();
        let head = "HTTP/1.1 503 Down\r\nnot-run: true\r\ncontent-length";
        let server = ScriptedServer::start(format!("{head}: {length}\r\n\r\n{body}")).await;
        let service = HttpService::new(server.address.clone(), ClockSource::System, LIMIT);
        let fault = service.order(order()).await.expect_err("refused");
        let told = fault.to_string();
        assert!(told.contains("down event=forged"), "{told}");
        assert_eq!(told.lines().count(), 1);
        assert!(told.len() < 400, "{}", told.len());
    });
}
