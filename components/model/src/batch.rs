//! What one step of the engine computes, and how long it takes.

use std::time::{Duration, Instant};

use types::{EngineProfile, TokenCount};

use crate::{SequenceId, cost, sequence::SequenceState};

/// A part of a prompt that is prefilled in one step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefillChunk {
    pub(crate) sequence: SequenceId,
    pub(crate) tokens: TokenCount,
}

/// The step that the engine computes now.
#[derive(Clone, Debug)]
pub(crate) struct StepPlan {
    pub(crate) ends: Instant,
    pub(crate) decodes: Vec<SequenceId>,
    pub(crate) chunks: Vec<PrefillChunk>,
}

/// Adds up a step while it is planned.
///
/// Decodes ride on the prefill of the same step: weights are read once, so a
/// step takes the longer of the two and the batch's own reads.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepBudget {
    decodes: Vec<SequenceId>,
    context: TokenCount,
    members: u32,
    chunks: Vec<PrefillChunk>,
    prefill_s: f64,
}

impl StepBudget {
    pub(crate) fn add_decode(&mut self, sequence: &SequenceState) {
        self.decodes.push(sequence.id);
        self.context += sequence.own_context();
        self.members += sequence.spec.members;
    }

    /// Takes a preempted sequence out of the step.
    pub(crate) fn remove(&mut self, id: SequenceId) {
        self.decodes.retain(|decode| *decode != id);
        self.chunks.retain(|chunk| chunk.sequence != id);
    }

    /// Plans the next part of a prompt; `false` when the step is full.
    pub(crate) fn add_chunk(&mut self, profile: &EngineProfile, sequence: &SequenceState) -> bool {
        let left_s = self.prefill_limit_s() - self.prefill_s;
        if left_s <= f64::EPSILON {
            return false;
        }
        let fitting = cost::tokens_within(profile, sequence.computed, left_s, sequence.pace);
        let tokens = fitting.min(sequence.prefill_left());
        self.prefill_s += cost::prefill_seconds(profile, sequence.computed, tokens, sequence.pace);
        self.chunks.push(PrefillChunk {
            sequence: sequence.id,
            tokens,
        });
        fitting > tokens
    }

    /// The finished plan; `None` when there is nothing to do.
    pub(crate) fn plan(
        self,
        profile: &EngineProfile,
        now: Instant,
        slowdown: f64,
    ) -> Option<StepPlan> {
        if self.decodes.is_empty() && self.chunks.is_empty() {
            return None;
        }
        let floor_s = if self.decodes.is_empty() {
            0.0
        } else {
            profile.decode_step.as_secs_f64()
        };
        let step_s = floor_s.max(self.prefill_s) + self.batch_s();
        Some(StepPlan {
            ends: now + Duration::from_secs_f64(step_s * slowdown),
            decodes: self.decodes,
            chunks: self.chunks,
        })
    }

    fn prefill_limit_s(&self) -> f64 {
        (cost::STEP_LIMIT_S - self.batch_s()).max(cost::CHUNK_FLOOR_S)
    }

    fn batch_s(&self) -> f64 {
        cost::batch_seconds(self.decodes.len(), self.context, self.members)
    }
}
