//! Estimates of the time and KV cache memory that a prompt takes on a model
//! engine.

use std::time::Duration;

use types::TokenCount;

use crate::EngineSpec;

/// Size of a prompt and of the longest answer to it, in tokens.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PromptSize {
    /// Tokens to prefill.
    pub prompt: TokenCount,
    /// Most tokens to decode.
    pub answer: TokenCount,
}

impl PromptSize {
    /// KV cache memory that the request takes at its end, in tokens.
    #[must_use]
    pub fn kv_cache_tokens(self) -> TokenCount {
        self.prompt.saturating_add(self.answer)
    }
}

impl EngineSpec {
    /// Time of a forward pass that decodes `sequences` answers whose contexts
    /// hold `context_tokens` together.
    #[must_use]
    pub fn pass_time(&self, sequences: u32, context_tokens: TokenCount) -> Duration {
        let step = self.step_time.as_secs_f64() * 1e3
            + self.sequence_step_ms * f64::from(sequences)
            + self.context_step_ms * thousands(context_tokens);
        Duration::from_secs_f64(step * f64::from(self.steps_per_pass) / 1e3)
    }

    /// Time to decode `tokens` of one answer while all slots are in use, without the cost of
    /// their contexts.
    #[must_use]
    pub fn decode_time(&self, tokens: TokenCount) -> Duration {
        let passes = tokens.div_ceil(u64::from(self.steps_per_pass.max(1)));
        let passes = u32::try_from(passes).unwrap_or(u32::MAX);
        self.pass_time(self.slots, 0).saturating_mul(passes)
    }
}

/// Time that each of `engines` takes to prefill its equal shard of `prompt`
/// tokens.
#[must_use]
pub fn prefill_time(spec: &EngineSpec, prompt: TokenCount, engines: usize) -> Duration {
    let engines = f64::from(u32::try_from(engines.max(1)).unwrap_or(u32::MAX));
    let tokens = thousands(prompt);
    let million_pairs = tokens * tokens / 2.0;
    let linear_ms = tokens * 1e3 / spec.prefill_tokens_per_ms.max(f64::MIN_POSITIVE);
    let total_ms = linear_ms + million_pairs * spec.attention_pairs_ms;
    Duration::from_secs_f64(total_ms / engines / 1e3)
}

fn thousands(tokens: TokenCount) -> f64 {
    f64::from(u32::try_from(tokens).unwrap_or(u32::MAX)) / 1e3
}
