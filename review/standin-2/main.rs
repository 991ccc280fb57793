//! Stand-ins and clients of the second review's scripts: `standin CASE FOLDER`. With
//! `TROUBLE=0` a case runs without its disruption. Exits with 1 if the rule was broken, 0 if
//! it held, 2 if the case couldn't run.

mod gateway;
mod ids;
mod json;
mod kept;
mod leaving;
mod record;
mod server;
mod site;
mod store;
mod wire;

use std::{
    os::unix::process::parent_id,
    path::PathBuf,
    process::exit,
    sync::{Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use leaving::Trouble;
use wire::{SIGKILL, send_signal};

/// A case that takes longer is ended.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Processes that this one has started and that have not ended.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn record_child(pid: u32) {
    let mut children = CHILDREN.lock().unwrap_or_else(PoisonError::into_inner);
    children.push(pid);
}

fn forget_child(pid: u32) {
    let mut children = CHILDREN.lock().unwrap_or_else(PoisonError::into_inner);
    children.retain(|known| *known != pid);
}

/// Ends the case and its processes if it takes too long, or if who started it has gone.
fn watch() {
    let (began, parent) = (Instant::now(), parent_id());
    while began.elapsed() < TIME_LIMIT && parent_id() == parent {
        thread::sleep(Duration::from_millis(100));
    }
    eprintln!("the case took too long or was broken off");
    let children = CHILDREN.lock().unwrap_or_else(PoisonError::into_inner);
    for pid in children.iter() {
        send_signal(*pid, SIGKILL);
    }
    site::remove_folder();
    exit(2);
}

fn main() {
    let mut words = std::env::args().skip(1);
    let case = words.next().unwrap_or_default();
    thread::spawn(watch);
    if case == "serve" {
        let mut next = || words.next().unwrap_or_default();
        let (id, address, framing) = (next(), next(), next());
        let served = leaving::serve(&id, &address, &framing);
        exit(i32::from(served.is_err()));
    }
    let folder = PathBuf::from(words.next().unwrap_or_default());
    let trouble = std::env::var("TROUBLE").unwrap_or_default();
    let has_trouble = trouble != "0";
    let outcome = match case.as_str() {
        "leaving-servers" => leaving::play(
            &folder,
            match trouble.as_str() {
                "0" => Trouble::Nothing,
                "crash" => Trouble::Crash,
                _ => Trouble::Leaves,
            },
        ),
        "event-ids" => ids::play(&folder, has_trouble),
        "kept-connections" => kept::play(&folder, has_trouble),
        _ => {
            eprintln!("unknown case {case:?}");
            None
        }
    };
    exit(match outcome {
        Some(true) => 1,
        Some(false) => 0,
        None => 2,
    });
}
