//! Time that work takes on an engine, learned from what engines did.

use std::time::Duration;

use types::{EngineProfile, TokenCount};

/// Weight of a new observation in the running means.
const LEARNING_RATE: f64 = 0.1;
/// Bounds of the learned factor on prefill.
const PREFILL_FACTOR_MIN: f64 = 0.5;
const PREFILL_FACTOR_MAX: f64 = 4.0;
/// Growth of a token's time over the empty engine's step, at first.
const INITIAL_TOKEN_TIME_FACTOR: f64 = 1.5;

/// Speeds of one engine.
#[derive(Clone, Debug)]
pub(crate) struct SpeedEstimate {
    prefill_factor: f64,
    token_seconds: f64,
}

impl SpeedEstimate {
    pub(crate) fn new(profile: &EngineProfile) -> Self {
        Self {
            prefill_factor: 1.0,
            token_seconds: profile.decode_step.as_secs_f64() * INITIAL_TOKEN_TIME_FACTOR,
        }
    }

    /// Time to prefill the tokens after `cached` of a prompt.
    pub(crate) fn prefill(
        &self,
        profile: &EngineProfile,
        cached: TokenCount,
        prompt: TokenCount,
    ) -> Duration {
        seconds(self.prefill_factor * ideal_prefill(profile, cached, prompt))
    }

    /// Time to generate `output` tokens.
    pub(crate) fn decode(&self, output: TokenCount) -> Duration {
        seconds(self.token_seconds * to_float(output))
    }

    /// Learns from a prefill that had the engine for itself.
    pub(crate) fn learn_prefill(&mut self, expected: Duration, taken: Duration) {
        if expected.is_zero() {
            return;
        }
        let ratio = taken.as_secs_f64() / expected.as_secs_f64();
        let target = (self.prefill_factor * ratio).clamp(PREFILL_FACTOR_MIN, PREFILL_FACTOR_MAX);
        self.prefill_factor += LEARNING_RATE * (target - self.prefill_factor);
    }

    /// Learns from an answer of `output` tokens that took `taken` after its
    /// first.
    pub(crate) fn learn_decode(&mut self, output: TokenCount, taken: Duration) {
        if output < 2 {
            return;
        }
        let each = taken.as_secs_f64() / to_float(output - 1);
        self.token_seconds += LEARNING_RATE * (each - self.token_seconds);
    }
}

/// Seconds to prefill on an engine that does nothing else.
pub(crate) fn ideal_prefill(
    profile: &EngineProfile,
    cached: TokenCount,
    prompt: TokenCount,
) -> f64 {
    let from = to_float(cached.min(prompt));
    let to = to_float(prompt);
    let attention = (to * to - from * from) / (2.0 * profile.attention_tokens.max(1.0));
    (to - from + attention) / profile.prefill_tokens_s.max(1.0)
}

/// A duration from seconds; nonsense becomes zero or a day.
pub(crate) fn seconds(value: f64) -> Duration {
    if value.is_nan() {
        return Duration::ZERO;
    }
    Duration::from_secs_f64(value.clamp(0.0, 86_400.0))
}

#[allow(clippy::cast_precision_loss)]
pub(crate) fn to_float(tokens: TokenCount) -> f64 {
    tokens as f64
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn to_tokens(tokens: f64) -> TokenCount {
    tokens.max(0.0) as TokenCount
}
