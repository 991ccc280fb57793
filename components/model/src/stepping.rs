//! How the engine model moves from step to step.

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
        self.step_ended = Some(at);
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
        if sequence.prefill_left() > 0 {
            return;
        }
        sequence.phase = SequencePhase::Decoding;
        let key = sequence.key();
        self.prefills.remove(&key);
        self.decodes.insert(key);
        self.store_prefix(id);
        self.emit_token(at, id);
    }

    /// Moves a computed prompt's whole blocks from the sequence to the cache.
    fn store_prefix(&mut self, id: SequenceId) {
        let Some(sequence) = self.sequences.get_mut(&id) else {
            return;
        };
        let blocks = sequence.sharable().len();
        let from = sequence.shared_blocks.min(blocks);
        self.cache.take(from, &sequence.sharable()[from..]);
        let moved = u64::try_from(blocks - from).unwrap_or(0) * CACHE_BLOCK_TOKENS;
        sequence.shared_blocks = blocks;
        sequence.private -= moved;
        self.private -= moved;
        self.shrink_cache();
    }

    fn emit_token(&mut self, at: Instant, id: SequenceId) {
        let Some(sequence) = self.sequences.get_mut(&id) else {
            return;
        };
        if !sequence.answered() {
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
        if !sequence.answered() {
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
        self.wake = None;
        let mut budget = StepBudget::default();
        let limit = usize::try_from(self.profile.batch_limit).unwrap_or(usize::MAX);
        for key in self.decodes.iter().take(limit) {
            budget.add_decode(&self.sequences[&key.sequence]);
        }
        self.plan_prefills(now, &mut budget);
        let was_idle = self.step_ended != Some(now);
        let lending = self
            .holds
            .lending()
            .map(|priority| LendingLoad { priority, was_idle });
        self.step = budget.plan(&self.profile, now, lending);
    }

    /// Gives the rest of a step to prompts in order of priority; one that
    /// gets no memory keeps those behind it waiting.
    fn plan_prefills(&mut self, now: Instant, budget: &mut StepBudget) {
        let mut last = None;
        while let Some(key) = self.next_prefill(last) {
            last = Some(key);
            let sequence = &self.sequences[&key.sequence];
            if sequence.phase == SequencePhase::Waiting {
                let ready = self.ready_at(now, key.sequence);
                if ready > now {
                    self.wake = Some(self.wake.map_or(ready, |wake| wake.min(ready)));
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
