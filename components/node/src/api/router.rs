//! Routes requests to their handlers by path and method.

use std::sync::{Arc, atomic::Ordering};

use entry::{ApiFailure, EntryHandler, EntryRequest, FailureKind};
use http_types::{Method, Response};
use notes::VersionGate;
use orders::OrderName;
use telemetry::RouteLabels;

use super::{
    ApiContext,
    access::not_ready_failure,
    addresses,
    answer::{ApiResult, text_response},
    completions::complete,
    operator, operator_orders, quarantine,
    services::{ServicePath, call_service, order_state},
    shape::ResponseFormat,
};

/// A route of the HTTP interface with the parameters of its path.
enum ApiRoute {
    Addresses,
    Completion(ResponseFormat),
    Service(ServicePath),
    Live,
    Ready,
    Metrics,
    OperatorStatus,
    OperatorNotes,
    OperatorTrace(String),
    OperatorOrders,
    OperatorOrder(OrderName),
    OperatorQuarantine,
    OperatorClear(String),
    OrderState { service: String, key: String },
}

/// Builds the handler for the requests of callers and operators.
#[must_use]
pub fn api_handler(context: Arc<ApiContext>) -> EntryHandler {
    Arc::new(move |request| {
        let context = Arc::clone(&context);
        Box::pin(handle_request(context, request))
    })
}

async fn handle_request(context: Arc<ApiContext>, request: EntryRequest) -> Response {
    let Some(route) = find_route(&request) else {
        let message = format!("there is nothing at {}", request.path());
        return ApiFailure::new(FailureKind::NotFound, "unknown_path", message).response();
    };
    let name = route_name(&route);
    let metrics = Arc::clone(&context.metrics);
    let response = match dispatch(context, request, route).await {
        Ok(response) => response,
        Err(failure) => failure.response(),
    };
    let labels = RouteLabels {
        route: name.to_owned(),
        status: u16::from(response.status()),
    };
    metrics.calls.get_or_create(&labels).inc();
    response
}

fn find_route(request: &EntryRequest) -> Option<ApiRoute> {
    let path = request.path();
    let route = match path {
        "/v1/addresses" => ApiRoute::Addresses,
        "/v1/completions" => ApiRoute::Completion(ResponseFormat::Text),
        "/v1/chat/completions" => ApiRoute::Completion(ResponseFormat::Chat),
        "/health/live" => ApiRoute::Live,
        "/health/ready" => ApiRoute::Ready,
        "/metrics" => ApiRoute::Metrics,
        "/v1/operator/status" => ApiRoute::OperatorStatus,
        "/v1/operator/notes" => ApiRoute::OperatorNotes,
        "/v1/operator/orders" => ApiRoute::OperatorOrders,
        "/v1/operator/quarantine" => ApiRoute::OperatorQuarantine,
        _ => return find_parameterised_route(request, path),
    };
    Some(route)
}

fn find_parameterised_route(request: &EntryRequest, path: &str) -> Option<ApiRoute> {
    if let Some(id) = path.strip_prefix("/v1/operator/traces/") {
        return Some(ApiRoute::OperatorTrace(id.to_owned()));
    }
    if let Some(prompt) = path.strip_prefix("/v1/operator/quarantine/") {
        return Some(ApiRoute::OperatorClear(prompt.to_owned()));
    }
    if let Some(row_key) = path.strip_prefix("/v1/operator/orders/") {
        return OrderName::from_row_key(row_key).map(ApiRoute::OperatorOrder);
    }
    if let Some(rest) = path.strip_prefix("/v1/orders/") {
        // The path has no organisation, since it is the caller's own. `own` stands
        // in for it in the row key.
        let name = OrderName::from_row_key(&format!("own/{rest}"))?;
        return Some(ApiRoute::OrderState {
            service: name.service,
            key: name.key,
        });
    }
    let rest = path.strip_prefix("/v1/services/")?;
    let (name, subpath) = rest.split_once('/').unwrap_or((rest, ""));
    let subpath = match request.raw_query() {
        Some(query) => format!("{subpath}?{query}"),
        None => subpath.to_owned(),
    };
    Some(ApiRoute::Service(ServicePath {
        name: name.to_owned(),
        subpath,
    }))
}

fn route_name(route: &ApiRoute) -> &'static str {
    match route {
        ApiRoute::Addresses => "addresses",
        ApiRoute::Completion(ResponseFormat::Text) => "completions",
        ApiRoute::Completion(ResponseFormat::Chat) => "chat_completions",
        ApiRoute::Service(_) => "services",
        ApiRoute::Live | ApiRoute::Ready => "health",
        ApiRoute::Metrics => "metrics",
        ApiRoute::OrderState { .. } => "order_state",
        ApiRoute::OperatorStatus
        | ApiRoute::OperatorNotes
        | ApiRoute::OperatorTrace(_)
        | ApiRoute::OperatorOrders
        | ApiRoute::OperatorQuarantine
        | ApiRoute::OperatorClear(_)
        | ApiRoute::OperatorOrder(_) => "operator",
    }
}

async fn dispatch(context: Arc<ApiContext>, request: EntryRequest, route: ApiRoute) -> ApiResult {
    require_method(&request, &route)?;
    match route {
        ApiRoute::Addresses => addresses::list_addresses(&context, &request),
        ApiRoute::Completion(format) => complete(context, request, format).await,
        ApiRoute::Service(path) => call_service(context, request, path).await,
        ApiRoute::Live => Ok(text_response("live")),
        ApiRoute::Ready => readiness_response(&context),
        ApiRoute::Metrics => Ok(metrics_response(&context)),
        ApiRoute::OperatorStatus => operator::status(&context, &request),
        ApiRoute::OperatorNotes if request.method() == Method::Post => {
            operator::publish(context, request).await
        }
        ApiRoute::OperatorNotes => operator::read_notes(context, request).await,
        ApiRoute::OperatorTrace(id) => operator::trace(&context, &request, &id),
        ApiRoute::OperatorQuarantine => quarantine::list(&context, &request),
        ApiRoute::OperatorClear(prompt) => quarantine::clear(&context, &request, &prompt),
        ApiRoute::OperatorOrders => operator_orders::list_orders(context, request).await,
        ApiRoute::OperatorOrder(name) => {
            operator_orders::show_or_settle_order(context, request, name).await
        }
        ApiRoute::OrderState { service, key } => {
            order_state(context, request, &service, &key).await
        }
    }
}

fn require_method(request: &EntryRequest, route: &ApiRoute) -> Result<(), ApiFailure> {
    let allowed: &[Method] = match route {
        ApiRoute::Completion(_) | ApiRoute::OperatorClear(_) => &[Method::Post],
        ApiRoute::Service(_) | ApiRoute::OperatorNotes | ApiRoute::OperatorOrder(_) => {
            &[Method::Get, Method::Post]
        }
        _ => &[Method::Get],
    };
    if allowed.contains(&request.method()) {
        return Ok(());
    }
    let names: Vec<String> = allowed.iter().map(ToString::to_string).collect();
    let message = format!("{} takes {}", request.path(), names.join(" or "));
    Err(ApiFailure::new(
        FailureKind::MethodNotAllowed,
        "method_not_allowed",
        message,
    ))
}

fn readiness_response(context: &ApiContext) -> ApiResult {
    if context.notes.gate(0) == VersionGate::Serve && !context.draining.is_set() {
        return Ok(text_response("ready"));
    }
    Err(not_ready_failure())
}

fn metrics_response(context: &ApiContext) -> Response {
    let metrics = &context.metrics;
    let open = context.connections.load(Ordering::Relaxed);
    metrics.connections.set(i64::from(open));
    metrics
        .held_body_bytes
        .set(gauge_value(context.budget.held_bytes()));
    metrics
        .note_version
        .set(gauge_value(context.notes.current().version));
    let mut response = text_response(&metrics.encode());
    response.insert_header(
        "Content-Type",
        "application/openmetrics-text; version=1.0.0; charset=utf-8",
    );
    response
}

fn gauge_value(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
