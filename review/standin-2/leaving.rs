//! Answers without a length at servers that leave and are gone before the answers end.
//! The servers are processes of their own, which a signal ends.

use std::{
    collections::HashMap,
    io::{self, BufRead, BufReader},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::Path,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    gateway::{Gateway, Ports},
    record::Record,
    site::{Folder, MACHINE, desired_state, own_address, request},
    store::Store,
    wire::{Head, SIGKILL, Wire, connect_from, send_signal},
};

const SERVERS: u8 = 7;
const REQUESTS: usize = 252;
/// One in so many answers has no length: `x = 0.05` in the site file.
const UNFRAMED: usize = 20;
/// Servers that give such answers, the first one among them: less than `share (.5)`.
const UNFRAMED_SERVERS: u8 = 3;
/// Parts of an answer, and the pause between two: an answer takes three seconds.
const PARTS: usize = 12;
const PART_PAUSE: Duration = Duration::from_millis(250);
const PART_BYTES: usize = 100;
/// Time from the requests to the notice, and from the notice to the end: `x s (2)`.
const NOTICE: Duration = Duration::from_millis(300);
const GONE: Duration = Duration::from_secs(2);
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// What happens to the first server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trouble {
    Nothing,
    /// It is killed without a notice.
    Crash,
    /// It reports `draining`, and is gone two seconds later.
    Leaves,
}

/// Runs one server: `standin serve ID ADDRESS FRAMING`. It prints what it does.
pub fn serve(id: &str, address: &str, framing: &str) -> io::Result<()> {
    let is_sometimes_unframed = framing == "unframed";
    let listener = TcpListener::bind(address)?;
    println!("at {}", listener.local_addr()?);
    let runs = Arc::new(AtomicUsize::new(0));
    for socket in listener.incoming().flatten() {
        let (id, runs) = (id.to_owned(), Arc::clone(&runs));
        thread::spawn(move || answer_requests(&id, &runs, is_sometimes_unframed, socket).ok());
    }
    Ok(())
}

fn answer_requests(
    id: &str,
    runs: &AtomicUsize,
    is_sometimes_unframed: bool,
    socket: TcpStream,
) -> io::Result<()> {
    socket.set_nodelay(true)?;
    let mut wire = Wire::new(socket);
    while let Some(head) = wire.head()? {
        wire.body(&head, 4096, Duration::ZERO)?;
        let attempt = head.header("x-attempt-id").unwrap_or_default().to_owned();
        let own = format!("x-attempt-id: {attempt}\r\n");
        if head
            .header("x-expect-instance")
            .is_some_and(|expected| expected != id)
        {
            wire.send(&format!("HTTP/1.1 421 X\r\n{own}content-length: 0\r\n\r\n"))?;
            continue;
        }
        let number = runs.fetch_add(1, Ordering::Relaxed) + 1;
        let is_framed = !is_sometimes_unframed || number % UNFRAMED != 0;
        println!("runs {attempt}, length known: {is_framed}");
        let own = format!("{own}x-response-signature: s.{id}.{attempt}\r\n");
        let is_stream = head.second.starts_with("/sweep/");
        write_answer(&mut wire, &head, &own, is_stream, is_framed)?;
        println!("has answered {attempt}");
        if !is_framed {
            return Ok(());
        }
    }
    Ok(())
}

fn write_answer(
    wire: &mut Wire,
    request: &Head,
    own: &str,
    is_stream: bool,
    is_framed: bool,
) -> io::Result<()> {
    let framing = match (is_framed, is_stream) {
        (false, _) => String::new(),
        (true, true) => "transfer-encoding: chunked\r\n".to_owned(),
        (true, false) => format!("content-length: {}\r\n", PARTS * PART_BYTES),
    };
    let kind = if is_stream {
        "text/event-stream"
    } else {
        "text/plain"
    };
    wire.send(&format!(
        "HTTP/1.1 200 OK\r\n{own}content-type: {kind}\r\n{framing}\r\n"
    ))?;
    let last: usize = request
        .header("last-event-id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    for part in last + 1..=PARTS {
        thread::sleep(PART_PAUSE);
        if is_stream {
            let event = format!("id: {part}\ndata: piece {part} of {PARTS}\n\n");
            if is_framed {
                wire.send(&format!("{:x}\r\n{event}\r\n", event.len()))?;
            } else {
                wire.send(&event)?;
            }
        } else {
            wire.send(&"p".repeat(PART_BYTES))?;
        }
    }
    if is_stream && is_framed {
        wire.send("0\r\n\r\n")?;
    }
    Ok(())
}

/// A server's process, and the row that it keeps in the store.
struct ServerProcess {
    child: Child,
    id: String,
    address: SocketAddr,
    /// Whether it reports `draining`.
    is_leaving: Arc<AtomicBool>,
    is_gone: Arc<AtomicBool>,
}

impl ServerProcess {
    fn start(index: u8, store: &Store, record: &Record) -> io::Result<Self> {
        let number = 11 + index;
        let id = format!("i-{number:08x}");
        let framing = if index < UNFRAMED_SERVERS {
            "unframed"
        } else {
            "framed"
        };
        let mut child = Command::new(std::env::current_exe()?)
            .args(["serve", &id, &format!("{}:0", own_address(number)), framing])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        crate::record_child(child.id());
        let output = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut lines = BufReader::new(output).lines();
        let first = lines.next().ok_or(io::ErrorKind::UnexpectedEof)??;
        let address = first
            .trim_start_matches("at ")
            .parse()
            .map_err(io::Error::other)?;
        let (record, name) = (record.clone(), id.clone());
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.line(&format!("server {name} {line}"));
            }
        });
        let server = Self {
            child,
            id,
            address,
            is_leaving: Arc::default(),
            is_gone: Arc::default(),
        };
        server.keep_row(store);
        Ok(server)
    }

    /// Writes the row at intervals, as the server itself would, and at once if it leaves.
    fn keep_row(&self, store: &Store) {
        let (id, address, store) = (self.id.clone(), self.address, store.clone());
        let (is_leaving, is_gone) = (Arc::clone(&self.is_leaving), Arc::clone(&self.is_gone));
        thread::spawn(move || {
            let (mut sequence, mut was_leaving) = (0, false);
            let step = Duration::from_millis(20);
            let mut waited = HEARTBEAT;
            while !is_gone.load(Ordering::Relaxed) {
                let leaves = is_leaving.load(Ordering::Relaxed);
                if waited >= HEARTBEAT || leaves != was_leaving {
                    let state = if leaves { "draining" } else { "ready" };
                    store.put(
                        "servers",
                        &id,
                        &format!(
                            "{{\"service\":\"desk\",\"address\":\"{address}\",\"zone\":\"duluth\",\
                             \"version\":\"v1\",\"slots\":48,\"state\":\"{state}\",\
                             \"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":1700000000000}}"
                        ),
                    );
                    (sequence, was_leaving, waited) = (sequence + 1, leaves, Duration::ZERO);
                }
                thread::sleep(step);
                waited += step;
            }
            // The row of a server that is gone goes after three intervals of silence.
            thread::sleep(HEARTBEAT * 3);
            store.remove("servers", &id);
        });
    }

    fn kill(&self) {
        send_signal(self.child.id(), SIGKILL);
        self.is_gone.store(true, Ordering::Relaxed);
    }
}

impl Drop for ServerProcess {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
        crate::forget_child(self.child.id());
    }
}

/// What a client got.
struct Answer {
    status: String,
    /// Whether it ended as a whole answer does.
    is_complete: bool,
    bytes: usize,
    events: usize,
}

/// Plays the case; returns whether the rule was broken, `None` if the case couldn't run.
pub fn play(folder: &Path, trouble: Trouble) -> Option<bool> {
    let record = Record::start();
    let outcome = run(&record, trouble);
    record.write(&folder.join("record.txt"));
    outcome
}

fn run(record: &Record, trouble: Trouble) -> Option<bool> {
    let scratch = Folder::create().ok()?;
    let store = Store::start(own_address(1));
    store.put("op", "config", &desired_state(1));
    let servers: io::Result<Vec<ServerProcess>> = (0..SERVERS)
        .map(|number| ServerProcess::start(number, &store, record))
        .collect();
    let servers = servers.map_err(|error| eprintln!("server: {error}")).ok()?;
    let host = own_address(31);
    let ports = Ports::find(&[host]);
    let mut gateway = Gateway::start(scratch.path(), host, ports, &[host], store.address, MACHINE);
    if !gateway.wait_until_ready() {
        eprintln!("the node isn't ready: {:?}", gateway.exit_status());
        return None;
    }
    // No start of a process within `stableWindowMs`.
    thread::sleep(Duration::from_millis(3500));
    record.line(&format!("clients begin; trouble: {trouble:?}"));
    let answers: Arc<Mutex<HashMap<usize, io::Result<Answer>>>> = Arc::default();
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (answers, callers) = (Arc::clone(&answers), gateway.callers);
            thread::spawn(move || {
                let answer = call(number, callers);
                answers.lock().unwrap().insert(number, answer);
            })
        })
        .collect();
    thread::sleep(NOTICE);
    if trouble == Trouble::Leaves {
        record.line(&format!("server {} reports draining", servers[0].id));
        servers[0].is_leaving.store(true, Ordering::Relaxed);
    }
    thread::sleep(GONE);
    if trouble != Trouble::Nothing {
        record.line(&format!("server {} is killed", servers[0].id));
        servers[0].kill();
    }
    for client in clients {
        client.join().unwrap();
    }
    let answers = answers.lock().unwrap();
    let (mut whole, mut cut, mut failed, mut broken) = (0, 0, 0, 0);
    for number in 0..REQUESTS {
        let path = path_of(number);
        let attempt = attempt_of(number);
        match &answers[&number] {
            Ok(answer) if answer.status != "200" => {
                failed += 1;
                record.line(&format!(
                    "client {number}: {attempt} {path} answered {}",
                    answer.status
                ));
            }
            Ok(answer) => {
                let is_whole = if is_stream(number) {
                    answer.events == PARTS
                } else {
                    answer.bytes == PARTS * PART_BYTES
                };
                match (answer.is_complete, is_whole) {
                    (true, true) => whole += 1,
                    (true, false) => {
                        broken += 1;
                        record.line(&format!(
                            "client {number}: {attempt} {path} answered 200 and ended as complete \
                             after {} bytes, {} of {PARTS} pieces: RULE BROKEN",
                            answer.bytes, answer.events
                        ));
                    }
                    (false, _) => {
                        cut += 1;
                        record.line(&format!(
                            "client {number}: {attempt} {path} answered 200 and cut after {} bytes",
                            answer.bytes
                        ));
                    }
                }
            }
            Err(error) => {
                failed += 1;
                record.line(&format!(
                    "client {number}: {attempt} {path} failed: {error}"
                ));
            }
        }
    }
    for line in gateway.log_text().lines() {
        if line.contains("connection_broken") || line.contains("upstream_leaving") {
            record.line(&format!("node: {line}"));
        }
    }
    let exit = gateway.exit_status();
    record.line(&format!(
        "of {REQUESTS} requests: {whole} answered whole, {cut} cut, {failed} failed, {broken} ended \
         as complete though they were not; node ended: {exit:?}"
    ));
    (exit.is_none() && whole > 0).then_some(broken > 0)
}

fn is_stream(number: usize) -> bool {
    number % 2 == 0
}

fn path_of(number: usize) -> String {
    let route = if is_stream(number) { "sweep" } else { "status" };
    format!("/{route}/{number}")
}

fn attempt_of(number: usize) -> String {
    format!("{:016x}", 0x3000 + number)
}

fn call(number: usize, callers: std::net::SocketAddrV4) -> io::Result<Answer> {
    let socket = connect_from(Ipv4Addr::LOCALHOST, callers, false)?;
    socket.set_read_timeout(Some(Duration::from_secs(20)))?;
    let mut wire = Wire::new(socket);
    let (method, body, limit) = if is_stream(number) {
        ("POST", 600, 15_000)
    } else {
        ("GET", 0, 10_000)
    };
    wire.send(&request(
        method,
        &path_of(number),
        &attempt_of(number),
        limit,
        body,
    ))?;
    let head = wire.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let (body, is_complete) = wire.body_until_end(&head);
    let text = String::from_utf8_lossy(&body);
    Ok(Answer {
        status: head.second,
        is_complete,
        bytes: body.len(),
        events: text.matches("data: piece").count(),
    })
}
