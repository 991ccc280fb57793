//! Stand-in of the platform's store: rows, their feed, and unconditional writes, as
//! PROTOCOL.md describes them.

use std::{
    collections::BTreeMap,
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{json::Json, wire::Wire};

type RowKey = (String, String, String);

#[derive(Default)]
struct Rows {
    /// Value, `None` once it is removed, and version.
    rows: BTreeMap<RowKey, (Option<String>, u64)>,
    version: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    rows: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn start(host: Ipv4Addr) -> Self {
        let listener = TcpListener::bind((host, 0)).unwrap();
        let store = Self {
            address: listener.local_addr().unwrap(),
            rows: Arc::default(),
            started: Instant::now(),
        };
        let server = store.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(socket).ok());
            }
        });
        store
    }

    /// Writes a row; `value` is what PROTOCOL.md shows, before base64.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.change(table, "", key, Some(base64(value.as_bytes())));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.change(table, "", key, None);
    }

    fn change(&self, table: &str, part: &str, key: &str, value: Option<String>) {
        let mut rows = self.rows.0.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let key = (table.to_owned(), part.to_owned(), key.to_owned());
        rows.rows.insert(key, (value, version));
        self.rows.1.notify_all();
    }

    fn serve(&self, socket: TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        let mut wire = Wire::new(socket);
        while let Some(head) = wire.head()? {
            let body = wire.body(&head, 4096, Duration::ZERO)?;
            // An answer of the store takes 4 ms.
            thread::sleep(Duration::from_millis(4));
            let (path, query) = head.second.split_once('?').unwrap_or((&head.second, ""));
            let query: BTreeMap<String, String> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(name, value)| (name.to_owned(), unescape(value)))
                .collect();
            let (status, text) = match path {
                "/-/rows-get" => (200, self.list(&query)),
                "/-/rows-feed" => (200, self.feed(&query)),
                "/-/rows-tx" => (200, self.write(&body)),
                _ => (404, String::new()),
            };
            wire.send(&format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{text}",
                text.len()
            ))?;
        }
        Ok(())
    }

    fn answer(&self, rows: &[String], version: u64, more: bool) -> String {
        format!(
            "{{\"rows\":[{}],\"hasMore\":{more},\"versionNumber\":{version},\"nowMs\":{}}}",
            rows.join(","),
            self.started.elapsed().as_millis()
        )
    }

    fn list(&self, query: &BTreeMap<String, String>) -> String {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, from) = (text("table"), text("part"), text("from"));
        let limit: usize = text("limit").parse().unwrap_or(500);
        let rows = self.rows.0.lock().unwrap();
        let mut found = rows
            .rows
            .iter()
            .filter(|((known, known_part, key), (value, _))| {
                *known == table && *known_part == part && *key >= from && value.is_some()
            });
        let page: Vec<String> = found
            .by_ref()
            .take(limit)
            .map(|row| row_text(row))
            .collect();
        let more = found.next().is_some();
        self.answer(&page, rows.version, more)
    }

    fn feed(&self, query: &BTreeMap<String, String>) -> String {
        let number = |name: &str| query.get(name).and_then(|text| text.parse().ok());
        let table = query.get("table").cloned().unwrap_or_default();
        let after: u64 = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
        let ends_at = Instant::now() + wait;
        let mut rows = self.rows.0.lock().unwrap();
        loop {
            let mut changed: Vec<_> = rows
                .rows
                .iter()
                .filter(|((known, _, _), (_, version))| *known == table && *version > after)
                .collect();
            changed.sort_by_key(|(_, (_, version))| *version);
            let left = ends_at.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let page: Vec<String> = changed.into_iter().map(row_text).collect();
                return self.answer(&page, rows.version, false);
            }
            rows = self.rows.1.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn write(&self, body: &[u8]) -> String {
        let call = Json::parse(body).unwrap_or(Json::Null);
        for (name, is_put) in [("puts", true), ("remove", false)] {
            for row in call.list(name) {
                let text = |name: &str| row.text(name).unwrap_or_default();
                let value = is_put.then(|| text("value"));
                self.change(&text("table"), &text("part"), &text("key"), value);
            }
        }
        let version = self.rows.0.lock().unwrap().version;
        self.answer(&[], version, false)
    }
}

fn row_text(row: (&RowKey, &(Option<String>, u64))) -> String {
    let ((table, part, key), (value, version)) = row;
    let value = value.as_ref().map_or_else(
        || "\"deleted\":true".to_owned(),
        |value| format!("\"value\":\"{value}\""),
    );
    format!(
        "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"versionNumber\":{version},{value}}}"
    )
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits: Vec<u8> = rest.by_ref().take(2).collect();
            let digits = String::from_utf8_lossy(&digits).into_owned();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let padded = [
            three[0],
            *three.get(1).unwrap_or(&0),
            *three.get(2).unwrap_or(&0),
        ];
        let number = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for place in 0..4 {
            if place <= three.len() {
                let digit = (number >> (18 - 6 * place)) & 63;
                text.push(char::from(DIGITS[usize::try_from(digit).unwrap()]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
