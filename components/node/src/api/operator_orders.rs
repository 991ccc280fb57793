//! `/v1/operator/orders`: lists orders and lets operators settle those in doubt.

use std::{sync::Arc, time::Duration};

use entry::{ApiFailure, EntryRequest, FailureKind};
use errors::PlatformError;
use http_types::Method;
use orders::{ManualSettleError, OrderName, OrderVerdict};

use super::{
    ApiContext,
    access::require_operator,
    answer::{ApiResult, json_response},
};

const LIST_LIMIT: usize = 100;
const STORE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Lists up to `LIST_LIMIT` orders: those in doubt, or with `organisation` in the
/// query those of that organisation in any state.
///
/// # Errors
/// `ApiFailure` without an operator's key, or when the store can't be read.
pub async fn list_orders(context: Arc<ApiContext>, request: EntryRequest) -> ApiResult {
    require_operator(&context, &request)?;
    let listings = match request.query("organisation") {
        Some(organisation) => context.orders.list(&organisation, None, LIST_LIMIT).await,
        None => context.orders.list_in_doubt(None, LIST_LIMIT).await,
    };
    let listings = listings.map_err(|error| store_failure(&error))?;
    Ok(json_response(&listings))
}

/// Returns one order; with POST, first settles it with the verdict in the body.
///
/// # Errors
/// `ApiFailure` without an operator's key, or when the order is unrecorded or
/// can't be settled.
pub async fn show_or_settle_order(
    context: Arc<ApiContext>,
    request: EntryRequest,
    name: OrderName,
) -> ApiResult {
    require_operator(&context, &request)?;
    if request.method() == Method::Post {
        settle_order(&context, request, &name).await?;
    }
    let shown = context.orders.show(&name).await;
    let shown = shown.map_err(|error| store_failure(&error))?;
    let listing = shown.ok_or_else(|| unrecorded_order(&name))?;
    Ok(json_response(&listing))
}

async fn settle_order(
    context: &ApiContext,
    mut request: EntryRequest,
    name: &OrderName,
) -> Result<(), ApiFailure> {
    let held_body = request.body().await?;
    let verdict: OrderVerdict = serde_json::from_slice(held_body.bytes()).map_err(|error| {
        let message = format!("the verdict is not as expected: {error}; nothing changed");
        ApiFailure::new(FailureKind::BadRequest, "malformed_verdict", message)
    })?;
    let settled = context.orders.settle(name, &verdict).await;
    settled.map_err(|refusal| settle_failure(refusal, name))
}

fn settle_failure(refusal: ManualSettleError, name: &OrderName) -> ApiFailure {
    match refusal {
        ManualSettleError::Unrecorded => unrecorded_order(name),
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

fn unrecorded_order(name: &OrderName) -> ApiFailure {
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
