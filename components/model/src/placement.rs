//! Assigns KV memory to sequences: start, preemption and end.

use std::time::Instant;

use types::{CACHE_BLOCK_TOKENS, TokenCount};

use crate::{
    EngineModel, EventKind, ModelEvent, SequenceId,
    batch::StepBudget,
    sequence::{QueueKey, SequencePhase},
};

impl EngineModel {
    /// Gives a queued sequence its KV memory, by preemption if needed, and starts
    /// its prefill; its hold is used up. Returns `false` when too little memory
    /// can be freed.
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
        let matching = self.cache.matching_blocks(sequence.shareable_prefixes());
        self.cache
            .acquire(0, &sequence.shareable_prefixes()[..matching]);
        let shared = u64::try_from(matching).unwrap_or(0) * CACHE_BLOCK_TOKENS;
        let last = sequence.prefill_target().saturating_sub(1);
        sequence.phase = SequencePhase::Prefilling;
        sequence.shared_blocks = matching;
        sequence.computed = shared.max(filled).min(last);
        sequence.private_tokens = sequence.spec.own_tokens().saturating_sub(shared);
        self.private_tokens += sequence.private_tokens;
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
        let matching = self.cache.matching_blocks(sequence.shareable_prefixes());
        let matched = &sequence.shareable_prefixes()[..matching];
        let shared = u64::try_from(matching).unwrap_or(0) * CACHE_BLOCK_TOKENS;
        let needed = sequence.spec.own_tokens().saturating_sub(shared);
        let held = self.holds.size_of(&sequence.attempt_key());
        needed + self.cache.idle_tokens_in(matched) <= self.free_tokens() + held
    }

    /// Preempts sequences with a higher priority number, the highest and newest
    /// first, if that can free enough memory.
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
        sequence.private_tokens + shared * CACHE_BLOCK_TOKENS
    }

    /// Returns a sequence to the queue; all its computed context is lost except
    /// its cache blocks.
    fn preempt(&mut self, key: QueueKey, budget: &mut StepBudget) {
        self.release_memory(key.sequence);
        self.decodes.remove(&key);
        self.prefills.insert(key);
        if let Some(sequence) = self.sequences.get_mut(&key.sequence) {
            self.backlog -= sequence.remaining_prefill();
            sequence.phase = SequencePhase::Waiting;
            sequence.computed = 0;
            self.backlog += sequence.remaining_prefill();
        }
        budget.remove(key.sequence);
    }

    pub(crate) fn end_sequence(&mut self, id: SequenceId) {
        self.release_memory(id);
        let Some(sequence) = self.sequences.remove(&id) else {
            return;
        };
        self.backlog -= sequence.remaining_prefill();
        self.prefills.remove(&sequence.key());
        self.decodes.remove(&sequence.key());
        self.attempts.remove(&sequence.attempt_key());
    }

    fn release_memory(&mut self, id: SequenceId) {
        let Some(sequence) = self.sequences.get_mut(&id) else {
            return;
        };
        let shared = sequence.shared_blocks;
        self.private_tokens -= sequence.private_tokens;
        sequence.private_tokens = 0;
        sequence.shared_blocks = 0;
        let blocks = &self.sequences[&id].shareable_prefixes()[..shared];
        self.cache.release(blocks);
    }

    pub(crate) fn shrink_cache(&mut self) {
        let free = self.free_tokens();
        self.cache.shrink_idle(free);
    }
}
