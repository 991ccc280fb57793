//! Requests on kept connections whose earlier answer was read slowly.

use std::{
    collections::BTreeMap,
    io,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    gateway::{Gateway, Ports},
    record::Record,
    server::Server,
    site::{Folder, MACHINE, desired_state, own_address, request},
    store::Store,
    wire::{Wire, connect_from},
};

const CLIENTS: u8 = 120;
/// Connections that each client opens, one after the other.
const ROUNDS: usize = 2;
/// Time from the end of the first answer to the second request on the same connection: less
/// than four fifths of `idleTimeoutMs`.
const REST: Duration = Duration::from_secs(8);
/// Time to the first event of the second answer, within its response-time goal.
const WORK_MS: u32 = 2900;
/// What the rule allows.
const ALLOWED: usize = 3;

/// How a client's second request ended.
enum End {
    Whole,
    /// The node refused it, or said that its outcome isn't known.
    Status(String),
    Closed(String),
    NotSent(String),
}

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
    let servers = [11, 12, 13, 14].map(|number| {
        let id = format!("i-{number:08x}");
        Server::start(own_address(number), &id, "desk", 1, &store, record)
    });
    let host = own_address(21);
    let ports = Ports::find(&[host]);
    let mut gateway = Gateway::start(scratch.path(), host, ports, &[host], store.address, MACHINE);
    if !gateway.wait_until_ready() {
        eprintln!("the node isn't ready: {:?}", gateway.exit_status());
        return None;
    }
    // No start of a process within `stableWindowMs`.
    thread::sleep(Duration::from_millis(3500));
    record.line(if has_trouble {
        "clients begin; they read the first answer slowly"
    } else {
        "clients begin; they read all answers at once"
    });
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, callers) = (record.clone(), gateway.callers);
            thread::spawn(move || {
                let source = own_address(40 + number);
                let play_round = |round| {
                    let socket = connect_from(source, callers, has_trouble)?;
                    let request = usize::from(number) + round * usize::from(CLIENTS);
                    play_client(&record, request, Wire::new(socket), has_trouble)
                };
                let rounds = (0..ROUNDS).map(|round| {
                    let played: io::Result<End> = play_round(round);
                    let end = played.unwrap_or_else(|error| End::NotSent(error.to_string()));
                    (usize::from(number) + round * usize::from(CLIENTS), end)
                });
                rounds.collect::<Vec<_>>()
            })
        })
        .collect();
    let ends = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap());
    let ends: BTreeMap<usize, End> = ends.collect();
    let (mut lost, mut whole, mut unsent) = (0, 0, 0);
    for (number, end) in &ends {
        let attempt = second_attempt(*number);
        let has_run = servers.iter().any(|server| {
            let runs = server.runs.lock().unwrap();
            runs.iter().any(|(known, _)| *known == attempt)
        });
        let text = match end {
            End::Whole => {
                whole += 1;
                "answered whole".to_owned()
            }
            End::Status(status) => format!("answered {status}"),
            End::Closed(how) => {
                lost += usize::from(has_run);
                format!("closed without a whole answer ({how}), passed on: {has_run}")
            }
            End::NotSent(why) => {
                unsent += 1;
                format!("not sent: {why}")
            }
        };
        record.line(&format!("connection {number}: {attempt} {text}"));
    }
    for line in gateway.log_text().lines() {
        if line.contains("connection_closed") || line.contains("gave_way") {
            record.line(&format!("node: {line}"));
        }
    }
    let exit = gateway.exit_status();
    record.line(&format!(
        "of {} second requests: {whole} answered, {lost} passed on and closed without an answer \
         (more than {ALLOWED} break the rule), {unsent} not sent; node ended: {exit:?}",
        ends.len()
    ));
    if exit.is_some() || unsent > ends.len() / 2 {
        return None;
    }
    Some(lost > ALLOWED)
}

fn second_attempt(number: usize) -> String {
    format!("{:016x}", 0x2_0000 + number)
}

/// Reads one answer, slowly or not, and after a rest sends another request on the connection.
fn play_client(
    record: &Record,
    number: usize,
    mut wire: Wire,
    has_trouble: bool,
) -> io::Result<End> {
    wire.socket
        .set_read_timeout(Some(Duration::from_secs(20)))?;
    let first = format!("{:016x}", 0x1_0000 + number);
    // Lengths differ, as those of real documents do.
    let length = 120_000 + 457 * number;
    let path = format!("/status/bytes-{length}");
    record.line(&format!("connection {number}: sends {first} GET {path}"));
    wire.send(&request("GET", &path, &first, 10_000, 0))?;
    let began = Instant::now();
    let head = wire.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let (step, pause) = if has_trouble {
        (2048, Duration::from_millis(10))
    } else {
        (65_536, Duration::ZERO)
    };
    let body = wire.body(&head, step, pause)?;
    record.line(&format!(
        "connection {number}: {first} answered {} with {} bytes, read in {} ms",
        head.second,
        body.len(),
        began.elapsed().as_millis()
    ));
    if head.second != "200" || body.len() != length {
        return Ok(End::NotSent("the first answer is not whole".to_owned()));
    }
    thread::sleep(REST);
    let second = second_attempt(number);
    let path = format!("/sweep/stream-{WORK_MS}");
    record.line(&format!("connection {number}: sends {second} POST {path}"));
    if let Err(error) = wire.send(&request("POST", &path, &second, 15_000, 600)) {
        return Ok(End::NotSent(error.to_string()));
    }
    let head = match wire.head() {
        Ok(Some(head)) => head,
        Ok(None) => {
            return Ok(End::Closed(
                "end of the connection before a head".to_owned(),
            ));
        }
        Err(error) => return Ok(End::Closed(error.to_string())),
    };
    if head.second != "200" {
        return Ok(End::Status(head.second));
    }
    match wire.chunks() {
        Ok(_) => Ok(End::Whole),
        Err(error) => Ok(End::Closed(format!("in the body: {error}"))),
    }
}
