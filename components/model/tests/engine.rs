//! Behaviour of the engine simulation under a clock that the tests advance.

use std::time::{Duration, Instant};

use model::{
    AttemptSpec, EngineModel, EventKind, HoldSpec, KvImportSpec, ModelError, ModelEvent,
    engine_profile, prefill_time,
};
use types::{CACHE_BLOCK_TOKENS, CacheEvent, EngineOrder, EngineRole};

fn engine() -> EngineModel {
    let profile = engine_profile("engine-1".to_owned(), "duluth".to_owned());
    EngineModel::new(profile, Vec::new())
}

fn spec(request: &str, prompt_tokens: u64, answer_tokens: u64) -> AttemptSpec {
    AttemptSpec {
        request: request.to_owned(),
        attempt: 1,
        prompt_tokens,
        output_tokens: answer_tokens,
        answer_tokens,
        ..AttemptSpec::default()
    }
}

fn hold(request: &str, tokens: u64) -> HoldSpec {
    HoldSpec {
        request: request.to_owned(),
        attempt: 1,
        holder: "node-1".to_owned(),
        tokens,
        lifetime: Duration::from_secs(10),
    }
}

/// Runs the engine until it is idle and returns its events.
fn run_until_idle(engine: &mut EngineModel) -> Vec<ModelEvent> {
    let mut events = Vec::new();
    while let Some(at) = engine.next_event_at() {
        events.extend(engine.advance(at));
    }
    events
}

fn tokens_of(events: &[ModelEvent], id: u64) -> Vec<u64> {
    let own = events.iter().filter(|event| event.sequence == id);
    own.filter_map(|event| match event.kind {
        EventKind::Token { index } => Some(index),
        _ => None,
    })
    .collect()
}

fn first_token_at(events: &[ModelEvent], id: u64) -> Instant {
    let first = events
        .iter()
        .find(|event| event.sequence == id && matches!(event.kind, EventKind::Token { .. }));
    first.expect("a token").at
}

#[test]
fn an_idle_engine_prefills_in_the_predicted_time() {
    let now = Instant::now();
    let mut engine = engine();
    let expected = prefill_time(engine.profile(), 0, 4_000, 1.0);
    let id = engine.submit(now, spec("r", 4_000, 20)).unwrap();
    let events = run_until_idle(&mut engine);
    let ttft = first_token_at(&events, id) - now;
    assert!(
        ttft >= expected && ttft < expected.mul_f64(1.05),
        "{ttft:?}"
    );
    assert_eq!(tokens_of(&events, id), (0..20).collect::<Vec<_>>());
    assert_eq!(engine.used_tokens(), 0);
}

#[test]
fn a_resumed_attempt_continues_after_the_delivered_tokens() {
    let mut engine = engine();
    let resumed = AttemptSpec {
        resume_at: 7,
        ..spec("r", 1_000, 12)
    };
    let id = engine.submit(Instant::now(), resumed).unwrap();
    let events = run_until_idle(&mut engine);
    assert_eq!(tokens_of(&events, id), vec![7, 8, 9, 10, 11]);
    let last = events.last().unwrap().kind;
    assert_eq!(last, EventKind::Finished { tokens: 12 });
}

#[test]
fn a_lower_priority_number_runs_before_a_long_prefill_ends() {
    let now = Instant::now();
    let mut engine = engine();
    let long = AttemptSpec {
        priority: 5,
        ..spec("long", 200_000, 5)
    };
    let long = engine.submit(now, long).unwrap();
    let later = now + Duration::from_secs(1);
    let short = engine.submit(later, spec("short", 1_000, 5)).unwrap();
    let same = engine.submit(later, spec("short-2", 1_000, 5)).unwrap();
    let events = run_until_idle(&mut engine);
    let wait = first_token_at(&events, short) - later;
    assert!(wait < Duration::from_millis(250), "{wait:?}");
    assert!(first_token_at(&events, short) <= first_token_at(&events, same));
    assert!(first_token_at(&events, same) < first_token_at(&events, long));
}

#[test]
fn equal_priorities_wait_behind_a_long_prefill() {
    let now = Instant::now();
    let mut engine = engine();
    let long = engine.submit(now, spec("long", 200_000, 5)).unwrap();
    let short = engine.submit(now, spec("short", 1_000, 5)).unwrap();
    let events = run_until_idle(&mut engine);
    assert!(first_token_at(&events, short) >= first_token_at(&events, long));
}

#[test]
fn a_preempted_sequence_restarts_without_losing_or_repeating_tokens() {
    let now = Instant::now();
    let mut engine = engine();
    let low = AttemptSpec {
        priority: 9,
        ..spec("low", 250_000, 3_000)
    };
    let low = engine.submit(now, low).unwrap();
    let started = now + Duration::from_secs(100);
    let before = engine.advance(started);
    assert!(!tokens_of(&before, low).is_empty());
    let high = engine.submit(started, spec("high", 250_000, 5)).unwrap();
    let mut events = before;
    events.extend(run_until_idle(&mut engine));
    assert_eq!(tokens_of(&events, low), (0..3_000).collect::<Vec<_>>());
    assert!(first_token_at(&events, high) > first_token_at(&events, low));
    let starts = events
        .iter()
        .filter(|event| event.sequence == low && matches!(event.kind, EventKind::Started { .. }));
    assert_eq!(starts.count(), 2);
    assert_eq!(engine.used_tokens(), 0);
}

#[test]
fn a_repeated_prefix_is_found_in_the_cache() {
    let now = Instant::now();
    let mut engine = engine();
    let prefixes: Vec<u64> = (1..=8).collect();
    let first = AttemptSpec {
        prefixes: prefixes.clone(),
        ..spec("a", 5_000, 3)
    };
    engine.submit(now, first.clone()).unwrap();
    run_until_idle(&mut engine);
    assert_eq!(engine.idle_cache_tokens(), 8 * CACHE_BLOCK_TOKENS);
    let log = engine.cache_events(0);
    let stored: Vec<CacheEvent> = prefixes
        .iter()
        .map(|prefix| CacheEvent::Stored { prefix: *prefix })
        .collect();
    assert_eq!(log.events, stored);
    let second = AttemptSpec {
        request: "b".to_owned(),
        ..first
    };
    let later = now + Duration::from_mins(1);
    engine.submit(later, second).unwrap();
    let cached = run_until_idle(&mut engine)
        .iter()
        .find_map(|event| match event.kind {
            EventKind::Started { cached_tokens, .. } => Some(cached_tokens),
            _ => None,
        });
    assert_eq!(cached, Some(8 * CACHE_BLOCK_TOKENS));
}

#[test]
fn idle_cache_blocks_are_evicted_when_a_prompt_needs_memory() {
    let now = Instant::now();
    let mut engine = engine();
    let prompt = 300_000;
    let first = AttemptSpec {
        prefixes: (0..prompt / CACHE_BLOCK_TOKENS).collect(),
        ..spec("a", prompt, 3)
    };
    engine.submit(now, first).unwrap();
    run_until_idle(&mut engine);
    let position = engine.cache_events(0).next;
    let later = now + Duration::from_mins(10);
    engine.submit(later, spec("b", prompt, 3)).unwrap();
    let capacity = engine.profile().kv_capacity;
    assert!(engine.used_tokens() + engine.idle_cache_tokens() <= capacity);
    let evicted = engine.cache_events(position).events;
    assert!(!evicted.is_empty());
    assert!(
        evicted
            .iter()
            .all(|event| matches!(event, CacheEvent::Evicted { .. }))
    );
}

#[test]
fn a_reservation_is_held_until_it_expires_and_renewal_extends_it() {
    let now = Instant::now();
    let mut engine = engine();
    engine.reserve(now, &hold("r", 300_000)).unwrap();
    let refused = engine.reserve(now, &hold("other", 200_000));
    assert!(matches!(refused, Err(ModelError::NoMemory { .. })));
    engine
        .reserve(now + Duration::from_secs(6), &hold("r", 300_000))
        .unwrap();
    engine.advance(now + Duration::from_secs(12));
    assert_eq!(engine.used_tokens(), 300_000);
    engine.advance(now + Duration::from_secs(16));
    assert_eq!(engine.used_tokens(), 0);
}

#[test]
fn a_late_release_leaves_a_newer_attempt_alone() {
    let now = Instant::now();
    let mut engine = engine();
    let newer = HoldSpec {
        attempt: 2,
        ..hold("r", 100_000)
    };
    engine.reserve(now, &newer).unwrap();
    engine.release(now, &"r".to_owned(), 1);
    assert_eq!(engine.used_tokens(), 100_000);
}

#[test]
fn several_engines_prefill_faster_and_share_memory() {
    let now = Instant::now();
    let mut engine = engine();
    let alone = engine.submit(now, spec("whole", 900_000, 5));
    assert!(matches!(alone, Err(ModelError::TooLarge { .. })));
    let gang = AttemptSpec {
        members: 2,
        member_tokens: 600_000,
        ..spec("gang", 900_000, 5)
    };
    engine.reserve(now, &hold("gang", 300_005)).unwrap();
    let id = engine.submit(now, gang).unwrap();
    assert_eq!(engine.used_tokens(), 300_005);
    let events = run_until_idle(&mut engine);
    let ttft = first_token_at(&events, id) - now;
    let single = prefill_time(engine.profile(), 0, 900_000, 1.0);
    let ratio = single.as_secs_f64() / ttft.as_secs_f64();
    assert!((2.7..=2.85).contains(&ratio), "{ratio}");
    assert_eq!(engine.used_tokens(), 0);
}

/// Time to first token of a prompt on an engine that lends compute to a gang
/// sequence of priority 5.
fn ttft_on_lender(priority: u32) -> Duration {
    let now = Instant::now();
    let mut lender = engine();
    lender.reserve(now, &hold("gang", 100_000)).unwrap();
    lender.set_hold_priority(now, &"gang".to_owned(), 1, 5);
    lender.set_lending(now, &"gang".to_owned(), 1, true);
    assert!((lender.lending_share() - 1.0).abs() < f64::EPSILON);
    let prompt = AttemptSpec {
        priority,
        ..spec("r", 8_000, 2)
    };
    let id = lender.submit(now, prompt).unwrap();
    assert!(lender.lending_share() < 0.6);
    first_token_at(&run_until_idle(&mut lender), id) - now
}

#[test]
fn lending_compute_delays_all_but_more_urgent_prompts() {
    let now = Instant::now();
    let mut idle = engine();
    let id = idle.submit(now, spec("r", 8_000, 2)).unwrap();
    let alone = first_token_at(&run_until_idle(&mut idle), id) - now;
    let equal = ttft_on_lender(5);
    assert!(
        equal.abs_diff(alone * 2) < Duration::from_micros(1),
        "{equal:?}"
    );
    let better = ttft_on_lender(1);
    assert!(better > alone, "{better:?}");
    assert!(better < alone + Duration::from_millis(40), "{better:?}");
}

#[test]
fn an_export_moves_the_computed_context_to_another_engine() {
    let now = Instant::now();
    let mut source = engine();
    source.submit(now, spec("r", 100_000, 50)).unwrap();
    let moved_at = now + Duration::from_secs(5);
    let lifetime = Duration::from_secs(30);
    let request = "r".to_owned();
    let export = source.export_kv(moved_at, &request, 1, lifetime).unwrap();
    assert_eq!(source.used_tokens(), export.tokens);
    let mut target = engine();
    let import = KvImportSpec {
        hold: HoldSpec {
            attempt: 2,
            lifetime,
            ..hold("r", 100_050)
        },
        filled: export.tokens,
    };
    let ready = target.import_kv(moved_at, &import).unwrap();
    let again = AttemptSpec {
        attempt: 2,
        ..spec("r", 100_000, 50)
    };
    let id = target.submit(moved_at, again).unwrap();
    let events = run_until_idle(&mut target);
    let started = events[0];
    assert_eq!(started.at, ready);
    let cached_tokens = export.tokens;
    let kind = EventKind::Started {
        prompt_tokens: 100_000,
        cached_tokens,
    };
    assert_eq!(started.kind, kind);
    assert_eq!(tokens_of(&events, id).len(), 50);
    source.release(ready, &request, 1);
    assert_eq!(source.used_tokens() + target.used_tokens(), 0);
}

#[test]
fn a_cancelled_attempt_frees_its_memory_and_emits_no_more_events() {
    let now = Instant::now();
    let mut engine = engine();
    let id = engine.submit(now, spec("r", 50_000, 50)).unwrap();
    let later = now + Duration::from_secs(1);
    engine.advance(later);
    assert!(engine.cancel(later, &"r".to_owned(), 1));
    assert!(!engine.cancel(later, &"r".to_owned(), 1));
    assert_eq!(engine.used_tokens(), 0);
    let events = run_until_idle(&mut engine);
    assert!(events.iter().all(|event| event.sequence != id));
}

#[test]
fn a_crash_drops_all_work_and_increments_the_incarnation() {
    let now = Instant::now();
    let mut engine = engine();
    let id = engine.submit(now, spec("r", 50_000, 50)).unwrap();
    engine.reserve(now, &hold("other", 1_000)).unwrap();
    assert_eq!(engine.crash(now + Duration::from_secs(1)), vec![id]);
    assert_eq!(engine.used_tokens(), 0);
    assert_eq!(engine.profile().incarnation, 2);
    assert_eq!(engine.next_event_at(), None);
}

#[test]
fn an_engine_that_checks_fencing_refuses_an_older_order() {
    let mut engine = engine();
    let order = |fencing, role| EngineOrder {
        owner: "node-1".to_owned(),
        fencing,
        role,
        models: Vec::new(),
    };
    engine.apply_order(&order(5, EngineRole::Long)).unwrap();
    let old = engine.apply_order(&order(4, EngineRole::Short));
    assert_eq!(old, Err(ModelError::Fenced { newest: 5 }));
    assert_eq!(engine.report(Instant::now()).role, EngineRole::Long);
    engine.set_checks_fencing(false);
    engine.apply_order(&order(4, EngineRole::Short)).unwrap();
    assert_eq!(engine.report(Instant::now()).role, EngineRole::Short);
}
