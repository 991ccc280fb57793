//! Plans one engine step: which sequences it computes and how long it takes.

use std::time::{Duration, Instant};

use types::{EngineProfile, TokenCount};

use crate::{SequenceId, cost, sequence::SequenceState};

/// The tokens of one prompt that are prefilled in one step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefillChunk {
    pub(crate) sequence: SequenceId,
    pub(crate) tokens: TokenCount,
}

/// The step in progress.
#[derive(Clone, Debug)]
pub(crate) struct StepPlan {
    pub(crate) ends: Instant,
    pub(crate) decodes: Vec<SequenceId>,
    pub(crate) chunks: Vec<PrefillChunk>,
    /// Share of the engine's time for sequences that it lends compute to, 0 to 1;
    /// 1 when it lends to none.
    pub(crate) lending_share: f64,
}

/// Work for another engine's sequence that this engine lends compute to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LendingLoad {
    pub(crate) priority: u32,
    /// Whether the engine was otherwise idle until now.
    pub(crate) was_idle: bool,
}

#[derive(Clone, Copy, Debug)]
struct StepTime {
    step_s: f64,
    lending_share: f64,
}

/// Factor on the step time while the engine is shared evenly with lending.
const EVEN_SLOWDOWN: f64 = 2.0;
/// Share of the engine's time for lending while it is shared evenly.
const EVEN_SHARE: f64 = 0.5;

/// Accumulates the work of a step while it is planned.
///
/// Decodes share the step with prefill, as the weights are read once for both.
/// A step takes the longer of the two plus the per-sequence cost of the batch.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepBudget {
    decodes: Vec<SequenceId>,
    context: TokenCount,
    members: u32,
    chunks: Vec<PrefillChunk>,
    prefill_s: f64,
    /// Lowest priority number among the chunks, the most urgent.
    priority: Option<u32>,
}

impl StepBudget {
    pub(crate) fn add_decode(&mut self, sequence: &SequenceState) {
        self.decodes.push(sequence.id);
        self.context += sequence.own_context();
        self.members += sequence.spec.members;
    }

    /// Removes a preempted sequence from the step.
    pub(crate) fn remove(&mut self, id: SequenceId) {
        self.decodes.retain(|decode| *decode != id);
        self.chunks.retain(|chunk| chunk.sequence != id);
    }

    /// Adds the next chunk of a prompt if the step has room; returns whether
    /// there is room for more.
    pub(crate) fn add_chunk(&mut self, profile: &EngineProfile, sequence: &SequenceState) -> bool {
        let left_s = self.prefill_limit_s() - self.prefill_s;
        if left_s <= f64::EPSILON {
            return false;
        }
        let fitting = cost::tokens_within(profile, sequence.computed, left_s, sequence.speedup);
        let tokens = fitting.min(sequence.remaining_prefill());
        self.prefill_s +=
            cost::prefill_seconds(profile, sequence.computed, tokens, sequence.speedup);
        let priority = sequence.spec.priority;
        self.priority = Some(self.priority.map_or(priority, |best| best.min(priority)));
        self.chunks.push(PrefillChunk {
            sequence: sequence.id,
            tokens,
        });
        fitting > tokens
    }

    /// Builds the plan; `None` when the step has no work.
    pub(crate) fn plan(
        self,
        profile: &EngineProfile,
        now: Instant,
        lending: Option<LendingLoad>,
    ) -> Option<StepPlan> {
        if self.decodes.is_empty() && self.chunks.is_empty() {
            return None;
        }
        let time = self.step_time(profile, lending);
        Some(StepPlan {
            ends: now + Duration::from_secs_f64(time.step_s),
            decodes: self.decodes,
            chunks: self.chunks,
            lending_share: time.lending_share,
        })
    }

    fn step_time(&self, profile: &EngineProfile, lending: Option<LendingLoad>) -> StepTime {
        let base_s = if self.decodes.is_empty() {
            0.0
        } else {
            profile.decode_step.as_secs_f64()
        };
        let step_s = base_s.max(self.prefill_s) + self.batch_s();
        let alone = StepTime {
            step_s,
            lending_share: 1.0,
        };
        let Some(lending) = lending else {
            return alone;
        };
        // Mean time left of the lent chunk in progress.
        let residual_s = if lending.was_idle {
            cost::STEP_LIMIT_S / 2.0
        } else {
            0.0
        };
        match self.priority {
            None => StepTime {
                step_s: step_s.max(cost::STEP_LIMIT_S),
                lending_share: 1.0,
            },
            Some(priority) if priority < lending.priority => StepTime {
                step_s: step_s + residual_s,
                lending_share: 0.0,
            },
            Some(_) => StepTime {
                step_s: step_s * EVEN_SLOWDOWN,
                lending_share: EVEN_SHARE,
            },
        }
    }

    fn prefill_limit_s(&self) -> f64 {
        (cost::STEP_LIMIT_S - self.batch_s()).max(cost::CHUNK_FLOOR_S)
    }

    fn batch_s(&self) -> f64 {
        cost::batch_seconds(self.decodes.len(), self.context, self.members)
    }
}
