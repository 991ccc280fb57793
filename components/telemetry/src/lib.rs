//! Logs, metrics and spans.
