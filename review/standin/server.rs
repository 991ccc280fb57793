//! A server of a service, which registers itself in the store.

use std::{
    io::{self, ErrorKind},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Head, Wire},
    record::Record,
    store::Store,
};

/// Interval at which a server writes its row.
const PING: Duration = Duration::from_millis(1200);

/// What a server does with a request that it runs; `Err` ends the connection.
pub type Handler = Arc<dyn Fn(&Server, &Head, &mut Wire) -> io::Result<()> + Send + Sync>;

/// One incarnation of a server.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    born: u128,
    sequence: Arc<AtomicU64>,
    ended: Arc<AtomicBool>,
    draining: Arc<AtomicBool>,
    sockets: Arc<Mutex<Vec<TcpStream>>>,
    store: Store,
    record: Record,
}

impl Server {
    /// Starts a server, at `address` if one is given.
    pub fn start(
        store: &Store,
        record: &Record,
        id: &str,
        (service, zone, slots): (&str, &str, u32),
        address: Option<SocketAddr>,
        handler: Handler,
    ) -> Self {
        let listener = match address {
            Some(address) => bind_again(address),
            None => TcpListener::bind("127.0.0.1:0").unwrap(),
        };
        let server = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().unwrap(),
            slots,
            born: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap()
                .as_millis(),
            sequence: Arc::default(),
            ended: Arc::default(),
            draining: Arc::default(),
            sockets: Arc::default(),
            store: store.clone(),
            record: record.clone(),
        };
        listener.set_nonblocking(true).unwrap();
        let accepting = server.clone();
        thread::spawn(move || accepting.accept(&listener, &handler));
        let pinging = server.clone();
        thread::spawn(move || {
            while !pinging.has_ended() {
                pinging.ping();
                thread::sleep(PING);
            }
        });
        server
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    fn ping(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let is_draining = self.draining.load(Ordering::SeqCst);
        let state = if is_draining { "draining" } else { "ready" };
        let row = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.slots, self.born
        );
        self.store.put("servers", &self.id, &row);
    }

    /// Reports that the server is draining, at once and in all later rows.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.ping();
        self.record
            .line(&format!("server {} reports draining", self.id));
    }

    /// Ends the process: its address refuses connections, and open ones are closed. Its row
    /// lapses after three ping intervals.
    pub fn crash(&self) {
        if self.ended.swap(true, Ordering::SeqCst) {
            return;
        }
        self.record.line(&format!("server {} has crashed", self.id));
        // The listener is dropped first.
        thread::sleep(Duration::from_millis(6));
        for socket in self.sockets.lock().unwrap().drain(..) {
            socket.shutdown(Shutdown::Both).ok();
        }
        let lapsing = self.clone();
        thread::spawn(move || {
            thread::sleep(PING * 3);
            lapsing.store.remove("servers", &lapsing.id);
        });
    }

    fn accept(&self, listener: &TcpListener, handler: &Handler) {
        while !self.has_ended() {
            match listener.accept() {
                Ok((socket, _)) => {
                    socket.set_nonblocking(false).unwrap();
                    let server = self.clone();
                    let handler = Arc::clone(handler);
                    self.sockets
                        .lock()
                        .unwrap()
                        .push(socket.try_clone().unwrap());
                    thread::spawn(move || {
                        let mut wire = Wire::new(socket);
                        server.serve(&mut wire, &handler).ok();
                        wire.socket.shutdown(Shutdown::Both).ok();
                    });
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    thread::sleep(Duration::from_millis(1));
                }
                Err(_) => return,
            }
        }
    }

    fn serve(&self, wire: &mut Wire, handler: &Handler) -> io::Result<()> {
        loop {
            let head = wire.read_head()?;
            wire.read_body(&head, |_| {})?;
            if head.word(1) == "/health" {
                wire.send(&format!(
                    "HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                ))?;
                continue;
            }
            if head.word(1) == "/-/order" {
                wire.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}")?;
                continue;
            }
            if head
                .header("x-expect-instance")
                .is_some_and(|id| id != self.id)
            {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                wire.send(&text)?;
                continue;
            }
            handler(self, &head, wire)?;
        }
    }

    /// Headers of an answer to the request.
    pub fn receipt(&self, head: &Head) -> String {
        format!(
            "X-Attempt-Id: {}\r\nX-Response-Signature: sig-{}\r\n",
            head.header("x-attempt-id").unwrap_or_default(),
            self.id
        )
    }
}

fn bind_again(address: SocketAddr) -> TcpListener {
    for _ in 0..100 {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        thread::sleep(Duration::from_millis(20));
    }
    panic!("{address} is not free");
}
