//! Timing model of an engine that runs prefill and decode in passes.
//!
//! A step takes a base time, a time per decoding sequence and a time per 1,000
//! tokens of context, the cost formula that such engines publish.
//!
//! A pass with decoding sequences takes `steps_per_pass` steps and produces one
//! event per decoding sequence; otherwise it takes one step. Each step can prefill
//! up to `chunk_tokens` prompt tokens, which adds their prefill time to the
//! pass. Shards prefilled for other engines run before the engine's own
//! prompts, the newest first; its own prompts run in order of arrival.

use std::{collections::VecDeque, time::Duration};

use types::TokenCount;

/// Identifies a request on every engine that works on it.
pub type JobId = u64;

/// Speed of an engine that runs in passes.
#[derive(Clone, Copy, Debug)]
pub struct PassSpec {
    /// Steps of a pass that has decoding sequences.
    pub steps_per_pass: u32,
    /// Base time of a step.
    pub step: Duration,
    /// Time that each decoding sequence adds to a step, in milliseconds.
    pub sequence_step_ms: f64,
    /// Time that each 1,000 tokens of context add to a step, in milliseconds.
    pub context_step_ms: f64,
    /// Most prompt tokens prefilled in a step.
    pub chunk_tokens: u32,
}

/// The part of a prompt that one engine prefills.
#[derive(Clone, Copy, Debug)]
pub struct PrefillShard {
    /// The request that the prompt belongs to.
    pub job: JobId,
    /// Tokens of the shard.
    pub tokens: TokenCount,
    /// Time to prefill the whole shard.
    pub time: Duration,
}

/// An outcome of a pass, reported when the pass ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PassEvent {
    /// A shard is fully prefilled.
    Prefilled(JobId),
    /// A decoding sequence produced one streamed part of its answer.
    Decoded(JobId),
    /// A decoding sequence produced the last part of its answer.
    Ended(JobId),
}

#[derive(Debug)]
struct PendingPrefill {
    job: JobId,
    tokens: f64,
    ms_per_token: f64,
}

#[derive(Debug)]
struct DecodingSequence {
    job: JobId,
    events: u32,
    context: TokenCount,
}

/// One engine; the caller advances the clock by the returned durations.
#[derive(Debug)]
pub struct PassEngine {
    spec: PassSpec,
    /// Shards prefilled for other engines, the newest last.
    for_others: Vec<PendingPrefill>,
    /// Shards of prompts that this engine answers, in order of arrival.
    own: VecDeque<PendingPrefill>,
    decoding: Vec<DecodingSequence>,
    /// Events of the pass in progress.
    pass: Option<Vec<PassEvent>>,
}

impl PassEngine {
    /// Creates an idle engine.
    #[must_use]
    pub fn new(spec: PassSpec) -> Self {
        Self {
            spec,
            for_others: Vec::new(),
            own: VecDeque::new(),
            decoding: Vec::new(),
            pass: None,
        }
    }

    /// Queues a shard of a prompt that another engine answers.
    pub fn prefill_for_other(&mut self, shard: PrefillShard) {
        self.for_others.push(PendingPrefill::new(shard));
    }

    /// Queues this engine's shard of a prompt that it answers itself.
    pub fn prefill_own(&mut self, shard: PrefillShard) {
        self.own.push_back(PendingPrefill::new(shard));
    }

    /// Starts decoding the answer to a prefilled prompt, which ends after
    /// `events` passes. `context` is the context length in tokens, taken as
    /// constant.
    pub fn decode(&mut self, job: JobId, events: u32, context: TokenCount) {
        self.decoding.push(DecodingSequence {
            job,
            events,
            context,
        });
    }

    /// Starts a pass and returns how long it takes; `None` when one is in
    /// progress or the engine is idle.
    pub fn start_pass(&mut self) -> Option<Duration> {
        let idle = self.for_others.is_empty() && self.own.is_empty() && self.decoding.is_empty();
        if idle || self.pass.is_some() {
            return None;
        }
        let steps = if self.decoding.is_empty() {
            1
        } else {
            self.spec.steps_per_pass
        };
        let mut events = Vec::new();
        let (prefill_ms, prefilled) =
            self.run_prefill(f64::from(steps) * f64::from(self.spec.chunk_tokens));
        for sequence in &mut self.decoding {
            sequence.events = sequence.events.saturating_sub(1);
            events.push(if sequence.events == 0 {
                PassEvent::Ended(sequence.job)
            } else {
                PassEvent::Decoded(sequence.job)
            });
        }
        let step = self.step_ms();
        self.decoding.retain(|sequence| sequence.events > 0);
        events.extend(prefilled.into_iter().map(PassEvent::Prefilled));
        self.pass = Some(events);
        let ms = f64::from(steps) * step + prefill_ms;
        Some(Duration::from_secs_f64(ms / 1e3))
    }

    /// Ends the pass in progress and returns its events, those of decoding
    /// sequences first.
    pub fn finish_pass(&mut self) -> Vec<PassEvent> {
        self.pass.take().unwrap_or_default()
    }

    fn step_ms(&self) -> f64 {
        let context: TokenCount = self.decoding.iter().map(|sequence| sequence.context).sum();
        let decoding = u32::try_from(self.decoding.len()).unwrap_or(u32::MAX);
        self.spec.step.as_secs_f64() * 1e3
            + self.spec.sequence_step_ms * f64::from(decoding)
            + self.spec.context_step_ms * as_f64(context) / 1e3
    }

    /// Prefills up to `budget` tokens; returns the time in milliseconds and the
    /// jobs whose shards are complete.
    fn run_prefill(&mut self, mut budget: f64) -> (f64, Vec<JobId>) {
        let mut ms = 0.0;
        let mut prefilled = Vec::new();
        while budget > 0.0 {
            let Some(next) = self.for_others.last_mut().or_else(|| self.own.front_mut()) else {
                break;
            };
            let tokens = next.tokens.min(budget);
            next.tokens -= tokens;
            budget -= tokens;
            ms += tokens * next.ms_per_token;
            if next.tokens <= f64::EPSILON {
                prefilled.push(next.job);
                if self.for_others.pop().is_none() {
                    self.own.pop_front();
                }
            }
        }
        (ms, prefilled)
    }
}

impl PendingPrefill {
    fn new(shard: PrefillShard) -> Self {
        let tokens = as_f64(shard.tokens).max(1.0);
        Self {
            job: shard.job,
            tokens,
            ms_per_token: shard.time.as_secs_f64() * 1e3 / tokens,
        }
    }
}

fn as_f64(value: u64) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}
