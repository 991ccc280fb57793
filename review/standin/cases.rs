//! The cases.

use std::{
    io,
    net::IpAddr,
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{KEY, Request, send},
    gateway::{Gateway, ZONES, start_gateways},
    http::{Head, Wire},
    record::Record,
    server::{Handler, Server},
    store::Store,
};

pub struct Context {
    pub record: Record,
    pub scratch: PathBuf,
    pub trouble: bool,
}

/// `Ok(true)` if the rule held.
type Outcome = Result<bool, String>;

/// Desired state with a stream that may be resumed, a safe and an unsafe route.
fn desired_state(version: u64) -> String {
    let engine = r#""engine":{"slots":16,"kvCacheTokens":450000,"kvTokenBytes":327680,"linkMbps":400000.0,"stride":46,"models":[{"name":"m"}],"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000.0,"pairs_per_m":0.0917,"chunk":2048,"report_lag_ms":200.0,"loadsPerS":0.0,"loads_at_once":8,"delays":[],"usual":{"prompt":13199,"answer":1541},"hopMs":0.1}"#;
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"r-plume","host":"ficu95.example","prefix":"/plume/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":300,"priority":1,"service":"pool","maxAttempts":2,"allowAnonymous":false,"sessionAffinity":true,"resumeStreams":true,"targetGapMs":200}},
{{"name":"r-archive","host":"ficu95.example","prefix":"/archive/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":3000,"priority":1,"service":"pool","maxAttempts":2,"allowAnonymous":false,"sessionAffinity":true,"resumeStreams":true,"targetGapMs":800}},
{{"name":"r-status","host":"ficu95.example","prefix":"/status/","kind":"idempotent","timeoutMs":1000,"targetLatencyMs":100,"priority":2,"service":"desk","maxAttempts":2,"allowAnonymous":false}},
{{"name":"r-notice","host":"ficu95.example","prefix":"/notice/","kind":"non_idempotent","timeoutMs":1000,"targetLatencyMs":100,"priority":2,"service":"desk","maxAttempts":1,"allowAnonymous":false}}],
"services":[{{"name":"pool","healthPath":"/health","maxConnections":204,"protocol":"h1","tls":false,{engine}}},
{{"name":"desk","healthPath":"/health","maxConnections":51,"protocol":"h1","tls":false}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
"tenants":[{{"name":"hule930","apiKeys":["{KEY}"],"priority":1}}]}}"#
    )
}

/// Starts gateways and waits until all are ready, and some seconds more.
fn start_fleet(context: &Context, store: &Store, count: usize) -> Result<Vec<Gateway>, String> {
    store.put("op", "config", &desired_state(1));
    let gateways = start_gateways(store, &context.record, &context.scratch, count);
    for gateway in &gateways {
        if !gateway.wait_until_ready() {
            return Err(format!("gateway {} is not ready", gateway.name));
        }
    }
    // Longer than stableWindowMs.
    thread::sleep(Duration::from_millis(4000));
    Ok(gateways)
}

fn prompt(attempt: &str, path: &str, tokens: u32, time_limit: Duration) -> Request {
    Request {
        attempt: attempt.to_owned(),
        method: "POST",
        path: path.to_owned(),
        headers: vec![
            ("X-Model-Name", "m".to_owned()),
            ("X-Token-Usage", format!("{tokens},1600")),
            (
                "X-Prompt-Prefix",
                format!("5c1e07a2:40,{}:{}", &attempt[..8], tokens - 40),
            ),
        ],
        body: format!("prompt of {attempt}"),
        time_limit,
    }
}

fn attempt_id(case: u32, number: usize) -> String {
    format!("{case:04x}{number:04x}{:08x}", std::process::id())
}

/// Sends a stream of events `1..=events`, after `last`, in an answer without a length.
fn send_stream(
    server: &Server,
    head: &Head,
    wire: &mut Wire,
    (events, gap): (u64, Duration),
    mut before: impl FnMut(u64, &str, &mut Wire) -> io::Result<bool>,
) -> io::Result<()> {
    let last: u64 = head
        .header("last-event-id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    wire.send(&format!(
        "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\n\r\n",
        server.receipt(head)
    ))?;
    for id in last + 1..=events {
        thread::sleep(gap);
        let event = format!(
            "id: {id}\ndata: piece {id} of {}\n\n",
            head.header("x-attempt-id").unwrap_or_default()
        );
        if before(id, &event, wire)? {
            wire.send(&event)?;
        }
    }
    Err(io::ErrorKind::ConnectionAborted.into())
}

/// ORDER: servers spoil some of their streams; no piece may be missing.
pub fn missing_piece(context: &Context) -> Outcome {
    const EVENTS: u64 = 20;
    const SPOILED_SHARE: usize = 20;
    let store = Store::start();
    let record = &context.record;
    let streams = Arc::new(AtomicUsize::new(0));
    let garbles = context.trouble;
    let started = Instant::now();
    let handler: Handler = Arc::new({
        let record = record.clone();
        move |server: &Server, head: &Head, wire: &mut Wire| {
            let attempt = head.header("x-attempt-id").unwrap_or_default().to_owned();
            let resumed = head.header("last-event-id").unwrap_or("-").to_owned();
            record.line(&format!(
                "server {} runs {attempt}, last event {resumed}",
                server.id
            ));
            // Three of six servers spoil one in twenty of their answers, for 5.5 s of each 10 s.
            let is_faulty = matches!(server.id.as_str(), "i-pool-1" | "i-pool-3" | "i-pool-5")
                && started.elapsed().as_millis() % 10_000 < 5500;
            let number = if is_faulty {
                streams.fetch_add(1, Ordering::SeqCst)
            } else {
                0
            };
            let spoils = garbles && is_faulty && number % SPOILED_SHARE == SPOILED_SHARE / 2;
            let last: u64 = resumed.parse().unwrap_or(0);
            let spoiled_id = last + 1 + (EVENTS - last) / 2;
            send_stream(
                server,
                head,
                wire,
                (EVENTS, Duration::from_millis(40)),
                |id, event, wire| {
                    if !spoils || id != spoiled_id {
                        return Ok(true);
                    }
                    record.line(&format!(
                        "server {} spoils {attempt} after event {id}",
                        server.id
                    ));
                    wire.send(&format!("{event}HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror\n\n"))?;
                    Err(io::ErrorKind::Other.into())
                },
            )
        }
    });
    let servers: Vec<Server> = (1..=6)
        .map(|number| {
            let id = format!("i-pool-{number}");
            Server::start(
                &store,
                record,
                &id,
                ("pool", ZONES[number % 3], 16),
                None,
                Arc::clone(&handler),
            )
        })
        .collect();
    let gateways = start_fleet(context, &store, 3)?;
    let broken = Arc::new(AtomicUsize::new(0));
    let whole = Arc::new(AtomicUsize::new(0));
    let number = Arc::new(AtomicUsize::new(0));
    let ends_at = Instant::now() + Duration::from_secs(40);
    let clients: Vec<_> = (0..9)
        .map(|client: usize| {
            let address = gateways[client % 3].callers;
            let (record, broken, whole, number) = (
                record.clone(),
                Arc::clone(&broken),
                Arc::clone(&whole),
                Arc::clone(&number),
            );
            thread::spawn(move || {
                while Instant::now() < ends_at {
                    let attempt = attempt_id(1, number.fetch_add(1, Ordering::SeqCst));
                    let request = prompt(&attempt, "/plume/a", 4960, Duration::from_secs(10));
                    let answer = send(address, &request);
                    let ids = answer.event_ids();
                    let is_order = ids.iter().zip(1..).all(|(id, expected)| *id == expected);
                    let is_end = !answer.is_whole || ids.len() as u64 == EVENTS;
                    if answer.status == 200 && answer.is_whole {
                        whole.fetch_add(1, Ordering::SeqCst);
                    }
                    if answer.status == 200 && (!is_order || !is_end) {
                        broken.fetch_add(1, Ordering::SeqCst);
                        record.line(&format!(
                            "client of {attempt}: status 200, whole={}, PIECES {ids:?}",
                            answer.is_whole
                        ));
                    } else {
                        record.line(&format!(
                            "client of {attempt}: status {}, whole={}, {} pieces in order",
                            answer.status,
                            answer.is_whole,
                            ids.len()
                        ));
                    }
                }
            })
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    drop(servers);
    let (broken, whole) = (broken.load(Ordering::SeqCst), whole.load(Ordering::SeqCst));
    record.line(&format!(
        "{} streams in {:.0} s, {whole} whole, {broken} with a missing piece",
        number.load(Ordering::SeqCst),
        started.elapsed().as_secs_f64()
    ));
    if whole < 50 {
        return Err("too few streams were served".to_owned());
    }
    Ok(broken == 0)
}

/// When a request that crashes servers does so.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CrashMoment {
    BeforeAnswer,
    MidAnswer,
}

/// Servers that crash on one request, and what they have seen of it.
struct CrashingFleet {
    arrivals: Arc<Mutex<Vec<(Instant, String)>>>,
    crash_times: Arc<Mutex<Vec<Instant>>>,
    stopping: Arc<AtomicBool>,
    keepers: Vec<thread::JoinHandle<()>>,
}

impl CrashingFleet {
    /// Starts six servers. One that has crashed is back after some seconds, under a new id.
    fn start(store: &Store, record: &Record, moment: Option<CrashMoment>) -> Self {
        const BACK_AFTER: Duration = Duration::from_millis(2500);
        let arrivals: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
        let crash_times: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let handler: Handler = Arc::new({
            let (record, arrivals, crash_times) = (
                record.clone(),
                Arc::clone(&arrivals),
                Arc::clone(&crash_times),
            );
            move |server: &Server, head: &Head, wire: &mut Wire| {
                let is_poison = head.word(1).starts_with("/status/poison");
                let receipt = server.receipt(head);
                if is_poison {
                    let attempt = head.header("x-attempt-id").unwrap_or_default().to_owned();
                    record.line(&format!("server {} runs {attempt}", server.id));
                    arrivals.lock().unwrap().push((Instant::now(), attempt));
                }
                thread::sleep(Duration::from_millis(20));
                if is_poison && moment.is_some() {
                    if moment == Some(CrashMoment::MidAnswer) {
                        wire.send(&format!(
                            "HTTP/1.1 200 OK\r\n{receipt}Content-Length: 800\r\n\r\nthe first bytes"
                        ))?;
                        thread::sleep(Duration::from_millis(10));
                    }
                    crash_times.lock().unwrap().push(Instant::now());
                    server.crash();
                    return Err(io::ErrorKind::Other.into());
                }
                wire.send(&format!(
                    "HTTP/1.1 200 OK\r\n{receipt}Content-Length: 4\r\n\r\nfine"
                ))
            }
        });
        let stopping = Arc::new(AtomicBool::new(false));
        let mut keepers = Vec::new();
        for number in 1..=6_usize {
            let (store, record, handler, stopping) = (
                store.clone(),
                record.clone(),
                Arc::clone(&handler),
                Arc::clone(&stopping),
            );
            keepers.push(thread::spawn(move || {
                let mut incarnation = 0;
                let mut address = None;
                while !stopping.load(Ordering::SeqCst) {
                    incarnation += 1;
                    let id = format!("i-desk-{number}-{incarnation}");
                    let of = ("desk", ZONES[number % 3], 6);
                    let server =
                        Server::start(&store, &record, &id, of, address, Arc::clone(&handler));
                    address = Some(server.address);
                    while !server.has_ended() && !stopping.load(Ordering::SeqCst) {
                        thread::sleep(Duration::from_millis(10));
                    }
                    thread::sleep(BACK_AFTER);
                }
            }));
        }
        Self {
            arrivals,
            crash_times,
            stopping,
            keepers,
        }
    }

    /// Ends the servers; returns how many retries came later than `stableWindowMs` after the
    /// third crash. A retry is a request that a server has got before.
    fn count_retries(self, record: &Record) -> usize {
        self.stopping.store(true, Ordering::SeqCst);
        for keeper in self.keepers {
            keeper.join().unwrap();
        }
        let crash_times = self.crash_times.lock().unwrap();
        let arrivals = self.arrivals.lock().unwrap();
        let retries = crash_times.get(2).map_or(0, |third| {
            let from = *third + Duration::from_millis(3000);
            let is_retry = |index: usize| {
                let (at, attempt) = &arrivals[index];
                *at > from && arrivals[..index].iter().any(|(_, other)| other == attempt)
            };
            (0..arrivals.len()).filter(|index| is_retry(*index)).count()
        });
        record.line(&format!(
            "{} crashes; {} runs; {retries} retries later than 3 s after the third crash",
            crash_times.len(),
            arrivals.len()
        ));
        retries
    }
}

/// Sends the request that crashes servers to one gateway after the other, once a second.
fn send_poison(record: &Record, gateways: &[Gateway], numbers: std::ops::Range<usize>) {
    for number in numbers {
        let gateway = &gateways[number % gateways.len()];
        let attempt = attempt_id(2, number);
        record.line(&format!("client sends {attempt} to {}", gateway.name));
        let answer = send(gateway.callers, &status_read(&attempt, "/status/poison"));
        record.line(&format!(
            "client of {attempt}: status {}, whole={}",
            answer.status, answer.is_whole
        ));
        thread::sleep(Duration::from_millis(1000));
    }
}

/// Reads that crash nothing, at each gateway all the while; counts those that are served.
fn start_other_reads(gateways: &[Gateway], stopping: &Arc<AtomicBool>) -> Arc<AtomicUsize> {
    let served = Arc::new(AtomicUsize::new(0));
    for gateway in gateways {
        let (address, stopping, served) =
            (gateway.callers, Arc::clone(stopping), Arc::clone(&served));
        let name = gateway.name.clone();
        thread::spawn(move || {
            for number in 0.. {
                if stopping.load(Ordering::SeqCst) {
                    return;
                }
                let request = status_read(&format!("{name}-{number}"), "/status/sound");
                if send(address, &request).status == 200 {
                    served.fetch_add(1, Ordering::SeqCst);
                }
                thread::sleep(Duration::from_millis(100));
            }
        });
    }
    served
}

/// BUDGET: a request that crashes each server that runs it, in the middle of the answer.
pub fn crash_midway(context: &Context) -> Outcome {
    let store = Store::start();
    let record = &context.record;
    let moment = context.trouble.then_some(CrashMoment::MidAnswer);
    let fleet = CrashingFleet::start(&store, record, moment);
    let gateways = start_fleet(context, &store, 3)?;
    let served = start_other_reads(&gateways, &fleet.stopping);
    send_poison(record, &gateways, 0..30);
    let retries = fleet.count_retries(record);
    judge_retries(record, retries, &served)
}

/// BUDGET: a request that crashes each server that runs it, before the answer; all gateways
/// are killed at once, three times.
pub fn crash_forgotten(context: &Context) -> Outcome {
    const ROUND: usize = 7;
    let store = Store::start();
    let record = &context.record;
    let fleet = CrashingFleet::start(&store, record, Some(CrashMoment::BeforeAnswer));
    let mut gateways = start_fleet(context, &store, 3)?;
    let served = start_other_reads(&gateways, &fleet.stopping);
    send_poison(record, &gateways, 0..ROUND);
    for round in 1..=3 {
        if context.trouble {
            for gateway in &gateways {
                gateway.signal("KILL");
            }
            for gateway in &mut gateways {
                while !gateway.has_ended() {
                    thread::sleep(Duration::from_millis(5));
                }
            }
            thread::sleep(Duration::from_millis(500));
            for gateway in &mut gateways {
                gateway.start_again();
            }
            if !gateways.iter().all(Gateway::wait_until_ready) {
                return Err("a gateway is not ready".to_owned());
            }
        }
        // Longer than stableWindowMs.
        thread::sleep(Duration::from_millis(4000));
        send_poison(record, &gateways, round * ROUND..(round + 1) * ROUND);
    }
    let retries = fleet.count_retries(record);
    judge_retries(record, retries, &served)
}

fn judge_retries(record: &Record, retries: usize, served: &AtomicUsize) -> Outcome {
    let served = served.load(Ordering::SeqCst);
    record.line(&format!("{served} other requests served"));
    if served < 50 {
        return Err("too few other requests were served".to_owned());
    }
    Ok(retries <= 3)
}

fn status_read(attempt: &str, path: &str) -> Request {
    Request {
        attempt: attempt.to_owned(),
        method: "GET",
        path: path.to_owned(),
        headers: Vec::new(),
        body: String::new(),
        time_limit: Duration::from_millis(1000),
    }
}

/// LOST: two gateways are stopped and started in turn; a stream that is sent to the second
/// one after the answers of the directory have lapsed.
pub fn late_stop(context: &Context) -> Outcome {
    const EVENTS: u64 = 40;
    let store = Store::start();
    let record = &context.record;
    let handler: Handler = Arc::new({
        let record = record.clone();
        move |server: &Server, head: &Head, wire: &mut Wire| {
            let attempt = head.header("x-attempt-id").unwrap_or_default();
            record.line(&format!("server {} runs {attempt}", server.id));
            let result = send_stream(
                server,
                head,
                wire,
                (EVENTS, Duration::from_millis(150)),
                |_, _, _| Ok(true),
            );
            record.line(&format!("server {} has ended {attempt}", server.id));
            result
        }
    });
    let servers: Vec<Server> = (1..=6)
        .map(|number| {
            let id = format!("i-pool-{number}");
            Server::start(
                &store,
                record,
                &id,
                ("pool", ZONES[number % 3], 16),
                None,
                Arc::clone(&handler),
            )
        })
        .collect();
    let mut gateways = start_fleet(context, &store, 2)?;
    let callers: Vec<_> = gateways.iter().map(|gateway| gateway.callers).collect();
    let broken = Arc::new(AtomicUsize::new(0));
    let began = Instant::now();
    let term_at = Duration::from_secs(4);
    // A client each 150 ms, of those that keep an answer three times as long as `ttlS`.
    let mut clients = Vec::new();
    let mut stopped = [false, false];
    let mut restarted = [false, false];
    let mut known: Option<(Instant, Vec<String>)> = None;
    let mut number = 0;
    let terms = [term_at, term_at + Duration::from_secs(1)];
    let term_times: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    while began.elapsed() < Duration::from_secs(26) {
        for index in 0..2 {
            if context.trouble && !stopped[index] && began.elapsed() >= terms[index] {
                gateways[index].signal("TERM");
                term_times
                    .lock()
                    .unwrap()
                    .push((callers[index].to_string(), Instant::now()));
                stopped[index] = true;
            }
            if stopped[index] && !restarted[index] && gateways[index].has_ended() {
                record.line(&format!("gateway {} has ended", gateways[index].name));
                gateways[index].start_again();
                restarted[index] = true;
            }
        }
        let is_lapsed = known
            .as_ref()
            .is_none_or(|(at, _)| at.elapsed() >= Duration::from_secs(3));
        if is_lapsed {
            let answers = gateways.iter().map(Gateway::resolve);
            if let Some(addresses) = answers.into_iter().find(|addresses| !addresses.is_empty()) {
                record.line(&format!("the directory names {}", addresses.join(", ")));
                known = Some((Instant::now(), addresses));
            } else {
                record.line("no directory names an address");
            }
        }
        if let Some((_, addresses)) = &known {
            number += 1;
            let address = addresses[number % addresses.len()].clone();
            let attempt = attempt_id(3, number);
            let (record, broken, terms) =
                (record.clone(), Arc::clone(&broken), Arc::clone(&term_times));
            clients.push(thread::spawn(move || {
                let sent_at = Instant::now();
                let request = prompt(&attempt, "/plume/a", 4960, Duration::from_secs(10));
                let answer = send(address.parse().unwrap(), &request);
                let terms = terms.lock().unwrap();
                let term = terms.iter().find(|(of, _)| *of == address);
                let after = term.map(|(_, at)| sent_at.saturating_duration_since(*at).as_millis());
                let is_lost = answer.status == 200 && !answer.is_whole
                    && after.is_some_and(|after| after > 3000 && after < 9000);
                if is_lost {
                    broken.fetch_add(1, Ordering::SeqCst);
                }
                record.line(&format!(
                    "client of {attempt} at {address}: status {}, whole={}, {} pieces, sent {after:?} ms after SIGTERM{}",
                    answer.status, answer.is_whole, answer.event_ids().len(),
                    if is_lost { ", LOST" } else { "" }
                ));
            }));
        }
        thread::sleep(Duration::from_millis(150));
    }
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    drop(servers);
    let broken = broken.load(Ordering::SeqCst);
    record.line(&format!("{broken} requests lost"));
    Ok(broken == 0)
}

/// DRAIN: the store comes back from a copy in which a server that leaves is still ready, and a
/// gateway is killed and started again meanwhile. The others know that the server leaves.
pub fn returned_copy(context: &Context) -> Outcome {
    const DRAIN_TIMEOUT: Duration = Duration::from_millis(2000);
    let store = Store::start();
    let record = &context.record;
    let arrivals: Arc<Mutex<Vec<(Instant, String, IpAddr)>>> = Arc::default();
    let handler: Handler = Arc::new({
        let arrivals = Arc::clone(&arrivals);
        move |server: &Server, head: &Head, wire: &mut Wire| {
            let from = wire.socket.peer_addr()?.ip();
            arrivals
                .lock()
                .unwrap()
                .push((Instant::now(), server.id.clone(), from));
            thread::sleep(Duration::from_millis(10));
            let receipt = server.receipt(head);
            wire.send(&format!(
                "HTTP/1.1 200 OK\r\n{receipt}Content-Length: 4\r\n\r\nfine"
            ))
        }
    });
    let servers: Vec<Server> = (1..=4)
        .map(|number| {
            // Their pings don't come together.
            thread::sleep(Duration::from_millis(300));
            let id = format!("i-desk-{number}");
            Server::start(
                &store,
                record,
                &id,
                ("desk", ZONES[number % 3], 6),
                None,
                Arc::clone(&handler),
            )
        })
        .collect();
    let mut gateways = start_fleet(context, &store, 3)?;
    let stopping = Arc::new(AtomicBool::new(false));
    let served: Vec<_> = (0..4)
        .map(|_| start_other_reads(&gateways, &stopping))
        .collect();
    thread::sleep(Duration::from_millis(2000));
    let copy = store.copy();
    thread::sleep(Duration::from_millis(500));
    let leaving = &servers[3];
    leaving.drain();
    let drained_at = Instant::now();
    thread::sleep(Duration::from_millis(3000));
    if context.trouble {
        store.go_away();
        record.line("the store goes away");
        gateways[0].signal("KILL");
        while !gateways[0].has_ended() {
            thread::sleep(Duration::from_millis(5));
        }
        thread::sleep(Duration::from_millis(500));
        store.come_back(&copy);
        record.line("the store comes back from a copy that is 4 s old");
        gateways[0].start_again();
    }
    thread::sleep(Duration::from_millis(4000));
    stopping.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(1500));
    let restarted = gateways[0].callers.ip();
    let mut late = 0;
    for (at, id, from) in arrivals.lock().unwrap().iter() {
        let after = at.saturating_duration_since(drained_at);
        if *id != leaving.id || *at < drained_at {
            continue;
        }
        let is_late = after > DRAIN_TIMEOUT && *from != restarted;
        late += usize::from(is_late);
        record.line(&format!(
            "request from {from} reached {id} {} ms after its leaving was confirmed{}",
            after.as_millis(),
            if is_late { ", LATE" } else { "" }
        ));
    }
    let served: usize = served
        .iter()
        .map(|count| count.load(Ordering::SeqCst))
        .sum();
    record.line(&format!("{served} requests served; {late} reached the leaving server late, from gateways that were not killed"));
    if served < 50 {
        return Err("too few requests were served".to_owned());
    }
    Ok(late == 0)
}
