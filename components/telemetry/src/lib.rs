//! Logs, metrics and spans.
//!
//! Logs are one line of key=value pairs an event on standard error. Metrics
//! are served in the `OpenMetrics` format. Spans, one for each hop of a
//! request, stay in a bounded store that operators can query.

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
