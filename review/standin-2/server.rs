//! Stand-in of a sound server. The last part of a request's path says how long its answer is
//! and how long the server works on it: `bytes-N`, or `stream-MS` for a stream whose first
//! event comes after MS milliseconds.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{record::Record, store::Store, wire::Wire};

const HEARTBEAT: Duration = Duration::from_millis(1200);
const EVENTS: u64 = 10;
const EVENT_PAUSE: Duration = Duration::from_millis(100);

#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    /// Ids of the attempts that it has run, and whether the answer was written whole.
    pub runs: Arc<Mutex<Vec<(String, bool)>>>,
    /// Difference between the ids of two events.
    id_step: u64,
    record: Record,
}

impl Server {
    pub fn start(
        host: Ipv4Addr,
        id: &str,
        service: &str,
        id_step: u64,
        store: &Store,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind((host, 0)).unwrap();
        let server = Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            runs: Arc::default(),
            id_step,
            record: record.clone(),
        };
        let (beating, service, store) = (server.clone(), service.to_owned(), store.clone());
        thread::spawn(move || {
            for sequence in 0.. {
                store.put("servers", &beating.id, &beating.entry(&service, sequence));
                thread::sleep(HEARTBEAT);
            }
        });
        let serving = server.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let server = serving.clone();
                thread::spawn(move || server.serve(socket).ok());
            }
        });
        server
    }

    fn entry(&self, service: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"duluth\",\"version\":\"v1\",\
             \"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence},\
             \"born\":1700000000000}}",
            self.address
        )
    }

    fn serve(&self, socket: TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        let mut wire = Wire::new(socket);
        while let Some(head) = wire.head()? {
            wire.body(&head, 4096, Duration::ZERO)?;
            let attempt = head.header("x-attempt-id").unwrap_or_default().to_owned();
            let own = format!("x-attempt-id: {attempt}\r\n");
            if head
                .header("x-expect-instance")
                .is_some_and(|id| id != self.id)
            {
                wire.send(&format!("HTTP/1.1 421 X\r\n{own}content-length: 0\r\n\r\n"))?;
                continue;
            }
            self.runs.lock().unwrap().push((attempt.clone(), false));
            let resumes = head.header("last-event-id").unwrap_or("-");
            let line = format!("server {} runs {attempt}, Last-Event-Id {resumes}", self.id);
            self.record.line(&line);
            let own = format!("{own}x-response-signature: s.{}.{attempt}\r\n", self.id);
            let work = head
                .second
                .rsplit('/')
                .next()
                .unwrap_or_default()
                .to_owned();
            let (kind, number) = work.split_once('-').unwrap_or(("bytes", "800"));
            let number: u64 = number.parse().unwrap_or(800);
            let written = if kind == "stream" {
                let last = head.header("last-event-id").and_then(|id| id.parse().ok());
                self.send_stream(&mut wire, &own, number, last.unwrap_or(0))
            } else {
                let body = "a".repeat(usize::try_from(number).unwrap());
                wire.send(&format!(
                    "HTTP/1.1 200 OK\r\n{own}content-length: {}\r\n\r\n{body}",
                    body.len()
                ))
            };
            if written.is_err() {
                self.record.line(&format!(
                    "server {} sees the connection of {attempt} closed by the node",
                    self.id
                ));
            }
            written?;
            let mut runs = self.runs.lock().unwrap();
            if let Some(run) = runs.iter_mut().rfind(|(known, _)| *known == attempt) {
                run.1 = true;
            }
            drop(runs);
            self.record
                .line(&format!("server {} has answered {attempt}", self.id));
        }
        Ok(())
    }

    /// Sends the events after the one with the id `last`.
    fn send_stream(&self, wire: &mut Wire, own: &str, first_ms: u64, last: u64) -> io::Result<()> {
        wire.send(&format!(
            "HTTP/1.1 200 OK\r\n{own}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        ))?;
        thread::sleep(Duration::from_millis(first_ms));
        for number in 1..=EVENTS {
            let id = number * self.id_step;
            if id <= last {
                continue;
            }
            let event = format!("id: {id}\ndata: {}\n\n", "t".repeat(50));
            wire.send(&format!("{:x}\r\n{event}\r\n", event.len()))?;
            thread::sleep(EVENT_PAUSE);
        }
        wire.send("0\r\n\r\n")
    }
}
