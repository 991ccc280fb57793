//! `/v1/services/<name>/...`: reads and orders of plain services.

use std::{sync::Arc, time::Duration};

use entry::{ApiFailure, EntryRequest, FailureKind, HeaderName};
use http_types::{Method, Response};
use membership::CallEvidence;
use orders::{OrderName, OrderOutcome, RefusalCause};
use telemetry::{HopKind, HopSpan, OutcomeLabels};

use super::{
    ApiParts,
    access::{CallerAccess, recognise},
    answer::ApiResult,
    order_answer::{order_response, state_response},
    prompt_run::deadline,
};
use crate::orders::{OrderRequest, ReadOutcome, ReadSettings};

const MAX_KEY_CHARS: usize = 256;
const READ_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The service's name and the path below it.
pub struct ServicePath {
    /// Name of the service.
    pub name: String,
    /// Path below it, with the query, without a leading slash.
    pub rest: String,
}

/// Answers a call to a plain service: GET reads, POST is an order.
///
/// # Errors
/// `ApiFailure` when the call can't be made at all.
pub async fn call_service(
    parts: Arc<ApiParts>,
    request: EntryRequest,
    path: ServicePath,
) -> ApiResult {
    let access = recognise(&parts, &request).await?;
    access.require_service(&path.name)?;
    let mut response = if request.method() == Method::Post {
        order(&parts, request, &access, path).await?
    } else {
        read(&parts, &request, &path).await?
    };
    response.insert_header("X-Note-Version", access.state.version.to_string());
    Ok(response)
}

async fn read(parts: &ApiParts, request: &EntryRequest, path: &ServicePath) -> ApiResult {
    let span = service_span(parts, request, "service_read", &path.name);
    let arrived = parts.clock.now();
    let settings = ReadSettings {
        deadline_in: deadline(parts, request, arrived)?.saturating_duration_since(arrived),
        traceparent: span.traceparent(),
    };
    match parts.orders.read(&path.name, &path.rest, &settings).await {
        ReadOutcome::Answered { peer, answer } => {
            span.note("process", peer);
            let mut response = Response::new(answer.status);
            response.set_body(answer.body);
            response.insert_header("Content-Type", answer.content_type.as_str());
            Ok(response)
        }
        ReadOutcome::ServiceUnknown | ReadOutcome::NoPeer => {
            span.fail("no live process");
            let message = format!("no process of service {} is live", path.name);
            Err(unavailable(FailureKind::Unavailable, &message))
        }
        ReadOutcome::Failed(error) => {
            span.fail(&error.to_string());
            parts.metrics.count_failure("read", &path.name);
            Err(unavailable(FailureKind::BadGateway, &error.to_string()))
        }
    }
}

async fn order(
    parts: &ApiParts,
    mut request: EntryRequest,
    access: &CallerAccess,
    path: ServicePath,
) -> ApiResult {
    let name = order_name(
        access,
        &path.name,
        request.header(HeaderName::IdempotencyKey),
    )?;
    let arrived = parts.clock.now();
    let deadline_in = deadline(parts, &request, arrived)?.saturating_duration_since(arrived);
    let held = request.body().await?;
    let body = String::from_utf8(held.bytes().to_vec()).map_err(|_| not_text())?;
    let span = service_span(parts, &request, "service_order", &path.name);
    let outcome = parts
        .orders
        .submit(OrderRequest {
            name,
            path: path.rest,
            content_type: request.content_type(),
            body,
            deadline_in,
            traceparent: span.traceparent(),
        })
        .await;
    note_reach(parts, &path.name, &outcome);
    count(parts, &path.name, &outcome);
    if !matches!(outcome, OrderOutcome::Done { .. }) {
        span.fail(outcome.code());
    }
    Ok(order_response(&outcome))
}

/// Answers where one order of the caller stands.
///
/// # Errors
/// `ApiFailure` without a known key.
pub async fn order_state(
    parts: Arc<ApiParts>,
    request: EntryRequest,
    service: &str,
    key: &str,
) -> ApiResult {
    let access = recognise(&parts, &request).await?;
    let name = order_name(&access, service, key)?;
    Ok(state_response(&parts.orders.state(&name).await))
}

fn order_name(access: &CallerAccess, service: &str, key: &str) -> Result<OrderName, ApiFailure> {
    if key.is_empty() || key.len() > MAX_KEY_CHARS {
        let message = format!(
            "an order needs an {} of 1 to {MAX_KEY_CHARS} characters; nothing was run",
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

fn service_span(parts: &ApiParts, request: &EntryRequest, name: &str, service: &str) -> HopSpan {
    let traceparent = request.header(HeaderName::Traceparent);
    let id = request.header(HeaderName::RequestId);
    parts
        .tracer
        .start(name, HopKind::Client, traceparent, id, service)
}

/// Tells the directory that the first process of a service can't be reached,
/// so that the next order goes to another.
fn note_reach(parts: &ApiParts, service: &str, outcome: &OrderOutcome) {
    let unreached = matches!(
        outcome,
        OrderOutcome::Refused {
            cause: RefusalCause::ServiceUnreachable,
            ..
        }
    );
    let zone = &parts.settings.node.zone;
    let found = parts.directory.services(&service.to_owned(), zone);
    if let Some(first) = found.first().filter(|_| unreached) {
        parts
            .directory
            .record_call(&first.id, first.incarnation, CallEvidence::Failed);
    }
}

fn count(parts: &ApiParts, service: &str, outcome: &OrderOutcome) {
    let labels = OutcomeLabels {
        plan: service.to_owned(),
        outcome: outcome.code().to_owned(),
    };
    parts.metrics.orders.get_or_create(&labels).inc();
}

fn not_text() -> ApiFailure {
    ApiFailure::new(
        FailureKind::BadRequest,
        "malformed_body",
        "the body of an order must be UTF-8 text; nothing was run",
    )
}

fn unavailable(kind: FailureKind, message: &str) -> ApiFailure {
    ApiFailure::new(kind, "service_unavailable", message).with_retry_after(READ_RETRY_AFTER)
}
