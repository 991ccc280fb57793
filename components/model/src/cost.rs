//! What work costs on one engine, in time and memory.
//!
//! The figures are those of a dense model of 70 billion weights on four
//! accelerators of 80 GB: weights and cache are read at memory speed in each
//! step, and prefill runs at the speed of the arithmetic units.

use std::time::Duration;

use types::{EngineId, EngineProfile, TokenCount, ZoneId};

/// KV memory of one engine, in tokens.
pub const KV_CAPACITY_TOKENS: TokenCount = 400_000;
/// Prefill speed of a short prompt, in tokens a second.
pub const PREFILL_TOKENS_S: f64 = 9_000.0;
/// Context length at which attention doubles the cost of a token, in tokens.
pub const ATTENTION_TOKENS: f64 = 100_000.0;
/// Decode step with one sequence and no context, in seconds.
pub const DECODE_STEP_S: f64 = 0.015;
/// Addition to a step for each sequence decoded in it, in seconds.
pub const DECODE_SEQUENCE_S: f64 = 0.000_11;
/// Addition to a step for each token of context read in it, in seconds.
pub const DECODE_CONTEXT_S: f64 = 0.000_000_035;
/// Addition to a step for each further engine on one of its sequences, in
/// seconds.
pub const MEMBER_STEP_S: f64 = 0.002;
/// Longest step that the engine plans, in seconds.
pub const STEP_LIMIT_S: f64 = 0.040;
/// Least time of a step that is left for prefill, in seconds.
pub const CHUNK_FLOOR_S: f64 = 0.010;
/// Most sequences decoded in one step.
pub const BATCH_LIMIT: u32 = 64;
/// Share of its speed that a further engine adds to one prefill.
pub const MEMBER_EFFICIENCY: f64 = 0.9;
/// Speed at which KV cache moves between engines, in tokens a second.
pub const KV_TRANSFER_TOKENS_S: f64 = 120_000.0;

/// The profile of one engine as the model has it.
#[must_use]
pub fn engine_profile(engine: EngineId, zone: ZoneId) -> EngineProfile {
    EngineProfile {
        engine,
        incarnation: 1,
        zone,
        kv_capacity: KV_CAPACITY_TOKENS,
        prefill_tokens_s: PREFILL_TOKENS_S,
        attention_tokens: ATTENTION_TOKENS,
        decode_step: Duration::from_secs_f64(DECODE_STEP_S),
        batch_limit: BATCH_LIMIT,
    }
}

/// Prefill speed of several engines on one sequence, over that of one engine.
///
/// `shares` gives for each further engine the part of its time it can lend.
#[must_use]
pub fn gang_pace(shares: impl IntoIterator<Item = f64>) -> f64 {
    let added: f64 = shares.into_iter().sum();
    1.0 + MEMBER_EFFICIENCY * added
}

/// Time to prefill `tokens` after a context of `context` at `pace`.
#[must_use]
pub fn prefill_time(
    profile: &EngineProfile,
    context: TokenCount,
    tokens: TokenCount,
    pace: f64,
) -> Duration {
    Duration::from_secs_f64(prefill_seconds(profile, context, tokens, pace))
}

/// Time that an answer of `tokens` after a context of `context` adds to the
/// steps of an engine that is busy anyway.
#[must_use]
pub fn decode_time(context: TokenCount, tokens: TokenCount) -> Duration {
    let each = DECODE_SEQUENCE_S + float(context) * DECODE_CONTEXT_S;
    Duration::from_secs_f64(float(tokens) * each)
}

/// Time to move the KV cache of `tokens` to another engine.
pub(crate) fn transfer_time(tokens: TokenCount) -> Duration {
    Duration::from_secs_f64(float(tokens) / KV_TRANSFER_TOKENS_S)
}

pub(crate) fn prefill_seconds(
    profile: &EngineProfile,
    context: TokenCount,
    tokens: TokenCount,
    pace: f64,
) -> f64 {
    let count = float(tokens);
    let attention = count * (float(context) + count / 2.0) / profile.attention_tokens;
    (count + attention) / (profile.prefill_tokens_s * pace)
}

/// Tokens that `seconds` of prefill cover after a context of `context`.
pub(crate) fn tokens_within(
    profile: &EngineProfile,
    context: TokenCount,
    seconds: f64,
    pace: f64,
) -> TokenCount {
    let cost = 1.0 + float(context) / profile.attention_tokens;
    let tokens = seconds * profile.prefill_tokens_s * pace / cost;
    whole(tokens).max(1)
}

/// Time that the sequences of a decode batch add to a step, in seconds.
pub(crate) fn batch_seconds(sequences: usize, context: TokenCount, members: u32) -> f64 {
    let sequences = float(u64::try_from(sequences).unwrap_or(u64::MAX));
    sequences * DECODE_SEQUENCE_S
        + float(context) * DECODE_CONTEXT_S
        + f64::from(members) * MEMBER_STEP_S
}

#[allow(clippy::cast_precision_loss)]
fn float(tokens: TokenCount) -> f64 {
    tokens as f64
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(tokens: f64) -> TokenCount {
    tokens.max(0.0) as TokenCount
}
