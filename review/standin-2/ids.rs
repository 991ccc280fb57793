//! Streams of sound servers whose event ids increase by more than one.

use std::{io, net::Ipv4Addr, path::Path, thread, time::Duration};

use crate::{
    gateway::{Gateway, Ports},
    record::Record,
    server::Server,
    site::{Folder, MACHINE, desired_state, own_address, request},
    store::Store,
    wire::{Wire, connect_from},
};

const CLIENTS: usize = 20;
/// Tokens of an event, by which the servers number them: `an event of a stream holds 46 tokens`.
const EVENT_TOKENS: u64 = 46;
/// What the rule allows.
const ALLOWED: usize = 3;

/// Plays the case; returns whether the rule was broken, `None` if the case couldn't run.
pub fn play(folder: &Path, has_trouble: bool) -> Option<bool> {
    let record = Record::start();
    let outcome = run(&record, has_trouble);
    record.write(&folder.join("record.txt"));
    outcome
}

fn run(record: &Record, has_trouble: bool) -> Option<bool> {
    let scratch = Folder::create().ok()?;
    let store = Store::start(own_address(1));
    store.put("op", "config", &desired_state(1));
    let id_step = if has_trouble { EVENT_TOKENS } else { 1 };
    let servers: Vec<Server> = (11..=14)
        .map(|number| {
            let id = format!("i-{number:08x}");
            Server::start(own_address(number), &id, "desk", id_step, &store, record)
        })
        .collect();
    let host = own_address(31);
    let ports = Ports::find(&[host]);
    let mut gateway = Gateway::start(scratch.path(), host, ports, &[host], store.address, MACHINE);
    if !gateway.wait_until_ready() {
        eprintln!("the node isn't ready: {:?}", gateway.exit_status());
        return None;
    }
    // No start of a process within `stableWindowMs`.
    thread::sleep(Duration::from_millis(3500));
    record.line(&format!("clients begin; event ids increase by {id_step}"));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, callers) = (record.clone(), gateway.callers);
            thread::sleep(Duration::from_millis(300));
            thread::spawn(move || call(&record, number, callers))
        })
        .collect();
    let ends: Vec<io::Result<bool>> = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .collect();
    let (mut lost, mut whole, mut other) = (0, 0, 0);
    for (number, end) in ends.iter().enumerate() {
        let attempt = attempt_of(number);
        let has_run = servers.iter().any(|server| {
            let runs = server.runs.lock().unwrap();
            runs.iter().any(|(known, _)| *known == attempt)
        });
        match end {
            Ok(true) => whole += 1,
            Ok(false) if has_run => lost += 1,
            Ok(false) => other += 1,
            Err(error) => {
                other += 1;
                record.line(&format!("client {number}: {attempt} failed: {error}"));
            }
        }
    }
    for line in gateway.log_text().lines() {
        if line.contains("malformed event stream") {
            record.line(&format!("node: {line}"));
        }
    }
    let exit = gateway.exit_status();
    record.line(&format!(
        "of {CLIENTS} streams on kept connections: {whole} answered whole, {lost} run by sound \
         servers and their connection closed without a whole answer (more than {ALLOWED} break \
         the rule), {other} not sent or refused; node ended: {exit:?}"
    ));
    (exit.is_none() && other < CLIENTS / 2).then_some(lost > ALLOWED)
}

fn attempt_of(number: usize) -> String {
    format!("{:016x}", 0x4000 + number)
}

/// Sends a status request and then a stream request on the same connection; returns whether
/// the stream was whole.
fn call(record: &Record, number: usize, callers: std::net::SocketAddrV4) -> io::Result<bool> {
    let socket = connect_from(Ipv4Addr::LOCALHOST, callers, false)?;
    socket.set_read_timeout(Some(Duration::from_secs(20)))?;
    let mut wire = Wire::new(socket);
    let first = format!("{:016x}", 0x5000 + number);
    wire.send(&request("GET", "/status/bytes-800", &first, 10_000, 0))?;
    let head = wire.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let (body, _) = wire.body_until_end(&head);
    record.line(&format!(
        "client {number}: {first} answered {} with {} bytes",
        head.second,
        body.len()
    ));
    let attempt = attempt_of(number);
    record.line(&format!(
        "client {number} sends {attempt} on the same connection"
    ));
    wire.send(&request("POST", "/sweep/stream-100", &attempt, 15_000, 600))?;
    let Some(head) = wire.head()? else {
        record.line(&format!("client {number}: {attempt} closed without a head"));
        return Ok(false);
    };
    let (body, is_complete) = wire.body_until_end(&head);
    let events = String::from_utf8_lossy(&body).matches("data: ").count();
    record.line(&format!(
        "client {number}: {attempt} answered {} with {events} of 10 events, {}",
        head.second,
        if is_complete {
            "ended properly"
        } else {
            "connection closed in the answer"
        },
    ));
    if head.second != "200" {
        return Err(io::Error::other(format!("status {}", head.second)));
    }
    Ok(is_complete)
}
