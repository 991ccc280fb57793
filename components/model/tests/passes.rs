//! Timing of engines that run prefill and decode in passes.

use std::time::Duration;

use model::{JobId, PassEngine, PassEvent, PassSpec, PrefillShard};

const SPEC: PassSpec = PassSpec {
    steps_per_pass: 46,
    step: Duration::from_micros(925),
    sequence_step_ms: 0.004_83,
    context_step_ms: 0.002_54,
    chunk_tokens: 2_048,
};

fn shard(job: JobId, tokens: u64, millis: u64) -> PrefillShard {
    PrefillShard {
        job,
        tokens,
        time: Duration::from_millis(millis),
    }
}

/// Runs the engine until it is idle, or past `limit`; returns the events with
/// the time of each.
fn run(engine: &mut PassEngine, limit: Duration) -> Vec<(Duration, PassEvent)> {
    let mut now = Duration::ZERO;
    let mut events = Vec::new();
    while let Some(time) = engine.start_pass() {
        now += time;
        events.extend(engine.finish_pass().into_iter().map(|event| (now, event)));
        if now > limit {
            break;
        }
    }
    events
}

#[test]
fn a_pass_with_a_decoding_sequence_takes_all_its_steps() {
    let mut engine = PassEngine::new(SPEC);
    engine.decode(1, 2, 5_000);
    let events = run(&mut engine, Duration::MAX);
    let step = Duration::from_secs_f64((0.925 + 0.004_83 + 0.002_54 * 5.0) / 1e3);
    let names: Vec<PassEvent> = events.iter().map(|(_, event)| *event).collect();
    assert_eq!(names, [PassEvent::Decoded(1), PassEvent::Ended(1)]);
    let ratio = events[0].0.as_secs_f64() / (step * 46).as_secs_f64();
    assert!((ratio - 1.0).abs() < 1e-6, "{events:?}");
}

#[test]
fn a_prompt_alone_takes_its_prefill_time_and_one_step_per_chunk() {
    let mut engine = PassEngine::new(SPEC);
    engine.prefill_own(shard(1, 20_480, 200));
    let events = run(&mut engine, Duration::MAX);
    let expected = Duration::from_millis(200) + SPEC.step * 10;
    assert_eq!(events.len(), 1);
    let deviation = events[0].0.abs_diff(expected);
    assert!(deviation < Duration::from_micros(10), "{events:?}");
}

#[test]
fn shards_for_other_engines_run_first_newest_first() {
    let mut engine = PassEngine::new(SPEC);
    engine.prefill_own(shard(1, 10_000, 100));
    engine.prefill_for_other(shard(2, 10_000, 100));
    engine.prefill_for_other(shard(3, 10_000, 100));
    let order: Vec<PassEvent> = run(&mut engine, Duration::MAX)
        .into_iter()
        .map(|(_, event)| event)
        .collect();
    assert_eq!(order, [3, 2, 1].map(PassEvent::Prefilled));
}

#[test]
fn own_prompts_are_prefilled_in_order() {
    let mut engine = PassEngine::new(SPEC);
    engine.prefill_own(shard(1, 30_000, 300));
    engine.prefill_own(shard(2, 5_000, 50));
    let first = run(&mut engine, Duration::MAX)[0].1;
    assert_eq!(first, PassEvent::Prefilled(1));
}

#[test]
fn prefill_lengthens_the_token_gap_of_decoding_sequences() {
    let mut engine = PassEngine::new(SPEC);
    engine.decode(1, 4, 5_000);
    engine.prefill_for_other(shard(2, 50_000, 600));
    let events = run(&mut engine, Duration::MAX);
    let decoded_at: Vec<Duration> = events
        .iter()
        .filter(|(_, event)| *event != PassEvent::Prefilled(2))
        .map(|(at, _)| *at)
        .collect();
    assert!(decoded_at[0] > Duration::from_millis(600), "{decoded_at:?}");
    assert!(
        decoded_at[1].saturating_sub(decoded_at[0]) < Duration::from_millis(50),
        "{decoded_at:?}"
    );
}
