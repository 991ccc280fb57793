//! Measures the cost of a decision with 10,000 waiting requests, and the memory that one
//! takes in the line.
//!
//! `cargo run --release -p admission --example line_figures`

use std::{
    fs,
    time::{Duration, Instant},
};

use admission::{EntryId, LengthClass, LineEntry, WaitingLine};

const WAITING: u32 = 10_000;
const DECISIONS: u32 = 10_000;
/// Requests of each class that a gateway looks at in one walk.
const WALK_DEPTH: usize = 16;

fn main() {
    let now = Instant::now();
    let mut line = WaitingLine::default();
    let before = resident_bytes();
    for index in 0..WAITING {
        push(&mut line, now, index);
    }
    let used = resident_bytes().saturating_sub(before);
    println!(
        "bytes for each waiting request: {}",
        used / u64::from(WAITING)
    );

    let started_at = Instant::now();
    for index in 0..DECISIONS {
        let next: Option<EntryId> = line.next_in_order(now, 1).first().copied();
        if let Some(id) = next {
            line.take_to_start(now, id);
        }
        push(&mut line, now, WAITING + index);
    }
    print_cost(
        "next request, its start and a new arrival",
        started_at,
        DECISIONS,
    );

    let started_at = Instant::now();
    let mut seen = 0;
    for _ in 0..1_000 {
        seen += line.next_in_order(now, WALK_DEPTH).len();
    }
    print_cost(
        "each request seen by a walk",
        started_at,
        u32::try_from(seen).unwrap_or(1),
    );
}

/// Memory of this process, as Linux tells it.
fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes.and_then(|text| text.parse().ok()).unwrap_or(0) * 1024
}

fn push(line: &mut WaitingLine, now: Instant, index: u32) {
    let organisation = format!("organisation-{}", index % 24);
    let millis = Duration::from_millis(u64::from(index % 997));
    let entry = LineEntry {
        organisation: line.intern(Some(&organisation)),
        priority: u8::try_from(index % 3).unwrap_or(0),
        class: LengthClass::ALL[index as usize % 4],
        cost: 1_000 + u64::from(index % 31) * 100,
        engine_time: Duration::from_millis(30),
        goal_start: now + Duration::from_mins(1) + millis,
        deadline_start: now + Duration::from_secs(90) + millis,
        bytes: 1_000,
    };
    line.push(now, entry);
}

fn print_cost(what: &str, started_at: Instant, count: u32) {
    let cost = started_at.elapsed() / count.max(1);
    println!("{what}: {:.2} us", cost.as_secs_f64() * 1e6);
}
