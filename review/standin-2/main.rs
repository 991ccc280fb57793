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
    path::PathBuf,
    process::exit,
    sync::{Mutex, PoisonError},
    thread,
    time::Duration,
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

/// Ends the case and its processes if it takes too long.
fn watch_time() {
    thread::sleep(TIME_LIMIT);
    eprintln!("the case took too long");
    let children = CHILDREN.lock().unwrap_or_else(PoisonError::into_inner);
    for pid in children.iter() {
        send_signal(*pid, SIGKILL);
    }
    exit(2);
}

fn main() {
    let mut words = std::env::args().skip(1);
    let case = words.next().unwrap_or_default();
    if case == "serve" {
        let (id, address) = (words.next(), words.next());
        let served = leaving::serve(&id.unwrap_or_default(), &address.unwrap_or_default());
        exit(i32::from(served.is_err()));
    }
    thread::spawn(watch_time);
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
