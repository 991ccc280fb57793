//! `GET /v1/addresses`: addresses of the nodes that a caller should use.

use std::sync::{Arc, PoisonError};

use entry::{ApiFailure, EntryRequest, FailureKind};
use membership::{AddressCandidate, AddressRequest, MemberRecord};
use serde::{Deserialize, Serialize};
use types::TokenCount;

use super::{
    ApiContext,
    answer::{ApiResult, json_response},
};

/// Address answer: the nodes that a caller should use.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AddressAnswer {
    /// Node addresses, best first; the others are alternatives.
    pub addresses: Vec<String>,
    /// Time for which the caller may cache the answer, in milliseconds.
    pub keep_for_ms: u64,
}

/// Returns the addresses of nodes that accept new work, ordered by the planner for the
/// caller's zone, organisation and prompt length.
///
/// # Errors
/// `ApiFailure` when a query parameter is malformed, or when no node accepts new
/// work.
pub fn list_addresses(context: &Arc<ApiContext>, request: &EntryRequest) -> ApiResult {
    let hints = address_request(context, request)?;
    let candidates = candidates(context);
    let answer = {
        let planner = context.addresses.lock();
        let mut planner = planner.unwrap_or_else(PoisonError::into_inner);
        planner.answer(context.clock.now(), &hints, &candidates)
    };
    if answer.addresses.is_empty() {
        return Err(ApiFailure::new(
            FailureKind::Unavailable,
            "no_node",
            "no node takes new work; ask again",
        )
        .with_retry_after(answer.valid_for));
    }
    Ok(json_response(&AddressAnswer {
        addresses: answer
            .addresses
            .iter()
            .map(|entry| entry.address.to_string())
            .collect(),
        keep_for_ms: u64::try_from(answer.valid_for.as_millis()).unwrap_or(u64::MAX),
    }))
}

fn address_request(
    context: &ApiContext,
    request: &EntryRequest,
) -> Result<AddressRequest, ApiFailure> {
    let own = &context.settings.node;
    let prompt_tokens = match request.query("prompt_tokens") {
        None => 0,
        Some(text) => text.parse::<TokenCount>().map_err(|_| {
            ApiFailure::new(
                FailureKind::BadRequest,
                "bad_hint",
                "prompt_tokens must be a whole number",
            )
            .with_param("prompt_tokens")
        })?,
    };
    Ok(AddressRequest {
        zone: request.query("zone").unwrap_or_else(|| own.zone.clone()),
        region: own.region.clone(),
        organisation: request.query("organisation").unwrap_or_default(),
        prompt_tokens,
    })
}

fn candidates(context: &ApiContext) -> Vec<AddressCandidate> {
    let snapshot = context.members.members();
    let own = &context.settings.node.id;
    snapshot
        .serving()
        .filter(|record| record.node != *own || !context.draining.is_set())
        .map(|record| candidate(context, record))
        .collect()
}

fn candidate(context: &ApiContext, record: &MemberRecord) -> AddressCandidate {
    AddressCandidate {
        node: record.node.clone(),
        zone: record.zone.clone(),
        region: record.region.clone(),
        address: record.addresses.callers,
        load: context.prompts.node_load(&record.node),
    }
}
