//! Requests as clients send them, and what came back.

use std::{
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use crate::http::{Head, Wire};

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

#[derive(Clone, Debug)]
pub struct Request {
    pub attempt: String,
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: String,
    pub time_limit: Duration,
}

#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 without a head.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the answer came to its proper end.
    pub is_whole: bool,
    pub took: Duration,
}

impl Answer {
    /// Ids of the events of a stream.
    pub fn event_ids(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let lines = text.lines().filter_map(|line| line.strip_prefix("id: "));
        lines.filter_map(|id| id.trim().parse().ok()).collect()
    }
}

/// Sends a request on a connection of its own and reads the answer until its end, or until
/// the time limit.
pub fn send(address: SocketAddr, request: &Request) -> Answer {
    let started = Instant::now();
    let mut answer = Answer::default();
    if let Ok(socket) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
        exchange(&mut Wire::new(socket), request, &mut answer);
    }
    answer.took = started.elapsed();
    answer
}

/// Sends a request on an open connection and reads the answer.
pub fn exchange(wire: &mut Wire, request: &Request, answer: &mut Answer) {
    let mut text = format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {}\r\nX-Request-Deadline: {}\r\nX-Key: {KEY}\r\n",
        request.method,
        request.path,
        request.attempt,
        request.time_limit.as_millis()
    );
    for (name, value) in &request.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !request.body.is_empty() || request.method == "POST" {
        text.push_str(&format!("Content-Length: {}\r\n", request.body.len()));
    }
    text.push_str("\r\n");
    text.push_str(&request.body);
    wire.set_timeout(request.time_limit);
    if wire.send(&text).is_err() {
        return;
    }
    let Ok(head) = wire.read_head() else {
        return;
    };
    answer.status = head.status();
    let body = &mut answer.body;
    answer.is_whole = wire
        .read_body(&head, |part| body.extend_from_slice(part))
        .is_ok();
    answer.head = head;
}
