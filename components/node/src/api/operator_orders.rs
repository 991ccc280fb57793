//! `/v1/operator/orders`: what operators ask of orders and settle by hand.

use std::{sync::Arc, time::Duration};

use entry::{ApiFailure, EntryRequest, FailureKind};
use errors::PlatformError;
use http_types::Method;
use orders::{ManualSettleError, OrderName, OrderVerdict};

use super::{
    ApiParts,
    access::require_operator,
    answer::{ApiResult, json_response},
};

const LIST_LIMIT: usize = 100;
const STORE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Lists the orders in doubt; with `organisation` in the query, all of its
/// orders.
///
/// # Errors
/// `ApiFailure` without an operator's key, or when the store can't be read.
pub async fn list_orders(parts: Arc<ApiParts>, request: EntryRequest) -> ApiResult {
    require_operator(&parts, &request)?;
    let listings = match request.query("organisation") {
        Some(organisation) => parts.orders.list(&organisation, None, LIST_LIMIT).await,
        None => parts.orders.list_in_doubt(None, LIST_LIMIT).await,
    };
    let listings = listings.map_err(|error| store_failure(&error))?;
    Ok(json_response(&listings))
}

/// Shows one order, or settles it by hand with POST.
///
/// # Errors
/// `ApiFailure` without an operator's key, or when it can't be done.
pub async fn one_order(parts: Arc<ApiParts>, request: EntryRequest, name: OrderName) -> ApiResult {
    require_operator(&parts, &request)?;
    if request.method() == Method::Post {
        settle(&parts, request, &name).await?;
    }
    let shown = parts.orders.show(&name).await;
    let shown = shown.map_err(|error| store_failure(&error))?;
    let listing = shown.ok_or_else(|| unrecorded(&name))?;
    Ok(json_response(&listing))
}

async fn settle(
    parts: &ApiParts,
    mut request: EntryRequest,
    name: &OrderName,
) -> Result<(), ApiFailure> {
    let held = request.body().await?;
    let verdict: OrderVerdict = serde_json::from_slice(held.bytes()).map_err(|error| {
        let message = format!("the verdict is not as expected: {error}; nothing changed");
        ApiFailure::new(FailureKind::BadRequest, "malformed_verdict", message)
    })?;
    let settled = parts.orders.settle(name, &verdict).await;
    settled.map_err(|refusal| hand_failure(refusal, name))
}

fn hand_failure(refusal: ManualSettleError, name: &OrderName) -> ApiFailure {
    match refusal {
        ManualSettleError::Unrecorded => unrecorded(name),
        ManualSettleError::NotInDoubt => ApiFailure::new(
            FailureKind::Conflict,
            "order_not_in_doubt",
            "the order is not in doubt; nothing changed",
        ),
        ManualSettleError::VerdictUnfit => ApiFailure::new(
            FailureKind::Unprocessable,
            "verdict_unfit",
            "a verdict by hand is done or not run; nothing changed",
        ),
        ManualSettleError::Changed => ApiFailure::new(
            FailureKind::Conflict,
            "order_changed",
            "the order changed at the same moment; look again",
        ),
        ManualSettleError::StoreUnavailable => ApiFailure::new(
            FailureKind::Unavailable,
            "store_unavailable",
            "the store did not answer; look whether the order is settled",
        )
        .with_retry_after(STORE_RETRY_AFTER),
    }
}

fn unrecorded(name: &OrderName) -> ApiFailure {
    let message = format!(
        "organisation {} has no order {} for service {}",
        name.organisation, name.key, name.service
    );
    ApiFailure::new(FailureKind::NotFound, "order_unrecorded", message)
}

fn store_failure(error: &PlatformError) -> ApiFailure {
    ApiFailure::new(
        FailureKind::Unavailable,
        "store_unavailable",
        error.to_string(),
    )
    .with_retry_after(STORE_RETRY_AFTER)
}
