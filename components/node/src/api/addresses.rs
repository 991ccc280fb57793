//! `GET /v1/addresses`: which nodes a caller should use.

use std::sync::Arc;

use entry::EntryRequest;
use membership::MemberRecord;
use serde::{Deserialize, Serialize};

use super::{
    ApiParts,
    answer::{ApiResult, json_response},
};

/// The answer to a caller that asks which addresses to use.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AddressAnswer {
    /// Addresses, best first; the others are alternatives.
    pub addresses: Vec<String>,
    /// Time for which the answer may be kept, in milliseconds.
    pub keep_for_ms: u64,
}

/// Answers with the addresses of live nodes.
///
/// # Errors
/// Never; the signature is that of every handler.
#[allow(clippy::unused_async)]
pub async fn addresses(parts: Arc<ApiParts>, _request: EntryRequest) -> ApiResult {
    let answer = AddressAnswer {
        addresses: caller_addresses(&parts),
        keep_for_ms: parts.settings.timeouts.address_lifetime_ms,
    };
    Ok(json_response(&answer))
}

/// Serving nodes, those of this node's availability zone first.
fn caller_addresses(parts: &ApiParts) -> Vec<String> {
    let snapshot = parts.members.members();
    let zone = &parts.settings.node.zone;
    let mut records: Vec<&MemberRecord> = snapshot.serving().collect();
    records.sort_by_key(|record| record.zone != *zone);
    records
        .into_iter()
        .map(|record| record.addresses.callers.to_string())
        .collect()
}
