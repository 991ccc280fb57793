//! Invalid or slow input gets the right status, uses bounded memory and does not
//! disturb other callers.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use entry::{ApiFailure, EntryHandler, EntryLimits, EntryServer, FailureKind, event_stream};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http_types::{Response, StatusCode};
use kernel::{CancellationToken, ClockSource, PausedClock};
use memory::MemoryBudget;
use smol::{future::yield_now, net::TcpStream};

const MAX_BODY_BYTES: u64 = 4_096;

struct TestServer {
    address: String,
    clock: Arc<PausedClock>,
    budget: Arc<MemoryBudget>,
    connections: Arc<AtomicU32>,
    token: CancellationToken,
}

impl Drop for TestServer {
    fn drop(&mut self) {
        self.token.cancel();
    }
}

/// Sends a message when the handler's future completes or is dropped.
struct DropNotifier(smol::channel::Sender<()>);

impl Drop for DropNotifier {
    fn drop(&mut self) {
        self.0.try_send(()).ok();
    }
}

/// Responds with the length of the body. `/stream` streams endlessly; `/wait`
/// responds only after the caller has disconnected.
fn handler(ended: smol::channel::Sender<()>) -> EntryHandler {
    Arc::new(move |mut request| {
        let ended = ended.clone();
        Box::pin(async move {
            match request.path() {
                "/stream" => endless_stream(),
                "/wait" => {
                    let _guard = DropNotifier(ended);
                    request.disconnected.cancelled().await;
                    Response::new(StatusCode::Ok)
                }
                _ => match request.body().await {
                    Ok(body) => {
                        let mut response = Response::new(StatusCode::Ok);
                        response.set_body(body.bytes().len().to_string());
                        response
                    }
                    Err(failure) => failure.response(),
                },
            }
        })
    })
}

fn endless_stream() -> Response {
    let (response, mut sink) = event_stream();
    smol::spawn(async move {
        let text = "x".repeat(8_192);
        while sink.send_text(&text).await {}
    })
    .detach();
    response
}

async fn start() -> (TestServer, smol::channel::Receiver<()>) {
    let clock = PausedClock::new();
    let budget = MemoryBudget::new(MAX_BODY_BYTES * 2, MAX_BODY_BYTES * 2);
    let (ended, handler_ended) = smol::channel::unbounded();
    let limits = EntryLimits {
        body_bytes: MAX_BODY_BYTES,
        connections: 100,
        head_timeout: Duration::from_secs(10),
        body_timeout: Duration::from_secs(20),
        write_timeout: Duration::from_secs(20),
    };
    let server = EntryServer::bind(
        "127.0.0.1:0",
        limits,
        Arc::clone(&budget),
        ClockSource::Paused(Arc::clone(&clock)),
    )
    .await
    .unwrap()
    .with_handler(handler(ended));
    let address = server.local_address().unwrap().to_string();
    let connections = server.connections();
    let token = CancellationToken::new();
    smol::spawn(server.run(token.clone())).detach();
    let server = TestServer {
        address,
        clock,
        budget,
        connections,
        token,
    };
    (server, handler_ended)
}

async fn connect(server: &TestServer) -> TcpStream {
    TcpStream::connect(&server.address).await.unwrap()
}

/// Sends `text` and reads until the server closes the connection.
async fn exchange(server: &TestServer, text: &[u8]) -> String {
    let mut stream = connect(server).await;
    // Ignores the error: the server may respond and close before it has read
    // everything.
    stream.write_all(text).await.ok();
    read_all(&mut stream).await
}

async fn read_all(stream: &mut TcpStream) -> String {
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.ok();
    String::from_utf8_lossy(&response).into_owned()
}

fn status_of(response: &str) -> &str {
    response.split(' ').nth(1).unwrap_or("none")
}

fn post(path: &str, extra: &str, body: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nHost: test\r\nConnection: close\r\nContent-Length: {}\r\n{extra}\r\n{body}",
        body.len()
    )
    .into_bytes()
}

#[test]
fn each_kind_of_invalid_input_has_its_status() {
    smol::block_on(async {
        let (server, _handler_ended) = start().await;
        let many_headers = "name: value\r\n".repeat(200);
        let long_header = format!("long: {}\r\n", "x".repeat(20_000));
        let endless_line = format!("GET /{} ", "x".repeat(40_000));
        let large_body = "x".repeat(5_000);
        let large_length =
            b"POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 99999999\r\n\r\n".to_vec();
        let chunked = format!(
            "POST / HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n{large_body}\r\n0\r\n\r\n"
        );
        let ambiguous_length = b"POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".to_vec();
        let cases: [(&str, Vec<u8>, &str); 9] = [
            ("a good request", post("/", "", "hello"), "200"),
            ("too many headers", post("/", &many_headers, ""), "431"),
            ("a long header", post("/", &long_header, ""), "431"),
            ("a line without end", endless_line.into_bytes(), "431"),
            ("a body over the limit", post("/", "", &large_body), "413"),
            ("a length over the limit", large_length, "413"),
            ("chunks over the limit", chunked.into_bytes(), "413"),
            ("no HTTP at all", b"hello there\r\n\r\n".to_vec(), "400"),
            ("length and chunks at once", ambiguous_length, "400"),
        ];
        for (name, text, status) in cases {
            let response = exchange(&server, &text).await;
            assert_eq!(status_of(&response), status, "{name}: {response}");
        }
        assert_eq!(server.budget.held_bytes(), 0);
    });
}

#[test]
fn a_slow_body_times_out_without_blocking_other_callers() {
    smol::block_on(async {
        let (server, _handler_ended) = start().await;
        let mut slow = connect(&server).await;
        slow.write_all(b"POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 100\r\n\r\nab")
            .await
            .unwrap();
        wait_for_timer(&server).await;

        let response = exchange(&server, &post("/", "", "hello")).await;
        assert_eq!(status_of(&response), "200");

        advance_until_closed(&server, &mut slow, "408").await;
        assert_eq!(server.budget.held_bytes(), 0);
    });
}

#[test]
fn an_incomplete_head_times_out() {
    smol::block_on(async {
        let (server, _handler_ended) = start().await;
        let mut slow = connect(&server).await;
        slow.write_all(b"GET / HTTP/1.1\r\nHost: te").await.unwrap();
        wait_for_timer(&server).await;

        advance_until_closed(&server, &mut slow, "408").await;
    });
}

#[test]
fn a_caller_that_never_reads_is_disconnected() {
    smol::block_on(async {
        let (server, _handler_ended) = start().await;
        let mut stuck = connect(&server).await;
        stuck
            .write_all(b"GET /stream HTTP/1.1\r\nHost: test\r\n\r\n")
            .await
            .unwrap();
        while server.connections.load(Ordering::Relaxed) == 0 {
            yield_now().await;
        }
        // Reads nothing until the server has closed the connection.
        while server.connections.load(Ordering::Relaxed) > 0 {
            smol::Timer::after(Duration::from_millis(5)).await;
            server.clock.advance(Duration::from_secs(1));
        }

        let response = read_all(&mut stuck).await;
        assert_eq!(status_of(&response), "200");
        assert!(
            !response.ends_with("0\r\n\r\n"),
            "a truncated stream must not end with the last-chunk marker"
        );
    });
}

#[test]
fn the_handler_ends_when_its_caller_disconnects() {
    smol::block_on(async {
        let (server, handler_ended) = start().await;
        let mut stream = connect(&server).await;
        stream
            .write_all(b"GET /wait HTTP/1.1\r\nHost: test\r\n\r\n")
            .await
            .unwrap();
        drop(stream);

        handler_ended.recv().await.unwrap();
    });
}

#[test]
fn the_total_size_of_buffered_bodies_is_limited() {
    smol::block_on(async {
        let (server, _handler_ended) = start().await;
        let body = "x".repeat(4_000);
        let mut slow_callers = Vec::new();
        for _ in 0..2 {
            let mut stream = connect(&server).await;
            let head = "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 4001\r\n\r\n";
            stream.write_all(head.as_bytes()).await.unwrap();
            stream.write_all(body.as_bytes()).await.unwrap();
            slow_callers.push(stream);
        }
        while server.budget.held_bytes() < 8_000 {
            yield_now().await;
        }

        let response = exchange(&server, &post("/", "", &body)).await;
        assert_eq!(status_of(&response), "503", "{response}");
        assert!(response.contains("Retry-After") || response.contains("retry-after"));

        drop(slow_callers);
        while server.budget.held_bytes() > 0 {
            yield_now().await;
        }
        let response = exchange(&server, &post("/", "", &body)).await;
        assert_eq!(status_of(&response), "200");
    });
}

#[test]
fn a_failure_has_the_usual_shape() {
    let failure = ApiFailure::new(
        FailureKind::TooManyRequests,
        "organisation_limit",
        "too many",
    )
    .with_param("model")
    .with_retry_after(Duration::from_millis(1_500));

    let response = failure.response();

    assert_eq!(response.header("Retry-After").unwrap().last().as_str(), "2");
    insta::assert_snapshot!(failure.body());
}

async fn wait_for_timer(server: &TestServer) {
    while server.clock.next_due().is_none() {
        yield_now().await;
    }
    // The server sets the head or body timer shortly after the bytes have arrived.
    smol::Timer::after(Duration::from_millis(20)).await;
}

async fn advance_until_closed(server: &TestServer, stream: &mut TcpStream, status: &str) {
    let clock = Arc::clone(&server.clock);
    let advancing = smol::spawn(async move {
        loop {
            clock.advance(Duration::from_secs(1));
            smol::Timer::after(Duration::from_millis(1)).await;
        }
    });
    let response = read_all(stream).await;
    advancing.cancel().await;
    assert_eq!(status_of(&response), status, "{response}");
}
