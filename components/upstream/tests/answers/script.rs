//! A server that answers from a script, and the calls made to it.

use std::time::Duration;

use errors::{SendPhase, UpstreamError};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use smol::{
    Task,
    channel::{Receiver, Sender, unbounded},
    net::{TcpListener, TcpStream},
};
use upstream::{EngineCall, OrderCall};

pub const LIMIT: Duration = Duration::from_secs(30);
pub const STARTED: &str = r#"{"event":"started","attempt":1,"prompt_tokens":9,"cached_tokens":0}"#;
pub const FINISHED: &str = r#"{"event":"finished","attempt":1,"tokens":0}"#;
pub const FAILED: &str = r#"{"event":"failed","attempt":1,"cause":"full"}"#;

/// A server that gives every connection the same bytes and closes it.
pub struct ScriptedServer {
    pub address: String,
    pub requests: Receiver<String>,
    _task: Task<()>,
}

impl ScriptedServer {
    pub async fn start(answer: String) -> Self {
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

    pub fn count(&self) -> usize {
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
        deadline_in: LIMIT,
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
        deadline_in: LIMIT,
        traceparent: String::new(),
    }
}

/// How a call or stream ended, without its texts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    Whole,
    BrokenAfter,
    Malformed,
    Refused,
    Fenced,
    Other,
}

pub fn ending<T>(outcome: &Result<T, UpstreamError>) -> Ending {
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
