//! The platform's store: versioned rows, listings and feeds.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http::{Wire, encode_base64};

#[derive(Clone, Default)]
pub struct Rows {
    /// How often the store came back from a copy.
    era: u64,
    version: u64,
    /// By table and key; the value in base64, `None` once removed.
    rows: BTreeMap<(String, String), (u64, Option<String>)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    rows: Arc<Mutex<Rows>>,
    /// Whether all connections are closed and nothing is written.
    away: Arc<AtomicBool>,
    started: Instant,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Self {
            address: listener.local_addr().unwrap(),
            rows: Arc::default(),
            away: Arc::default(),
            started: Instant::now(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(&mut Wire::new(socket)));
            }
        });
        store
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(encode_base64(value.as_bytes())));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    /// Copies the rows as they are now.
    pub fn copy(&self) -> Rows {
        self.rows.lock().unwrap().clone()
    }

    /// Goes away: closes connections, and takes no writes.
    pub fn go_away(&self) {
        self.away.store(true, Ordering::SeqCst);
    }

    /// Comes back from a copy: later writes are lost, and versions are given out again.
    pub fn come_back(&self, copy: &Rows) {
        let mut rows = self.rows.lock().unwrap();
        *rows = Rows {
            era: rows.era + 1,
            ..copy.clone()
        };
        self.away.store(false, Ordering::SeqCst);
    }

    fn is_away(&self) -> bool {
        self.away.load(Ordering::SeqCst)
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        if self.is_away() {
            return;
        }
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.rows
            .insert((table.to_owned(), key.to_owned()), (version, value));
    }

    fn serve(&self, wire: &mut Wire) {
        while let Ok(head) = wire.read_head() {
            let mut body = Vec::new();
            if wire
                .read_body(&head, |part| body.extend_from_slice(part))
                .is_err()
            {
                return;
            }
            let (status, answer) = self.answer(head.word(1), &String::from_utf8_lossy(&body));
            if self.is_away() {
                return;
            }
            let era = self.rows.lock().unwrap().era;
            let text = format!(
                "HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if wire.send(&text).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value.to_owned())
        };
        let table = value("table").unwrap_or_default();
        match path {
            "/-/rows-get" => (200, self.list(&table, 0, false)),
            "/-/rows-feed" => {
                let after = value("after")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                let wait = value("waitMs")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                let ends_at = Instant::now() + Duration::from_millis(wait);
                while !self.has_news(&table, after) && Instant::now() < ends_at && !self.is_away() {
                    thread::sleep(Duration::from_millis(4));
                }
                if after > self.version() {
                    return (410, "{}".to_owned());
                }
                (200, self.list(&table, after, true))
            }
            "/-/rows-tx" => {
                let (puts, removed) = body.split_once("\"remove\"").unwrap_or((body, ""));
                for row in puts.split("{\"table\":\"").skip(1) {
                    self.write(
                        &text_at(row, ""),
                        &text_at(row, "\"key\":\""),
                        Some(text_at(row, "\"value\":\"")),
                    );
                }
                for row in removed.split("{\"table\":\"").skip(1) {
                    self.write(&text_at(row, ""), &text_at(row, "\"key\":\""), None);
                }
                (
                    200,
                    format!(
                        "{{\"versionNumber\":{},\"nowMs\":{}}}",
                        self.version(),
                        self.now_ms()
                    ),
                )
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn version(&self) -> u64 {
        self.rows.lock().unwrap().version
    }

    fn now_ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    fn has_news(&self, table: &str, after: u64) -> bool {
        let rows = self.rows.lock().unwrap();
        rows.rows
            .iter()
            .any(|((of, _), (version, _))| of == table && *version > after)
    }

    fn list(&self, table: &str, after: u64, with_removed: bool) -> String {
        let rows = self.rows.lock().unwrap();
        let mut listed: Vec<(u64, String)> = Vec::new();
        for ((of, key), (version, value)) in &rows.rows {
            if of != table || *version <= after {
                continue;
            }
            let value = match value {
                Some(value) => format!("\"value\":\"{value}\""),
                None if with_removed => "\"deleted\":true".to_owned(),
                None => continue,
            };
            let row = format!(
                "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{value},\"versionNumber\":{version}}}"
            );
            listed.push((*version, row));
        }
        if with_removed {
            listed.sort();
        }
        let listed: Vec<String> = listed.into_iter().map(|(_, row)| row).collect();
        format!(
            "{{\"rows\":[{}],\"hasMore\":false,\"versionNumber\":{},\"nowMs\":{}}}",
            listed.join(","),
            rows.version,
            self.now_ms()
        )
    }
}

/// The text after `mark`, up to the next quote.
fn text_at(row: &str, mark: &str) -> String {
    let rest = row.find(mark).map_or("", |at| &row[at + mark.len()..]);
    rest.split('"').next().unwrap_or_default().to_owned()
}
