//! Which sequences hold memory: start, preemption and end.

use std::time::Instant;

use types::{CACHE_BLOCK_TOKENS, TokenCount};

use crate::{
    EngineModel, EventKind, ModelEvent, SequenceId,
    batch::StepBudget,
    sequence::{QueueKey, SequencePhase},
};

impl EngineModel {
    pub(crate) fn start_sequence(
        &mut self,
        now: Instant,
        key: QueueKey,
        budget: &mut StepBudget,
    ) -> bool {
        let id = key.sequence;
        if !self.has_memory_for(id) && !self.preempt_for(key, budget) {
            return false;
        }
        let attempt_key = self.sequences[&id].attempt_key();
        let hold = self.holds.remove(&attempt_key);
        let filled = hold.map_or(0, |hold| hold.filled);
        let Some(sequence) = self.sequences.get_mut(&id) else {
            return false;
        };
        let matching = self.cache.matching(sequence.sharable());
        self.cache.take(0, &sequence.sharable()[..matching]);
        let shared = u64::try_from(matching).unwrap_or(0) * CACHE_BLOCK_TOKENS;
        let last = sequence.prefill_goal().saturating_sub(1);
        sequence.phase = SequencePhase::Prefilling;
        sequence.shared_blocks = matching;
        sequence.computed = shared.max(filled).min(last);
        sequence.private = sequence.spec.own_tokens().saturating_sub(shared);
        self.private += sequence.private;
        self.backlog -= sequence.computed;
        let kind = EventKind::Started {
            prompt_tokens: sequence.spec.prompt_tokens,
            cached_tokens: sequence.computed,
        };
        self.shrink_cache();
        self.events.push(ModelEvent {
            at: now,
            sequence: id,
            kind,
        });
        true
    }

    fn has_memory_for(&self, id: SequenceId) -> bool {
        let sequence = &self.sequences[&id];
        let matching = self.cache.matching(sequence.sharable());
        let matched = &sequence.sharable()[..matching];
        let shared = u64::try_from(matching).unwrap_or(0) * CACHE_BLOCK_TOKENS;
        let needed = sequence.spec.own_tokens().saturating_sub(shared);
        let held = self.holds.size_of(&sequence.attempt_key());
        needed + self.cache.idle_among(matched) <= self.free_tokens() + held
    }

    /// Takes the memory of sequences with a higher priority number, the last
    /// come first, when that is enough.
    fn preempt_for(&mut self, key: QueueKey, budget: &mut StepBudget) -> bool {
        let mut victims: Vec<QueueKey> = self
            .prefills
            .iter()
            .chain(&self.decodes)
            .filter(|victim| victim.priority > key.priority)
            .filter(|victim| self.sequences[&victim.sequence].phase != SequencePhase::Waiting)
            .copied()
            .collect();
        victims.sort_unstable_by(|left, right| right.cmp(left));
        let gain: TokenCount = victims.iter().map(|victim| self.memory_of(*victim)).sum();
        let needed = self.sequences[&key.sequence].spec.own_tokens();
        if needed > self.free_tokens() + gain {
            return false;
        }
        for victim in victims {
            self.preempt(victim, budget);
            if self.has_memory_for(key.sequence) {
                return true;
            }
        }
        false
    }

    fn memory_of(&self, key: QueueKey) -> TokenCount {
        let sequence = &self.sequences[&key.sequence];
        let shared = u64::try_from(sequence.shared_blocks).unwrap_or(0);
        sequence.private + shared * CACHE_BLOCK_TOKENS
    }

    /// Sends a sequence back to the queue; what it computed is lost but for
    /// its cache blocks.
    fn preempt(&mut self, key: QueueKey, budget: &mut StepBudget) {
        self.free_memory(key.sequence);
        self.decodes.remove(&key);
        self.prefills.insert(key);
        if let Some(sequence) = self.sequences.get_mut(&key.sequence) {
            self.backlog -= sequence.prefill_left();
            sequence.phase = SequencePhase::Waiting;
            sequence.computed = 0;
            self.backlog += sequence.prefill_left();
        }
        budget.remove(key.sequence);
    }

    pub(crate) fn end_sequence(&mut self, id: SequenceId) {
        self.free_memory(id);
        let Some(sequence) = self.sequences.remove(&id) else {
            return;
        };
        self.backlog -= sequence.prefill_left();
        self.prefills.remove(&sequence.key());
        self.decodes.remove(&sequence.key());
        self.attempts.remove(&sequence.attempt_key());
    }

    fn free_memory(&mut self, id: SequenceId) {
        let Some(sequence) = self.sequences.get_mut(&id) else {
            return;
        };
        let shared = sequence.shared_blocks;
        self.private -= sequence.private;
        sequence.private = 0;
        sequence.shared_blocks = 0;
        let blocks = &self.sequences[&id].sharable()[..shared];
        self.cache.leave(blocks);
    }

    pub(crate) fn shrink_cache(&mut self) {
        let free = self.free_tokens();
        self.cache.shrink_idle(free);
    }
}
