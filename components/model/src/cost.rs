//! Cost of prefill, decode and KV transfers on one engine.
//!
//! The figures are those of a dense model of 70 billion weights on four
//! accelerators of 80 GB: weights and cache are read at memory speed in each
//! step, and prefill runs at the speed of the arithmetic units.

use std::time::Duration;

use types::{EngineId, EngineProfile, TokenCount, ZoneId};

/// KV memory of one engine, in tokens.
pub const KV_CAPACITY_TOKENS: TokenCount = 400_000;
/// Prefill speed of a short prompt, in tokens per second.
pub const PREFILL_TOKENS_S: f64 = 9_000.0;
/// Context length at which attention doubles the cost of a token, in tokens.
pub const ATTENTION_TOKENS: f64 = 100_000.0;
/// Base time of a step that decodes, before the time per sequence and context,
/// in seconds.
pub const DECODE_STEP_S: f64 = 0.015;
/// Time that each decoded sequence adds to a step, in seconds.
pub const DECODE_SEQUENCE_S: f64 = 0.000_11;
/// Time that each token of context read adds to a step, in seconds.
pub const DECODE_CONTEXT_S: f64 = 0.000_000_035;
/// Time that each further engine of a gang adds to the steps of its sequence,
/// in seconds.
pub const MEMBER_STEP_S: f64 = 0.002;
/// Target length of a step, in seconds; lending, a large batch and the minimum
/// prefill time can lengthen it.
pub const STEP_LIMIT_S: f64 = 0.040;
/// Minimum prefill time in a step, also beside a large batch, in seconds.
pub const CHUNK_FLOOR_S: f64 = 0.010;
/// Most sequences decoded in one step.
pub const BATCH_LIMIT: u32 = 64;
/// Share of its own speed that each further engine adds to a gang prefill.
pub const MEMBER_EFFICIENCY: f64 = 0.9;
/// Speed of KV cache transfers between engines, in tokens per second.
pub const KV_TRANSFER_TOKENS_S: f64 = 120_000.0;

/// Builds the profile of a simulated engine.
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

/// Prefill speed of a gang on one sequence, relative to one engine.
///
/// `shares` gives the share of its time that each further engine can lend,
/// 0 to 1.
#[must_use]
pub fn gang_speedup(shares: impl IntoIterator<Item = f64>) -> f64 {
    let added: f64 = shares.into_iter().sum();
    1.0 + MEMBER_EFFICIENCY * added
}

/// Time to prefill `tokens` after `context` tokens, at `speedup` times the
/// speed of one engine.
#[must_use]
pub fn prefill_time(
    profile: &EngineProfile,
    context: TokenCount,
    tokens: TokenCount,
    speedup: f64,
) -> Duration {
    Duration::from_secs_f64(prefill_seconds(profile, context, tokens, speedup))
}

/// Time that decoding `tokens` after `context` tokens adds to the steps of an
/// engine that is busy with other work.
#[must_use]
pub fn decode_time(context: TokenCount, tokens: TokenCount) -> Duration {
    let each = DECODE_SEQUENCE_S + as_f64(context) * DECODE_CONTEXT_S;
    Duration::from_secs_f64(as_f64(tokens) * each)
}

/// Time to move the KV cache of `tokens` to another engine.
pub(crate) fn transfer_time(tokens: TokenCount) -> Duration {
    Duration::from_secs_f64(as_f64(tokens) / KV_TRANSFER_TOKENS_S)
}

pub(crate) fn prefill_seconds(
    profile: &EngineProfile,
    context: TokenCount,
    tokens: TokenCount,
    speedup: f64,
) -> f64 {
    let count = as_f64(tokens);
    let attention = count * (as_f64(context) + count / 2.0) / profile.attention_tokens;
    (count + attention) / (profile.prefill_tokens_s * speedup)
}

/// Tokens that can be prefilled in `seconds` after `context` tokens, at least
/// one.
pub(crate) fn tokens_within(
    profile: &EngineProfile,
    context: TokenCount,
    seconds: f64,
    speedup: f64,
) -> TokenCount {
    let cost = 1.0 + as_f64(context) / profile.attention_tokens;
    let tokens = seconds * profile.prefill_tokens_s * speedup / cost;
    as_tokens(tokens).max(1)
}

/// Time that the sequences of a decode batch add to a step, in seconds.
pub(crate) fn batch_seconds(sequences: usize, context: TokenCount, members: u32) -> f64 {
    let sequences = as_f64(u64::try_from(sequences).unwrap_or(u64::MAX));
    sequences * DECODE_SEQUENCE_S
        + as_f64(context) * DECODE_CONTEXT_S
        + f64::from(members) * MEMBER_STEP_S
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(tokens: TokenCount) -> f64 {
    tokens as f64
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn as_tokens(tokens: f64) -> TokenCount {
    tokens.max(0.0) as TokenCount
}
