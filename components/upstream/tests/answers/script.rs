//! Server with a scripted response, and the calls that the tests send to it.

use std::time::Duration;

use errors::{SendPhase, UpstreamError};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use smol::{
    Task,
    channel::{Receiver, Sender, unbounded},
    net::{TcpListener, TcpStream},
};
use upstream::{EngineCall, OrderCall};

pub const TIMEOUT: Duration = Duration::from_secs(30);
pub const STARTED: &str = r#"{"event":"started","attempt":1,"prompt_tokens":9,"cached_tokens":0}"#;
pub const FINISHED: &str = r#"{"event":"finished","attempt":1,"tokens":0}"#;
pub const FAILED: &str = r#"{"event":"failed","attempt":1,"cause":"full"}"#;

/// Server that sends the same bytes on every connection and then closes it.
pub struct ScriptedServer {
    pub address: String,
    pub requests: Receiver<String>,
    _task: Task<()>,
}

impl ScriptedServer {
    pub async fn start(response: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address").to_string();
        let (sender, requests) = unbounded();
        let task = smol::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                serve_connection(stream, &response, &sender).await;
            }
        });
        Self {
            address,
            requests,
            _task: task,
        }
    }

    pub fn request_count(&self) -> usize {
        self.requests.len()
    }
}

async fn serve_connection(mut stream: TcpStream, response: &str, requests: &Sender<String>) {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    while !is_complete(&bytes) {
        let count = stream.read(&mut buffer).await.unwrap_or(0);
        if count == 0 {
            break;
        }
        bytes.extend_from_slice(&buffer[..count]);
    }
    // Recorded before the response is sent, so that the request is counted when the
    // call returns.
    let request = String::from_utf8_lossy(&bytes).into_owned();
    requests.try_send(request).ok();
    stream.write_all(response.as_bytes()).await.ok();
}

/// Whether the request has arrived completely; the tests' bodies end in `}`.
fn is_complete(bytes: &[u8]) -> bool {
    bytes.ends_with(b"}") || (bytes.starts_with(b"GET") && bytes.ends_with(b"\r\n\r\n"))
}

pub fn chunked(lines: &[&str], ending: &str) -> String {
    let chunk = |line: &&str| format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
    let chunks = lines.iter().map(chunk).collect::<Vec<_>>().concat();
    format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunks}{ending}")
}

pub fn call() -> EngineCall {
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
        deadline_in: TIMEOUT,
        members: Vec::new(),
        traceparent: String::new(),
    }
}

pub fn order() -> OrderCall {
    OrderCall {
        path: "issue".to_owned(),
        content_type: "application/json".to_owned(),
        body: "{}".to_owned(),
        dedup_key: None,
        fencing: None,
        deadline_in: TIMEOUT,
        traceparent: String::new(),
    }
}

/// Kind of outcome of a call or stream, without messages.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    Complete,
    BrokenAfterFirstByte,
    Malformed,
    Refused,
    Fenced,
    Other,
}

pub fn call_outcome<T>(outcome: &Result<T, UpstreamError>) -> CallOutcome {
    match outcome {
        Ok(_) => CallOutcome::Complete,
        Err(UpstreamError::Broken {
            phase: SendPhase::AfterFirstByte,
            ..
        }) => CallOutcome::BrokenAfterFirstByte,
        Err(UpstreamError::Malformed { .. }) => CallOutcome::Malformed,
        Err(UpstreamError::Refused { .. }) => CallOutcome::Refused,
        Err(UpstreamError::Fenced { .. }) => CallOutcome::Fenced,
        Err(_) => CallOutcome::Other,
    }
}
