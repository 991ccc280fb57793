//! HTTP responses for the outcomes and states of orders.

use http_types::{Response, mime};
use orders::{OrderOutcome, StatusReply};
use serde::Serialize;

#[derive(Serialize)]
struct OutcomeBody<'a> {
    order: &'a OrderOutcome,
    code: &'static str,
    message: &'static str,
}

#[derive(Serialize)]
struct StateBody<'a> {
    #[serde(flatten)]
    answer: &'a StatusReply,
    code: &'static str,
}

/// Builds the response to an order: the service's own answer when the order is
/// done, otherwise the outcome with its code and advice as JSON.
pub fn order_response(outcome: &OrderOutcome) -> Response {
    let mut response = Response::new(outcome.status());
    if let OrderOutcome::Done { answer, replayed } = outcome {
        response.set_body(answer.body.clone());
        response.insert_header("Content-Type", answer.content_type.as_str());
        response.insert_header("Idempotency-Replayed", replayed.to_string());
    } else {
        let body = OutcomeBody {
            order: outcome,
            code: outcome.code(),
            message: outcome.advice(),
        };
        response.set_body(serde_json::to_string(&body).unwrap_or_default());
        response.set_content_type(mime::JSON);
    }
    response.insert_header("X-Order-Outcome", outcome.code());
    if let Some(delay) = outcome.retry_after() {
        let seconds = delay.as_millis().div_ceil(1_000).max(1);
        response.insert_header("Retry-After", seconds.to_string());
    }
    response
}

/// Builds the response to a query for an order's state.
pub fn state_response(answer: &StatusReply) -> Response {
    let mut response = Response::new(answer.status());
    let body = StateBody {
        answer,
        code: answer.code(),
    };
    response.set_body(serde_json::to_string(&body).unwrap_or_default());
    response.set_content_type(mime::JSON);
    response
}
