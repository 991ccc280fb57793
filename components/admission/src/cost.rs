//! Cost of a prompt for fair sharing between organisations.

use types::TokenCount;

/// Number of prefilled prompt tokens that take as much engine time as one
/// generated token.
const OUTPUT_WEIGHT: TokenCount = 4;

/// Cost of a job in units of one prefilled prompt token: the prompt tokens to
/// prefill (not found in the prefix cache) plus the weighted output tokens.
#[must_use]
pub fn job_cost(computed_tokens: TokenCount, output_tokens: TokenCount) -> TokenCount {
    computed_tokens.saturating_add(output_tokens.saturating_mul(OUTPUT_WEIGHT))
}
