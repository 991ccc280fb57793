//! Runs the engine simulation from step to step.

use std::{
    ops::Bound::{Excluded, Unbounded},
    time::Instant,
};

use types::{CACHE_BLOCK_TOKENS, TokenCount};

use crate::{
    EngineModel, EventKind, ModelEvent, SequenceId,
    batch::{LendingLoad, StepBudget},
    sequence::{QueueKey, SequencePhase},
};

impl EngineModel {
    pub(crate) fn run_until(&mut self, now: Instant) {
        while let Some(at) = self.next_event_at().filter(|at| *at <= now) {
            self.holds.expire(at);
            if self.step.as_ref().is_some_and(|step| step.ends <= at) {
                self.finish_step(at);
            }
            self.plan_step(at);
        }
    }

    fn finish_step(&mut self, at: Instant) {
        let Some(step) = self.step.take() else {
            return;
        };
        self.last_step_end = Some(at);
        for id in step.decodes {
            self.emit_token(at, id);
        }
        for chunk in step.chunks {
            self.finish_chunk(at, chunk.sequence, chunk.tokens);
        }
    }

    fn finish_chunk(&mut self, at: Instant, id: SequenceId, tokens: TokenCount) {
        let Some(sequence) = self.sequences.get_mut(&id) else {
            return;
        };
        sequence.computed += tokens;
        self.backlog -= tokens;
        if sequence.remaining_prefill() > 0 {
            return;
        }
        sequence.phase = SequencePhase::Decoding;
        let key = sequence.key();
        self.prefills.remove(&key);
        self.decodes.insert(key);
        self.store_prefix(id);
        self.emit_token(at, id);
    }

    /// Moves the whole blocks of a computed prompt from private memory to the
    /// prefix cache.
    fn store_prefix(&mut self, id: SequenceId) {
        let Some(sequence) = self.sequences.get_mut(&id) else {
            return;
        };
        let blocks = sequence.shareable_prefixes().len();
        let from = sequence.shared_blocks.min(blocks);
        self.cache
            .acquire(from, &sequence.shareable_prefixes()[from..]);
        let moved = u64::try_from(blocks - from).unwrap_or(0) * CACHE_BLOCK_TOKENS;
        sequence.shared_blocks = blocks;
        sequence.private_tokens -= moved;
        self.private_tokens -= moved;
        self.shrink_cache();
    }

    fn emit_token(&mut self, at: Instant, id: SequenceId) {
        let Some(sequence) = self.sequences.get_mut(&id) else {
            return;
        };
        if !sequence.is_complete() {
            let index = sequence.next_token;
            sequence.next_token += 1;
            sequence.computed += 1;
            self.generated += 1;
            self.events.push(ModelEvent {
                at,
                sequence: id,
                kind: EventKind::Token { index },
            });
        }
        if !sequence.is_complete() {
            return;
        }
        let tokens = sequence.next_token;
        self.end_sequence(id);
        self.events.push(ModelEvent {
            at,
            sequence: id,
            kind: EventKind::Finished { tokens },
        });
    }

    pub(crate) fn plan_step(&mut self, now: Instant) {
        if self.step.is_some() {
            return;
        }
        self.wake_at = None;
        let mut budget = StepBudget::default();
        let limit = usize::try_from(self.profile.batch_limit).unwrap_or(usize::MAX);
        for key in self.decodes.iter().take(limit) {
            budget.add_decode(&self.sequences[&key.sequence]);
        }
        self.plan_prefills(now, &mut budget);
        let was_idle = self.last_step_end != Some(now);
        let lending = self
            .holds
            .lending_priority()
            .map(|priority| LendingLoad { priority, was_idle });
        self.step = budget.plan(&self.profile, now, lending);
    }

    /// Fills the rest of a step with prefill chunks in order of priority. When
    /// a prompt gets no memory, those behind it wait; one whose import is not
    /// complete is skipped.
    fn plan_prefills(&mut self, now: Instant, budget: &mut StepBudget) {
        let mut last = None;
        while let Some(key) = self.next_prefill(last) {
            last = Some(key);
            let sequence = &self.sequences[&key.sequence];
            if sequence.phase == SequencePhase::Waiting {
                let ready = self.ready_at(now, key.sequence);
                if ready > now {
                    self.wake_at = Some(self.wake_at.map_or(ready, |wake_at| wake_at.min(ready)));
                    continue;
                }
                if !self.start_sequence(now, key, budget) {
                    return;
                }
            }
            if !budget.add_chunk(&self.profile, &self.sequences[&key.sequence]) {
                return;
            }
        }
    }

    fn next_prefill(&self, after: Option<QueueKey>) -> Option<QueueKey> {
        let from = after.map_or(Unbounded, Excluded);
        self.prefills.range((from, Unbounded)).next().copied()
    }

    fn ready_at(&self, now: Instant, id: SequenceId) -> Instant {
        let key = self.sequences[&id].attempt_key();
        self.holds.ready_at(&key).unwrap_or(now)
    }
}
