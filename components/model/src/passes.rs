//! A model engine that works in passes, by the arithmetic that such engines
//! publish: steps of all writers, then reading, one pass after the other.
//!
//! A pass with writers takes `steps_per_pass` steps and gives each writer one event;
//! without writers it takes one step. Each step leaves room for `chunk_tokens` tokens
//! of prompts. Parts that the engine reads for others go before its own
//! prompts, the newest part first; its own prompts are read in order.

use std::{collections::VecDeque, time::Duration};

use types::TokenCount;

/// Names a request at several engines.
pub type JobId = u64;

/// Speed of an engine that works in passes.
#[derive(Clone, Copy, Debug)]
pub struct PassSpec {
    /// Token steps of a pass that has writers.
    pub steps_per_pass: u32,
    /// Base time of a token step.
    pub step: Duration,
    /// Time a step takes longer for each writer, in milliseconds.
    pub sequence_step_ms: f64,
    /// Time a step takes longer for 1,000 tokens of context, in milliseconds.
    pub context_step_ms: f64,
    /// Most prompt tokens read in a step.
    pub chunk_tokens: u32,
}

/// A part of a prompt: its tokens and the time to read them.
#[derive(Clone, Copy, Debug)]
pub struct PrefillShard {
    /// The request.
    pub job: JobId,
    /// Tokens of the part.
    pub tokens: TokenCount,
    /// Time to read all of it.
    pub time: Duration,
}

/// What a pass brought.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PassEvent {
    /// A part was read to its end.
    Prefilled(JobId),
    /// A writer's event.
    Decoded(JobId),
    /// A writer's last event.
    Ended(JobId),
}

#[derive(Debug)]
struct Reading {
    job: JobId,
    tokens: f64,
    ms_per_token: f64,
}

#[derive(Debug)]
struct Writer {
    job: JobId,
    events: u32,
    context: TokenCount,
}

/// One engine; the caller keeps its clock.
#[derive(Debug)]
pub struct PassEngine {
    spec: PassSpec,
    /// Parts for others, the newest last.
    parts: Vec<Reading>,
    own: VecDeque<Reading>,
    writers: Vec<Writer>,
    /// Outcome of the pass under way.
    pass: Option<Vec<PassEvent>>,
}

impl PassEngine {
    /// An idle engine.
    #[must_use]
    pub fn new(spec: PassSpec) -> Self {
        Self {
            spec,
            parts: Vec::new(),
            own: VecDeque::new(),
            writers: Vec::new(),
            pass: None,
        }
    }

    /// Takes a part of a prompt that another engine answers.
    pub fn prefill_for_other(&mut self, part: PrefillShard) {
        self.parts.push(Reading::new(part));
    }

    /// Takes this engine's part of a prompt that it answers.
    pub fn prefill_own(&mut self, part: PrefillShard) {
        self.own.push_back(Reading::new(part));
    }

    /// Starts to write the answer of a prompt that has been read.
    pub fn decode(&mut self, job: JobId, events: u32, context: TokenCount) {
        self.writers.push(Writer {
            job,
            events,
            context,
        });
    }

    /// Starts a pass; `None` when one is under way or there is nothing to do.
    /// The pass ends after the time returned.
    pub fn start_pass(&mut self) -> Option<Duration> {
        let idle = self.parts.is_empty() && self.own.is_empty() && self.writers.is_empty();
        if idle || self.pass.is_some() {
            return None;
        }
        let steps = if self.writers.is_empty() {
            1
        } else {
            self.spec.steps_per_pass
        };
        let mut events = Vec::new();
        let (read_ms, read) = self.read(f64::from(steps) * f64::from(self.spec.chunk_tokens));
        for writer in &mut self.writers {
            writer.events = writer.events.saturating_sub(1);
            events.push(if writer.events == 0 {
                PassEvent::Ended(writer.job)
            } else {
                PassEvent::Decoded(writer.job)
            });
        }
        let step = self.step_ms();
        self.writers.retain(|writer| writer.events > 0);
        events.extend(read.into_iter().map(PassEvent::Prefilled));
        self.pass = Some(events);
        let ms = f64::from(steps) * step + read_ms;
        Some(Duration::from_secs_f64(ms / 1e3))
    }

    /// Ends the pass under way; what it brought, writers first.
    pub fn finish_pass(&mut self) -> Vec<PassEvent> {
        self.pass.take().unwrap_or_default()
    }

    fn step_ms(&self) -> f64 {
        let context: TokenCount = self.writers.iter().map(|writer| writer.context).sum();
        let writers = u32::try_from(self.writers.len()).unwrap_or(u32::MAX);
        self.spec.step.as_secs_f64() * 1e3
            + self.spec.sequence_step_ms * f64::from(writers)
            + self.spec.context_step_ms * float(context) / 1e3
    }

    /// Reads up to `room` tokens; the time in milliseconds, and what ended.
    fn read(&mut self, mut room: f64) -> (f64, Vec<JobId>) {
        let mut ms = 0.0;
        let mut read = Vec::new();
        while room > 0.0 {
            let Some(next) = self.parts.last_mut().or_else(|| self.own.front_mut()) else {
                break;
            };
            let tokens = next.tokens.min(room);
            next.tokens -= tokens;
            room -= tokens;
            ms += tokens * next.ms_per_token;
            if next.tokens <= f64::EPSILON {
                read.push(next.job);
                if self.parts.pop().is_none() {
                    self.own.pop_front();
                }
            }
        }
        (ms, read)
    }
}

impl Reading {
    fn new(part: PrefillShard) -> Self {
        let tokens = float(part.tokens).max(1.0);
        Self {
            job: part.job,
            tokens,
            ms_per_token: part.time.as_secs_f64() * 1e3 / tokens,
        }
    }
}

fn float(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
