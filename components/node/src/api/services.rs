//! `/v1/services/<name>/...`: plain services.

use std::{sync::Arc, time::Duration};

use entry::{ApiFailure, EntryRequest, FailureKind, HeaderName};
use http_types::{Method, Response};
use membership::CallEvidence;
use telemetry::HopKind;
use upstream::ServiceAnswer;

use super::{ApiParts, access::recognise, answer::ApiResult};

const READ_LIMIT: Duration = Duration::from_secs(5);

/// The service's name and the path below it.
pub struct ServicePath {
    /// Name of the service.
    pub name: String,
    /// Path below it, with the query, without a leading slash.
    pub rest: String,
}

/// Answers a call to a plain service.
///
/// # Errors
/// `ApiFailure` when there is no answer of the service.
pub async fn call_service(
    parts: Arc<ApiParts>,
    request: EntryRequest,
    path: ServicePath,
) -> ApiResult {
    let access = recognise(&parts, &request).await?;
    access.require_service(&path.name)?;
    match request.method() {
        Method::Get => read(&parts, &request, &path).await,
        _ => Err(ApiFailure::new(
            FailureKind::MethodNotAllowed,
            "method_not_allowed",
            "use GET for reads and POST for orders",
        )),
    }
}

async fn read(parts: &ApiParts, request: &EntryRequest, path: &ServicePath) -> ApiResult {
    let found = parts
        .directory
        .services(&path.name, &parts.settings.node.zone);
    let Some(service) = found.first() else {
        return Err(no_process(&path.name));
    };
    let span = parts.tracer.start(
        "service_read",
        HopKind::Client,
        request.header(HeaderName::Traceparent),
        &path.name,
        &service.id,
    );
    let traceparent = span.traceparent();
    let read = service.client.read(&path.rest, READ_LIMIT, &traceparent);
    match read.await {
        Ok(answer) => {
            parts
                .directory
                .called(&service.id, service.incarnation, CallEvidence::Answered);
            Ok(service_response(&answer))
        }
        Err(error) => {
            parts
                .directory
                .called(&service.id, service.incarnation, CallEvidence::Failed);
            span.fail(&error.to_string());
            parts.metrics.count_failure("read", &service.id);
            Err(
                ApiFailure::new(FailureKind::BadGateway, "service_failed", error.to_string())
                    .with_retry_after(Duration::from_secs(1)),
            )
        }
    }
}

fn service_response(answer: &ServiceAnswer) -> Response {
    let mut response = Response::new(answer.status);
    response.set_body(answer.body.clone());
    response.insert_header("Content-Type", answer.content_type.as_str());
    response
}

fn no_process(name: &str) -> ApiFailure {
    let message = format!("no process of service {name} is live; nothing was run");
    ApiFailure::new(FailureKind::Unavailable, "service_unavailable", message)
        .with_retry_after(Duration::from_secs(1))
}
