//! Load that names these tests: all nodes of a fleet start at once, with the full traffic
//! before them, and none has heard yet what the others put on the engines.

mod support;

use std::{
    collections::{BTreeMap, HashSet},
    time::{Duration, Instant},
};

use dispatch::{
    AggregateChunk, InFlightRequest, LatencyGoals, LoadTracker, MemoryShare, NewsItem, NewsLog,
    NewsReader, PlacementRequest, PlacementWait, PromptSize, RosterEntry, UpstreamTable,
    place_prompt,
};
use rand::{SeedableRng, rngs::SmallRng};

use support::{ENGINES, engine_table, spec};

const NODES: usize = 40;

const QUESTION: PromptSize = PromptSize {
    prompt: 5_000,
    answer: 1_600,
};
const REVIEW: PromptSize = PromptSize {
    prompt: 45_000,
    answer: 800,
};

fn goals(event_gap_ms: u64) -> LatencyGoals {
    LatencyGoals {
        first_event: Duration::from_millis(1_500),
        event_gap: Duration::from_millis(event_gap_ms),
        shortest_event_gap: Duration::from_millis(200),
    }
}

/// Places a prompt at one node; returns the engine that answers.
fn place(
    now: Instant,
    table: &UpstreamTable,
    loads: &mut LoadTracker,
    size: PromptSize,
    goals: LatencyGoals,
    rng: &mut SmallRng,
) -> String {
    let upstreams = table.selectable(now, "models", &[]);
    let request = PlacementRequest {
        size,
        goals,
        wait: PlacementWait::Expired,
        unreported_strict: loads.estimate_unreported(now, 0),
    };
    let placement = place_prompt(now, &spec(), &request, &upstreams, loads, rng).unwrap();
    loads.record_start(InFlightRequest {
        memory_shares: vec![MemoryShare {
            engine: placement.upstream.clone(),
            memory: size.kv_cache_tokens(),
        }],
        strict: goals.is_strict(),
        event_gap: goals.event_gap,
    });
    placement.upstream
}

/// Lets each node place `prompts` of one kind; returns how many each engine gets.
fn place_at_all(prompts: usize, size: PromptSize, goals: LatencyGoals) -> BTreeMap<String, u32> {
    let now = Instant::now();
    let table = engine_table();
    let mut rng = SmallRng::seed_from_u64(40);
    let mut placed = BTreeMap::new();
    for _ in 0..NODES {
        let mut loads = LoadTracker::starting(now);
        for _ in 0..prompts {
            let engine = place(now, &table, &mut loads, size, goals, &mut rng);
            *placed.entry(engine).or_default() += 1;
        }
    }
    placed
}

/// Half of the engines have 112 slots for the first question of each of 40 nodes.
#[test]
fn short_prompts_of_nodes_that_start_together_keep_within_the_slots_of_each_engine() {
    let placed = place_at_all(1, QUESTION, goals(200));
    let most = placed.values().max().unwrap();
    assert!(*most <= spec().slots, "{placed:?}");
    assert!(placed.len() <= ENGINES / 2, "{placed:?}");
}

/// The other half has memory for 63 reviews.
#[test]
fn long_prompts_of_nodes_that_start_together_keep_within_the_memory_of_each_engine() {
    let placed = place_at_all(1, REVIEW, goals(600));
    let most = u64::from(*placed.values().max().unwrap());
    let memory = most * REVIEW.kv_cache_tokens();
    assert!(memory <= spec().kv_cache_tokens, "{placed:?}");
}

/// A node that is told the loads of a running fleet, or that hears nobody for long, packs
/// its requests onto few engines as before.
#[test]
fn the_assumption_ends_with_the_first_sums_or_after_a_while() {
    let now = Instant::now();
    let mut told = LoadTracker::starting(now);
    assert!(told.assumes_others(now));
    told.record_aggregate(
        now,
        AggregateChunk {
            aggregate: 1,
            index: 0,
            count: 1,
            loads: Vec::new(),
        },
    );
    assert!(told.assumes_others(now), "all others may have just started");
    told.record_running_fleet();
    assert!(!told.assumes_others(now));
    let alone = LoadTracker::starting(now);
    assert!(!alone.assumes_others(now + Duration::from_secs(2)));
    assert!(!LoadTracker::default().assumes_others(now));
}

fn entry(index: u16) -> RosterEntry {
    RosterEntry {
        node: format!("node-{index:03}"),
        zone: "duluth".to_owned(),
        caller_address: ([10, 0, 0, 1], index).into(),
        peer_address: ([10, 0, 0, 1], index).into(),
        incarnation: 1,
        ready: true,
        capacity: 120,
    }
}

/// All pages of an answer are used, in whatever order they arrive; otherwise a node that
/// starts would need an answer for nearly each of them.
#[test]
fn the_pages_of_a_listing_count_in_any_order() {
    let now = Instant::now();
    let mut log = NewsLog::new(1);
    for index in 0..100 {
        log.publish(now, NewsItem::Node(entry(index), true));
    }
    let mut cursor = dispatch::NewsCursor::default();
    let mut pages = Vec::new();
    loop {
        let page = log.page_after(cursor, 1_000);
        cursor = page.next_cursor(cursor);
        pages.push(page);
        if pages.last().unwrap().complete {
            break;
        }
    }
    assert!(pages.len() > 3, "{}", pages.len());
    for rotation in 0..pages.len() {
        let mut reader = NewsReader::default();
        let mut order = pages.clone();
        order.reverse();
        order.rotate_left(rotation);
        let accepted: Vec<_> = order
            .into_iter()
            .filter_map(|page| reader.accept(page))
            .collect();
        let items: usize = accepted.iter().map(|accepted| accepted.items.len()).sum();
        assert_eq!(items, 100, "rotation {rotation}");
        let last = accepted.last().unwrap();
        assert!(last.caught_up, "rotation {rotation}");
        assert_eq!(last.listing.as_ref().map(HashSet::len), Some(100));
        assert_eq!(reader.cursor(), cursor);
    }
}
