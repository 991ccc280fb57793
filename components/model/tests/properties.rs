//! Invariants of the engine simulation under random sequences of calls.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use model::{
    AttemptSpec, EngineModel, EventKind, HoldSpec, ModelEvent, SequenceId, engine_profile,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use types::{AttemptId, CACHE_BLOCK_TOKENS, TokenCount};

/// Random calls per run; then the engine runs until it is idle.
const CALLS: u32 = 400;

struct EngineRun {
    engine: EngineModel,
    rng: StdRng,
    now: Instant,
    start: Instant,
    next_attempt: AttemptId,
    events: Vec<ModelEvent>,
    /// Next expected token of each submitted sequence.
    next_tokens: HashMap<SequenceId, TokenCount>,
    cancelled: Vec<SequenceId>,
}

impl EngineRun {
    fn new(seed: u64, start: Instant) -> Self {
        let profile = engine_profile("engine-1".to_owned(), "howrah".to_owned());
        Self {
            engine: EngineModel::new(profile, Vec::new()),
            rng: StdRng::seed_from_u64(seed),
            now: start,
            start,
            next_attempt: 1,
            events: Vec::new(),
            next_tokens: HashMap::new(),
            cancelled: Vec::new(),
        }
    }

    /// Makes `CALLS` random calls, then runs the engine until it is idle.
    fn make_random_calls(&mut self) {
        for _ in 0..CALLS {
            self.now += Duration::from_millis(self.rng.random_range(0..400));
            match self.rng.random_range(0..10_u32) {
                0..=4 => self.submit(),
                5 => self.cancel(),
                6 => self.reserve(),
                7 => self.release(),
                _ => self.take_events(),
            }
            self.check_memory();
        }
        while let Some(at) = self.engine.next_event_at() {
            self.now = self.now.max(at);
            self.take_events();
            self.check_memory();
        }
    }

    fn submit(&mut self) {
        let prompt_tokens = self.rng.random_range(1_000..120_000);
        let answer_tokens = self.rng.random_range(1..60);
        let text = self.rng.random_range(0..5_u64) << 32;
        let spec = AttemptSpec {
            request: "r".to_owned(),
            attempt: self.next_attempt,
            priority: self.rng.random_range(0..3),
            prompt_tokens,
            resume_at: self.rng.random_range(0..answer_tokens),
            output_tokens: answer_tokens + 10,
            answer_tokens,
            prefixes: (0..prompt_tokens / CACHE_BLOCK_TOKENS)
                .map(|block| text + block)
                .collect(),
            ..AttemptSpec::default()
        };
        self.next_attempt += 1;
        let first = spec.resume_at;
        let id = self.engine.submit(self.now, spec).expect("fits the engine");
        self.next_tokens.insert(id, first);
    }

    fn cancel(&mut self) {
        let attempt = self.rng.random_range(0..self.next_attempt);
        let ran = self.engine.cancel(self.now, &"r".to_owned(), attempt);
        if ran {
            // Attempts and sequences are both numbered from 1 in order of
            // submission, so that their numbers are equal.
            self.cancelled.push(SequenceId::from(attempt));
        }
    }

    fn reserve(&mut self) {
        let hold = HoldSpec {
            request: "hold".to_owned(),
            attempt: self.rng.random_range(0..4),
            holder: "node-1".to_owned(),
            tokens: self.rng.random_range(0..200_000),
            lifetime: Duration::from_secs(3),
        };
        self.take_events();
        let free = self.engine.free_tokens();
        let granted = self.engine.reserve(self.now, &hold).is_ok();
        assert!(granted || hold.tokens > free);
    }

    fn release(&mut self) {
        let attempt = self.rng.random_range(0..4);
        self.engine.release(self.now, &"hold".to_owned(), attempt);
    }

    fn take_events(&mut self) {
        self.events.extend(self.engine.advance(self.now));
    }

    fn check_memory(&self) {
        let all = self.engine.used_tokens() + self.engine.idle_cache_tokens();
        assert!(all <= self.engine.profile().kv_capacity, "{all}");
    }

    /// Events with times from the start of the run.
    fn history(&self) -> Vec<(Duration, SequenceId, EventKind)> {
        let events = self.events.iter();
        events
            .map(|event| (event.at - self.start, event.sequence, event.kind))
            .collect()
    }
}

#[test]
fn all_memory_is_freed_and_tokens_arrive_in_order() {
    for seed in 0..20 {
        let mut run = EngineRun::new(seed, Instant::now());
        run.make_random_calls();
        assert_eq!(run.engine.used_tokens(), 0, "seed {seed}");
        assert_eq!(run.engine.report(run.now).prefill_backlog, 0, "seed {seed}");
        let mut finished = 0;
        let mut last = run.start;
        for event in &run.events {
            assert!(event.at >= last, "seed {seed}");
            last = event.at;
            let next = run
                .next_tokens
                .get_mut(&event.sequence)
                .expect("a submitted one");
            match event.kind {
                EventKind::Started { .. } => {}
                EventKind::Token { index } => {
                    assert_eq!(index, *next, "seed {seed}");
                    *next += 1;
                }
                EventKind::Finished { tokens } => {
                    assert_eq!(tokens, *next, "seed {seed}");
                    finished += 1;
                }
            }
        }
        assert_eq!(
            finished + run.cancelled.len(),
            run.next_tokens.len(),
            "seed {seed}"
        );
    }
}

#[test]
fn equal_seeds_give_equal_event_histories() {
    let start = Instant::now();
    let mut first = EngineRun::new(11, start);
    first.make_random_calls();
    let mut second = EngineRun::new(11, start + Duration::from_secs(5));
    second.make_random_calls();
    assert_eq!(first.history(), second.history());
}
