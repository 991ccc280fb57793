//! Logs, metrics and spans.
//!
//! Each log event is one line of `key=value` pairs, on standard error
//! (`init_logs`) or standard output (`init_bounded_logs`). Metrics are encoded in
//! the `OpenMetrics` format. Spans, one for each hop of a request, are kept in a
//! bounded in-memory store that operators can query.

mod bounded;
mod logs;
mod metrics;
mod spans;
mod story;

pub use bounded::init_bounded_logs;
pub use logs::init_logs;
pub use metrics::{
    LengthLabels, NodeMetrics, OutcomeLabels, PeerLabels, RouteLabels, length_bucket,
};
pub use spans::{HopKind, HopSpan, HopTracer, SpanRecord};
pub use story::{LogLine, RequestTimeline, build_timeline, parse_log_line};
