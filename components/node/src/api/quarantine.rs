//! `/v1/operator/quarantine`: lists and clears prompts that crash engines.

use std::sync::Arc;

use engines::{DeathId, PromptFingerprint};
use entry::{ApiFailure, EntryRequest, FailureKind};
use serde::{Deserialize, Serialize};

use super::{
    ApiContext,
    access::require_operator,
    answer::{ApiResult, json_response},
};

/// A quarantined prompt, as operators see it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct QuarantinedPrompt {
    /// Fingerprint of the prompt, in hexadecimal.
    pub prompt: String,
    /// Engine incarnations that died while they ran the prompt.
    pub deaths: Vec<DeathId>,
    /// Remaining time of the quarantine, in milliseconds.
    pub left_ms: u64,
}

/// Lists the quarantined prompts.
///
/// # Errors
/// `ApiFailure` without an operator's key.
pub fn list(context: &Arc<ApiContext>, request: &EntryRequest) -> ApiResult {
    require_operator(context, request)?;
    let entries = context.quarantine.list().into_iter();
    let prompts: Vec<QuarantinedPrompt> = entries
        .map(|entry| QuarantinedPrompt {
            prompt: entry.fingerprint.to_hex(),
            deaths: entry.deaths,
            left_ms: u64::try_from(entry.left.as_millis()).unwrap_or(u64::MAX),
        })
        .collect();
    Ok(json_response(&prompts))
}

/// Clears one prompt on this node. Other nodes follow by gossip, which carries only the
/// newest deaths.
///
/// # Errors
/// `ApiFailure` without an operator's key, or when there is no record of the
/// prompt.
pub fn clear(context: &Arc<ApiContext>, request: &EntryRequest, prompt: &str) -> ApiResult {
    require_operator(context, request)?;
    let known = PromptFingerprint::from_hex(prompt);
    if known.is_some_and(|known| context.quarantine.clear(&known)) {
        return list(context, request);
    }
    let message = format!("nothing is held of prompt {prompt}");
    Err(ApiFailure::new(
        FailureKind::NotFound,
        "unknown_prompt",
        message,
    ))
}
