//! Percentile summaries used in reports.

use serde::{Deserialize, Serialize};

/// Percentiles of a time, in milliseconds, with the number of samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LatencySummary {
    /// Number of samples.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Percentiles of a time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TailSummary {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Percentiles of the time between tokens, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct GapSummary {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
}

/// Percentiles of the slowdown of short prompts, as a ratio.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SlowdownSummary {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Results of one plan, as its callers saw them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PlanReport {
    /// Time to first token, in milliseconds.
    pub ttft_ms: TailSummary,
}
