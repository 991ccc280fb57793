//! `/v1/services/<name>/...` and `/v1/orders/...`: reads and orders of plain
//! services.

use std::{sync::Arc, time::Duration};

use entry::{ApiFailure, EntryRequest, FailureKind, HeaderName};
use http_types::{Method, Response};
use membership::CallEvidence;
use orders::{OrderName, OrderOutcome, RefusalCause};
use telemetry::{HopKind, HopSpan, OutcomeLabels};

use super::{
    ApiContext,
    access::{CallerAccess, authenticate},
    answer::ApiResult,
    order_answer::{order_response, state_response},
    prompt_run::request_deadline,
};
use crate::orders::{OrderRequest, ReadOutcome, ReadSettings};

const MAX_KEY_BYTES: usize = 256;
const READ_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Service name and path taken from a URL.
pub struct ServicePath {
    /// Name of the service.
    pub name: String,
    /// Path below the service's name, with the query, without a leading slash.
    pub subpath: String,
}

/// Handles a call to a plain service: GET is a read, POST is an order.
///
/// # Errors
/// `ApiFailure` when the request is invalid or not allowed, or when a read fails.
pub async fn call_service(
    context: Arc<ApiContext>,
    request: EntryRequest,
    path: ServicePath,
) -> ApiResult {
    let access = authenticate(&context, &request).await?;
    access.require_service(&path.name)?;
    let mut response = if request.method() == Method::Post {
        submit_order(&context, request, &access, path).await?
    } else {
        read_service(&context, &request, &path).await?
    };
    response.insert_header("X-Note-Version", access.state.version.to_string());
    Ok(response)
}

async fn read_service(
    context: &ApiContext,
    request: &EntryRequest,
    path: &ServicePath,
) -> ApiResult {
    let span = service_span(context, request, "service_read", &path.name);
    let arrived = context.clock.now();
    let settings = ReadSettings {
        deadline_in: request_deadline(context, request, arrived)?
            .saturating_duration_since(arrived),
        traceparent: span.traceparent(),
    };
    match context
        .orders
        .read(&path.name, &path.subpath, &settings)
        .await
    {
        ReadOutcome::Answered { peer, answer } => {
            span.set_attribute("process", peer);
            let mut response = Response::new(answer.status);
            response.set_body(answer.body);
            response.insert_header("Content-Type", answer.content_type.as_str());
            Ok(response)
        }
        ReadOutcome::ServiceUnknown | ReadOutcome::NoPeer => {
            span.set_failed("no live process");
            let message = format!("no process of service {} is live", path.name);
            Err(unavailable_failure(FailureKind::Unavailable, &message))
        }
        ReadOutcome::Failed(error) => {
            span.set_failed(&error.to_string());
            context.metrics.count_peer_failure("read", &path.name);
            Err(unavailable_failure(
                FailureKind::BadGateway,
                &error.to_string(),
            ))
        }
    }
}

async fn submit_order(
    context: &ApiContext,
    mut request: EntryRequest,
    access: &CallerAccess,
    path: ServicePath,
) -> ApiResult {
    let name = order_name(
        access,
        &path.name,
        request.header(HeaderName::IdempotencyKey),
    )?;
    let arrived = context.clock.now();
    let deadline_in =
        request_deadline(context, &request, arrived)?.saturating_duration_since(arrived);
    let held_body = request.body().await?;
    let body = String::from_utf8(held_body.bytes().to_vec()).map_err(|_| body_not_utf8())?;
    let span = service_span(context, &request, "service_order", &path.name);
    let outcome = context
        .orders
        .submit(OrderRequest {
            name,
            path: path.subpath,
            content_type: request.content_type(),
            body,
            deadline_in,
            traceparent: span.traceparent(),
        })
        .await;
    record_unreachable_process(context, &path.name, &outcome);
    count_outcome(context, &path.name, &outcome);
    if !matches!(outcome, OrderOutcome::Done { .. }) {
        span.set_failed(outcome.code());
    }
    Ok(order_response(&outcome))
}

/// Returns the state of one of the caller's orders.
///
/// # Errors
/// `ApiFailure` when the caller can't be authenticated or the order's key is empty
/// or too long.
pub async fn order_state(
    context: Arc<ApiContext>,
    request: EntryRequest,
    service: &str,
    key: &str,
) -> ApiResult {
    let access = authenticate(&context, &request).await?;
    let name = order_name(&access, service, key)?;
    Ok(state_response(&context.orders.state(&name).await))
}

fn order_name(access: &CallerAccess, service: &str, key: &str) -> Result<OrderName, ApiFailure> {
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let message = format!(
            "an order needs an {} of 1 to {MAX_KEY_BYTES} characters; nothing was run",
            HeaderName::IdempotencyKey.as_str()
        );
        return Err(
            ApiFailure::new(FailureKind::BadRequest, "missing_idempotency_key", message)
                .with_param(HeaderName::IdempotencyKey.as_str()),
        );
    }
    Ok(OrderName {
        organisation: access.organisation.clone(),
        service: service.to_owned(),
        key: key.to_owned(),
    })
}

fn service_span(
    context: &ApiContext,
    request: &EntryRequest,
    name: &str,
    service: &str,
) -> HopSpan {
    let traceparent = request.header(HeaderName::Traceparent);
    let id = request.header(HeaderName::RequestId);
    context
        .tracer
        .start(name, HopKind::Client, traceparent, id, service)
}

/// If the order was refused as unreachable, records a failed call to the service's
/// first process, so that the next order goes to another one.
fn record_unreachable_process(context: &ApiContext, service: &str, outcome: &OrderOutcome) {
    let is_unreachable = matches!(
        outcome,
        OrderOutcome::Refused {
            cause: RefusalCause::ServiceUnreachable,
            ..
        }
    );
    let zone = &context.settings.node.zone;
    let found = context.directory.services(&service.to_owned(), zone);
    if let Some(first) = found.first().filter(|_| is_unreachable) {
        context
            .directory
            .record_call(&first.id, first.incarnation, CallEvidence::Failed);
    }
}

fn count_outcome(context: &ApiContext, service: &str, outcome: &OrderOutcome) {
    let labels = OutcomeLabels {
        // The `plan` label of order metrics holds the service's name.
        plan: service.to_owned(),
        outcome: outcome.code().to_owned(),
    };
    context.metrics.orders.get_or_create(&labels).inc();
}

fn body_not_utf8() -> ApiFailure {
    ApiFailure::new(
        FailureKind::BadRequest,
        "malformed_body",
        "the body of an order must be UTF-8 text; nothing was run",
    )
}

fn unavailable_failure(kind: FailureKind, message: &str) -> ApiFailure {
    ApiFailure::new(kind, "service_unavailable", message).with_retry_after(READ_RETRY_AFTER)
}
