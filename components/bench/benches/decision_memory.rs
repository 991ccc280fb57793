//! Measures the heap memory of a scheduler as its state grows.
//!
//! Prints heap bytes and their growth per unit of size: `cargo bench -p bench`.

use std::alloc::System;

use bench::{DecisionState, StateSize};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static HEAP: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Seed of the scheduler's random choices.
const SEED: u64 = 1;
const SMALL: StateSize = StateSize {
    queued: 10,
    owned: 10,
    remote: 0,
    organisations: 10,
};

struct StateGrowth {
    name: &'static str,
    from: usize,
    to: usize,
    state: fn(usize) -> StateSize,
}

const GROWN: [StateGrowth; 4] = [
    StateGrowth {
        name: "queued prompt",
        from: 10,
        to: 100_000,
        state: |queued| StateSize { queued, ..SMALL },
    },
    StateGrowth {
        name: "owned upstream",
        from: 10,
        to: 400,
        state: |owned| StateSize { owned, ..SMALL },
    },
    StateGrowth {
        name: "fleet upstream",
        from: 10,
        to: 3_500,
        state: |remote| StateSize { remote, ..SMALL },
    },
    StateGrowth {
        name: "organisation",
        from: 10,
        to: 6_100,
        state: |organisations| StateSize {
            organisations,
            ..SMALL
        },
    },
];

fn main() {
    println!("smallest state: {} bytes", heap_bytes(SMALL));
    for grown in GROWN {
        let least = heap_bytes((grown.state)(grown.from));
        let most = heap_bytes((grown.state)(grown.to));
        let steps = grown.to - grown.from;
        let each = most.saturating_sub(least) / steps;
        println!(
            "{}: {least} bytes at {}, {most} at {}, {each} each",
            grown.name, grown.from, grown.to
        );
    }
}

/// Heap bytes held by a scheduler state of the given size.
fn heap_bytes(size: StateSize) -> usize {
    let region = Region::new(HEAP);
    let state = DecisionState::with_size(SEED, size);
    let change = region.change();
    drop(state);
    change
        .bytes_allocated
        .saturating_sub(change.bytes_deallocated)
}
