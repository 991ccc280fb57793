//! What a prompt costs, as fairness counts it.

use types::TokenCount;

/// Prompt tokens that cost as much engine time as one generated token.
const OUTPUT_WEIGHT: TokenCount = 4;

/// Cost of a prompt in prompt tokens: what is computed of the prompt, and the
/// answer at its weight.
#[must_use]
pub fn job_cost(computed_tokens: TokenCount, output_tokens: TokenCount) -> TokenCount {
    computed_tokens.saturating_add(output_tokens.saturating_mul(OUTPUT_WEIGHT))
}
