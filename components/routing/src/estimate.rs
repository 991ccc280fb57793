//! Estimates of prefill and decode time per engine, learned from measured
//! attempts.

use std::time::Duration;

use types::{EngineProfile, TokenCount};

/// Weight of a new observation in the exponential moving averages.
const LEARNING_RATE: f64 = 0.1;
/// Bounds of the learned factor on prefill time.
const PREFILL_FACTOR_MIN: f64 = 0.5;
const PREFILL_FACTOR_MAX: f64 = 4.0;
/// Initial time per output token, as a multiple of the empty engine's decode
/// step.
const INITIAL_TOKEN_TIME_FACTOR: f64 = 1.5;

/// Learned prefill and decode speed of one engine.
#[derive(Clone, Debug)]
pub(crate) struct SpeedEstimate {
    prefill_factor: f64,
    seconds_per_token: f64,
}

impl SpeedEstimate {
    pub(crate) fn new(profile: &EngineProfile) -> Self {
        Self {
            prefill_factor: 1.0,
            seconds_per_token: profile.decode_step.as_secs_f64() * INITIAL_TOKEN_TIME_FACTOR,
        }
    }

    /// Time to prefill the prompt's tokens after the first `cached`.
    pub(crate) fn prefill(
        &self,
        profile: &EngineProfile,
        cached: TokenCount,
        prompt: TokenCount,
    ) -> Duration {
        duration_from_secs(self.prefill_factor * ideal_prefill_seconds(profile, cached, prompt))
    }

    /// Time to generate `output` tokens.
    pub(crate) fn decode(&self, output: TokenCount) -> Duration {
        duration_from_secs(self.seconds_per_token * to_float(output))
    }

    /// Updates the prefill factor from a prefill that ran alone on the engine.
    pub(crate) fn learn_prefill(&mut self, expected: Duration, taken: Duration) {
        if expected.is_zero() {
            return;
        }
        let ratio = taken.as_secs_f64() / expected.as_secs_f64();
        let target = (self.prefill_factor * ratio).clamp(PREFILL_FACTOR_MIN, PREFILL_FACTOR_MAX);
        self.prefill_factor += LEARNING_RATE * (target - self.prefill_factor);
    }

    /// Updates the time per token from an answer of `output` tokens, the last
    /// of which came `taken` after the first.
    pub(crate) fn learn_decode(&mut self, output: TokenCount, taken: Duration) {
        if output < 2 {
            return;
        }
        let measured = taken.as_secs_f64() / to_float(output - 1);
        self.seconds_per_token += LEARNING_RATE * (measured - self.seconds_per_token);
    }
}

/// Seconds to prefill on an otherwise idle engine, by its profile.
pub(crate) fn ideal_prefill_seconds(
    profile: &EngineProfile,
    cached: TokenCount,
    prompt: TokenCount,
) -> f64 {
    let start = to_float(cached.min(prompt));
    let end = to_float(prompt);
    let attention = (end * end - start * start) / (2.0 * profile.attention_tokens.max(1.0));
    (end - start + attention) / profile.prefill_tokens_s.max(1.0)
}

/// Converts seconds to a duration; NaN and negative values become zero, and
/// values above a day become a day.
pub(crate) fn duration_from_secs(value: f64) -> Duration {
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
