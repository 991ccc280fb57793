//! Errors report whether the request may have been sent; responses and headers
//! stay within their limits.

use std::time::Duration;

use errors::{PlatformError, SendPhase};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http_types::Method;
use kernel::ClockSource;
use smol::{block_on, net::TcpListener};
use transport::{CallError, HttpClient};

const TIMEOUT: Duration = Duration::from_secs(30);

fn client(address: &str, timeout: Duration) -> HttpClient {
    HttpClient::new(address.to_owned(), ClockSource::System, timeout)
}

async fn listener() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    (listener, address)
}

async fn call_error(client: &HttpClient) -> CallError {
    let request = client.request("ask", Method::Get, "/").expect("request");
    client.call("ask", request).await.expect_err("an error")
}

#[test]
fn a_refused_connection_is_reported_as_not_sent() {
    block_on(async {
        let (listener, address) = listener().await;
        drop(listener);
        let error = call_error(&client(&address, TIMEOUT)).await;
        let CallError::Broken {
            step, peer, phase, ..
        } = &error
        else {
            panic!("{error}");
        };
        assert_eq!((step.as_str(), peer), ("ask", &address));
        assert_eq!(*phase, SendPhase::BeforeFirstByte);
        let error = PlatformError::from(error);
        assert!(!error.effect_unknown(), "{error}");
    });
}

#[test]
fn a_timeout_before_the_connection_is_reported_as_not_sent() {
    block_on(async {
        let (listener, address) = listener().await;
        let error = call_error(&client(&address, Duration::ZERO)).await;
        let CallError::Overdue { phase, .. } = error else {
            panic!("{error}");
        };
        assert_eq!(phase, SendPhase::BeforeFirstByte);
        let (mut stream, _) = listener.accept().await.expect("accept");
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await.ok();
        assert!(bytes.is_empty());
    });
}

#[test]
fn a_connection_closed_after_the_request_is_reported_as_sent() {
    block_on(async {
        let (listener, address) = listener().await;
        let server = smol::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("accept");
            stream.read(&mut [0; 1_024]).await.expect("read");
        });
        let error = call_error(&client(&address, TIMEOUT)).await;
        server.await;
        let CallError::Broken { phase, .. } = error else {
            panic!("{error}");
        };
        assert_eq!(phase, SendPhase::AfterFirstByte);
    });
}

#[test]
fn an_endless_head_or_body_is_rejected() {
    let heads = [
        "HTTP/1.1 200 OK\r\nx: ".to_owned(),
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", u32::MAX),
    ];
    block_on(async {
        for head in heads {
            let (listener, address) = listener().await;
            let server = smol::spawn(async move {
                let (mut stream, _) = listener.accept().await.expect("accept");
                stream.write_all(head.as_bytes()).await.ok();
                let chunk = vec![b'x'; 1 << 20];
                while stream.write_all(&chunk).await.is_ok() {}
            });
            let error = call_error(&client(&address, TIMEOUT)).await;
            let timed_out = matches!(error, CallError::Overdue { .. });
            assert!(!timed_out, "{error}");
            // Ends only after the client has closed the connection.
            server.await;
        }
    });
}

#[test]
fn an_untrusted_header_value_cannot_inject_a_header() {
    let client = client("127.0.0.1:9", TIMEOUT);
    let mut request = client.request("ask", Method::Get, "/").expect("request");
    for value in ["a\r\nb: c", "a\nb", "\u{e9}", "\0"] {
        let outcome = client.set_header("ask", &mut request, "idempotency-key", value);
        let error = outcome.expect_err(value);
        let CallError::Broken { phase, .. } = error else {
            panic!("{error}");
        };
        assert_eq!(phase, SendPhase::BeforeFirstByte);
    }
    assert!(request.header("idempotency-key").is_none());
}
