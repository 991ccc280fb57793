//! Trace spans, one for each hop of a request, in a bounded in-memory store.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, SystemTime},
};

use opentelemetry::{
    Context, KeyValue,
    propagation::TextMapPropagator,
    trace::{SpanBuilder, SpanKind, Status, TraceContextExt, Tracer, TracerProvider},
};
use opentelemetry_sdk::{
    error::OTelSdkResult,
    propagation::TraceContextPropagator,
    trace::{SdkTracer, SdkTracerProvider, SpanData, SpanProcessor},
};
use serde::{Deserialize, Serialize};

const REQUEST_ATTRIBUTE: &str = "request";
const PEER_ATTRIBUTE: &str = "peer";

/// Which side of a hop a span describes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HopKind {
    /// The callee: the span covers the handling of a call from another process.
    Server,
    /// The caller: the span covers a call to another process.
    Client,
    /// Work without a call to or from another process.
    Internal,
}

/// A finished span, as the store keeps it and operators query it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SpanRecord {
    /// W3C trace id, 32 hexadecimal digits.
    pub trace: String,
    /// Span id, 16 hexadecimal digits.
    pub span: String,
    /// Parent's span id; 16 zeros when there is none.
    pub parent: String,
    /// Id of the node that recorded the span.
    pub node: String,
    /// Name of the operation that the span covers.
    pub name: String,
    /// Id of the request that the operation belongs to.
    pub request: String,
    /// Start, in microseconds since the Unix epoch.
    pub start_us: u64,
    /// Duration in microseconds.
    pub duration_us: u64,
    /// Error description; `None` unless the span was marked as failed.
    pub failure: Option<String>,
    /// All other attributes, including the peer, as `key=value`.
    pub attributes: Vec<String>,
}

/// Starts spans and keeps the finished ones in a bounded store.
#[derive(Clone, Debug)]
pub struct HopTracer {
    tracer: SdkTracer,
    store: Arc<SpanStore>,
}

impl HopTracer {
    /// Creates a tracer for `node` that keeps the last `capacity` finished spans.
    #[must_use]
    pub fn new(node: &str, capacity: usize) -> Self {
        let store = Arc::new(SpanStore {
            node: node.to_owned(),
            capacity,
            records: Mutex::default(),
        });
        let provider = SdkTracerProvider::builder()
            .with_span_processor(StoreProcessor(Arc::clone(&store)))
            .build();
        Self {
            tracer: provider.tracer("gentiantally"),
            store,
        }
    }

    /// Starts a child span of the W3C `traceparent`, or a new trace if that is
    /// empty or malformed.
    #[must_use]
    pub fn start(
        &self,
        name: &str,
        kind: HopKind,
        traceparent: &str,
        request: &str,
        peer: &str,
    ) -> HopSpan {
        let carrier = HashMap::from([("traceparent".to_owned(), traceparent.to_owned())]);
        let parent = TraceContextPropagator::new().extract_with_context(&Context::new(), &carrier);
        let kind = match kind {
            HopKind::Server => SpanKind::Server,
            HopKind::Client => SpanKind::Client,
            HopKind::Internal => SpanKind::Internal,
        };
        let builder = SpanBuilder::from_name(name.to_owned())
            .with_kind(kind)
            .with_attributes([
                KeyValue::new(REQUEST_ATTRIBUTE, request.to_owned()),
                KeyValue::new(PEER_ATTRIBUTE, peer.to_owned()),
            ]);
        let span = self.tracer.build_with_context(builder, &parent);
        HopSpan {
            context: Context::new().with_span(span),
        }
    }

    /// Returns the stored spans whose trace id or request id is `id`, or whose
    /// request id starts with `id` followed by a dot or tilde; oldest first. Internal
    /// ids of a request extend the caller's id after a dot, and ids of its forwards
    /// to other nodes extend that after a tilde.
    #[must_use]
    pub fn find(&self, id: &str) -> Vec<SpanRecord> {
        let records = self.store.records.lock();
        let records = records.unwrap_or_else(PoisonError::into_inner);
        records
            .iter()
            .filter(|record| record.trace == id || matches_request_id(&record.request, id))
            .cloned()
            .collect()
    }
}

/// A running span; dropping it ends the span.
#[derive(Debug)]
pub struct HopSpan {
    context: Context,
}

impl HopSpan {
    /// Returns the W3C `traceparent` header to send on the next hop.
    #[must_use]
    pub fn traceparent(&self) -> String {
        let mut carrier = HashMap::new();
        TraceContextPropagator::new().inject_context(&self.context, &mut carrier);
        carrier.remove("traceparent").unwrap_or_default()
    }

    /// Sets an attribute of the span.
    pub fn set_attribute(&self, key: &'static str, value: impl Into<String>) {
        let value: String = value.into();
        self.context.span().set_attribute(KeyValue::new(key, value));
    }

    /// Sets the span's status to an error, with `cause` as its description.
    pub fn set_failed(&self, cause: &str) {
        self.context
            .span()
            .set_status(Status::error(cause.to_owned()));
    }
}

impl Drop for HopSpan {
    fn drop(&mut self) {
        self.context.span().end();
    }
}

#[derive(Debug)]
struct SpanStore {
    node: String,
    capacity: usize,
    records: Mutex<VecDeque<SpanRecord>>,
}

impl SpanStore {
    fn push(&self, record: SpanRecord) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        if records.len() >= self.capacity {
            records.pop_front();
        }
        records.push_back(record);
    }
}

#[derive(Debug)]
struct StoreProcessor(Arc<SpanStore>);

impl SpanProcessor for StoreProcessor {
    fn on_start(&self, _span: &mut opentelemetry_sdk::trace::Span, _context: &Context) {}

    fn on_end(&self, span: SpanData) {
        self.0.push(span_record(&self.0.node, &span));
    }

    fn force_flush(&self) -> OTelSdkResult {
        Ok(())
    }

    fn shutdown_with_timeout(&self, _timeout: Duration) -> OTelSdkResult {
        Ok(())
    }
}

fn matches_request_id(request: &str, id: &str) -> bool {
    request
        .strip_prefix(id)
        .is_some_and(|suffix| suffix.is_empty() || suffix.starts_with(['.', '~']))
}

fn span_record(node: &str, span: &SpanData) -> SpanRecord {
    let mut request = String::new();
    let mut attributes = Vec::new();
    for attribute in &span.attributes {
        if attribute.key.as_str() == REQUEST_ATTRIBUTE {
            request = attribute.value.to_string();
        } else {
            attributes.push(format!("{}={}", attribute.key, attribute.value));
        }
    }
    let failure = match &span.status {
        Status::Error { description } => Some(description.to_string()),
        Status::Ok | Status::Unset => None,
    };
    SpanRecord {
        trace: span.span_context.trace_id().to_string(),
        span: span.span_context.span_id().to_string(),
        parent: span.parent_span_id.to_string(),
        node: node.to_owned(),
        name: span.name.to_string(),
        request,
        start_us: to_micros(span.start_time.duration_since(SystemTime::UNIX_EPOCH)),
        duration_us: to_micros(span.end_time.duration_since(span.start_time)),
        failure,
        attributes,
    }
}

/// Converts to microseconds; returns 0 for an error, which means that the clock
/// went backwards.
fn to_micros<E>(duration: Result<Duration, E>) -> u64 {
    let duration = duration.unwrap_or_default();
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
