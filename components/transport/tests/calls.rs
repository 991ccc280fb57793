//! How far a call had got when it failed, and what its answer's body may be.

use std::time::Duration;

use errors::{PlatformError, SendPhase};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http_types::Method;
use kernel::ClockSource;
use smol::{block_on, net::TcpListener};
use transport::{CallError, HttpClient};

const LIMIT: Duration = Duration::from_secs(30);

fn caller(address: &str, limit: Duration) -> HttpClient {
    HttpClient::new(address.to_owned(), ClockSource::System, limit)
}

async fn listener() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    (listener, address)
}

async fn fault_of(caller: &HttpClient) -> CallError {
    let request = caller.request("ask", Method::Get, "/").expect("request");
    caller.call("ask", request).await.expect_err("a fault")
}

#[test]
fn a_refused_connection_wrote_nothing() {
    block_on(async {
        let (listener, address) = listener().await;
        drop(listener);
        let fault = fault_of(&caller(&address, LIMIT)).await;
        let CallError::Broken {
            step, peer, phase, ..
        } = &fault
        else {
            panic!("{fault}");
        };
        assert_eq!((step.as_str(), peer), ("ask", &address));
        assert_eq!(*phase, SendPhase::BeforeFirstByte);
        let error = PlatformError::from(fault);
        assert!(!error.effect_unknown(), "{error}");
    });
}

#[test]
fn a_limit_that_passed_before_the_connection_wrote_nothing() {
    block_on(async {
        let (listener, address) = listener().await;
        let fault = fault_of(&caller(&address, Duration::ZERO)).await;
        let CallError::Overdue { phase, .. } = fault else {
            panic!("{fault}");
        };
        assert_eq!(phase, SendPhase::BeforeFirstByte);
        let (mut stream, _) = listener.accept().await.expect("accept");
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await.ok();
        assert!(bytes.is_empty());
    });
}

#[test]
fn a_connection_that_ends_after_the_request_may_have_run_it() {
    block_on(async {
        let (listener, address) = listener().await;
        let served = smol::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("accept");
            stream.read(&mut [0; 1_024]).await.expect("read");
        });
        let fault = fault_of(&caller(&address, LIMIT)).await;
        served.await;
        let CallError::Broken { phase, .. } = fault else {
            panic!("{fault}");
        };
        assert_eq!(phase, SendPhase::AfterFirstByte);
    });
}

#[test]
fn an_endless_head_or_body_is_cut_off() {
    let heads = [
        "HTTP/1.1 200 OK\r\nx: ".to_owned(),
        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", u32::MAX),
    ];
    block_on(async {
        for head in heads {
            let (listener, address) = listener().await;
            let served = smol::spawn(async move {
                let (mut stream, _) = listener.accept().await.expect("accept");
                stream.write_all(head.as_bytes()).await.ok();
                let part = vec![b'x'; 1 << 20];
                while stream.write_all(&part).await.is_ok() {}
            });
            let fault = fault_of(&caller(&address, LIMIT)).await;
            let timed_out = matches!(fault, CallError::Overdue { .. });
            assert!(!timed_out, "{fault}");
            // Ends only when the caller has closed its connection.
            served.await;
        }
    });
}

#[test]
fn a_header_from_elsewhere_adds_no_line() {
    let caller = caller("127.0.0.1:9", LIMIT);
    let mut request = caller.request("ask", Method::Get, "/").expect("request");
    for value in ["a\r\nb: c", "a\nb", "\u{e9}", "\0"] {
        let outcome = caller.set_header("ask", &mut request, "idempotency-key", value);
        let fault = outcome.expect_err(value);
        let CallError::Broken { phase, .. } = fault else {
            panic!("{fault}");
        };
        assert_eq!(phase, SendPhase::BeforeFirstByte);
    }
    assert!(request.header("idempotency-key").is_none());
}
