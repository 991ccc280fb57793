//! Builds the JSON report of a run from its request records.

use std::time::Duration;

use hdrhistogram::Histogram;
use model::{engine_profile, prefill_time};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use types::{PlanKind, TokenCount};

use crate::{
    BenchRequest, GapSummary, LatencySummary, PlanReport, ScenarioKind, SlowdownSummary,
    TailSummary,
    fleet::HOP_DELAY,
    ledger::{CallerOutcome, RequestLedger, RequestRecord, histogram, record_duration},
};

/// Prompt length buckets: name and upper bound in tokens.
const BUCKETS: [LengthBucket; 6] = [
    LengthBucket::new("1k", 1_000),
    LengthBucket::new("4k", 4_000),
    LengthBucket::new("16k", 16_000),
    LengthBucket::new("64k", 64_000),
    LengthBucket::new("256k", 256_000),
    LengthBucket::new("1m", 1_000_000),
];
/// Longest prompt that counts as short in `short_slowdown`, in tokens.
const SHORT_TOKENS: TokenCount = 4_000;
/// Network hops from a caller to an engine and back.
const ROUND_TRIP_HOPS: u32 = 4;
/// Histogram units per unit of slowdown.
const SLOWDOWN_SCALE: f64 = 1_000.0;

#[derive(Clone, Copy, Debug)]
struct LengthBucket {
    name: &'static str,
    limit: TokenCount,
}

impl LengthBucket {
    const fn new(name: &'static str, limit: TokenCount) -> Self {
        Self { name, limit }
    }
}

/// Results of one policy, as callers saw them.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PolicyReport {
    /// Time to first token by length bucket (`LatencySummary`). A request that got
    /// no token counts with its whole timeout; a refused one is not counted.
    pub ttft_ms: Map<String, Value>,
    /// Inter-token latency.
    pub itl_ms: GapSummary,
    /// Time to first token of prompts of at most 4k tokens, relative to the computed
    /// time on an idle engine with the network hops; requests count as in `ttft_ms`.
    pub short_slowdown: SlowdownSummary,
    /// Time to first token by plan (`PlanReport`); requests count as in `ttft_ms`.
    /// In `big-customer` also `other-paying`: the paying requests outside the
    /// disturbance.
    pub by_plan: Map<String, Value>,
    /// Requests answered completely within their deadline.
    pub finished: u64,
    /// Requests refused and not retried.
    pub refused: u64,
    /// Requests that failed or missed their deadline.
    pub failed: u64,
    /// Requests without an outcome, or reported complete with tokens missing.
    pub lost: u64,
    /// Duplicate answers and tokens.
    pub doubled: u64,
    /// Prompt and answer tokens per second of requests finished while requests
    /// still arrived.
    pub goodput_tokens_s: u64,
}

/// Results of one scenario under every policy.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct BenchReport {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the run.
    pub seed: u64,
    /// Requests sent, not counting retries; the run without the disturbance sends
    /// fewer, or as many when only crashes are left out.
    pub requests: usize,
    /// Reports by policy (`PolicyReport`); `gentiantally-alone` is the run without
    /// the disturbance.
    pub policies: Map<String, Value>,
}

impl BenchReport {
    pub(crate) fn new(kind: ScenarioKind, seed: u64, requests: usize) -> Self {
        Self {
            scenario: kind.name().to_owned(),
            seed,
            requests,
            policies: Map::new(),
        }
    }

    pub(crate) fn add(&mut self, policy: &str, ledger: &RequestLedger) {
        let kind = ScenarioKind::named(&self.scenario);
        let report = policy_report(ledger, kind == Some(ScenarioKind::BigCustomer));
        self.policies.insert(policy.to_owned(), value_of(&report));
    }

    /// Returns the report of a policy by its name.
    #[must_use]
    pub fn policy(&self, name: &str) -> Option<PolicyReport> {
        let value = self.policies.get(name)?.clone();
        serde_json::from_value(value).ok()
    }
}

impl PolicyReport {
    /// Time to first token of a length bucket, such as `4k`.
    #[must_use]
    pub fn bucket(&self, name: &str) -> Option<LatencySummary> {
        serde_json::from_value(self.ttft_ms.get(name)?.clone()).ok()
    }

    /// Results of one entry of `by_plan`, such as `paying`.
    #[must_use]
    pub fn plan(&self, name: &str) -> Option<PlanReport> {
        serde_json::from_value(self.by_plan.get(name)?.clone()).ok()
    }
}

fn value_of(value: &impl Serialize) -> Value {
    serde_json::to_value(value).unwrap_or(Value::Null)
}

/// Builds the report of one policy; `other_paying` adds the entry `other-paying`
/// to `by_plan`.
fn policy_report(ledger: &RequestLedger, other_paying: bool) -> PolicyReport {
    PolicyReport {
        ttft_ms: by_bucket(ledger),
        itl_ms: GapSummary {
            p50: milliseconds(&ledger.itl_us, 0.50),
            p95: milliseconds(&ledger.itl_us, 0.95),
        },
        short_slowdown: slowdown(ledger),
        by_plan: by_plan(ledger, other_paying),
        finished: ledger.count(CallerOutcome::Finished),
        refused: ledger.count(CallerOutcome::Refused),
        failed: ledger.count(CallerOutcome::Failed),
        lost: ledger.lost(),
        doubled: ledger.duplicates,
        goodput_tokens_s: goodput(ledger),
    }
}

fn by_bucket(ledger: &RequestLedger) -> Map<String, Value> {
    let mut buckets = Map::new();
    let mut least = 0;
    for bucket in BUCKETS {
        let times = ttft_histogram(ledger, |request| {
            request.prompt_tokens > least && request.prompt_tokens <= bucket.limit
        });
        let summary = LatencySummary {
            count: times.len(),
            p50: milliseconds(&times, 0.50),
            p95: milliseconds(&times, 0.95),
            p99: milliseconds(&times, 0.99),
        };
        buckets.insert(bucket.name.to_owned(), value_of(&summary));
        least = bucket.limit;
    }
    buckets
}

fn by_plan(ledger: &RequestLedger, other_paying: bool) -> Map<String, Value> {
    let paying = |request: &BenchRequest| request.plan == PlanKind::Paying;
    let mut plans = Map::new();
    plans.insert("paying".to_owned(), plan_report(ledger, paying));
    let trial = plan_report(ledger, |request| request.plan == PlanKind::Trial);
    plans.insert("trial".to_owned(), trial);
    if other_paying {
        let others = plan_report(ledger, |request| paying(request) && !request.disturbance);
        plans.insert("other-paying".to_owned(), others);
    }
    plans
}

fn plan_report(ledger: &RequestLedger, wanted: impl Fn(&BenchRequest) -> bool) -> Value {
    let times = ttft_histogram(ledger, wanted);
    let ttft_ms = TailSummary {
        p50: milliseconds(&times, 0.50),
        p95: milliseconds(&times, 0.95),
        p99: milliseconds(&times, 0.99),
    };
    value_of(&PlanReport { ttft_ms })
}

/// Histogram of the times to first token of the matching requests. One that
/// got no token counts with its whole timeout, unless it was refused.
fn ttft_histogram(
    ledger: &RequestLedger,
    wanted: impl Fn(&BenchRequest) -> bool,
) -> Histogram<u64> {
    let mut times = histogram();
    for (request, record) in requests_with_records(ledger) {
        if !wanted(request) {
            continue;
        }
        if let Some(ttft) = counted_ttft(request, record) {
            record_duration(&mut times, ttft);
        }
    }
    times
}

fn counted_ttft(request: &BenchRequest, record: &RequestRecord) -> Option<Duration> {
    match record.outcome {
        CallerOutcome::Refused => None,
        _ => Some(record.ttft.unwrap_or(request.timeout)),
    }
}

fn requests_with_records(
    ledger: &RequestLedger,
) -> impl Iterator<Item = (&BenchRequest, &RequestRecord)> {
    ledger.scope.requests.iter().zip(&ledger.records)
}

fn slowdown(ledger: &RequestLedger) -> SlowdownSummary {
    let profile = engine_profile(String::new(), String::new());
    let mut slowdowns = histogram();
    for (request, record) in requests_with_records(ledger) {
        if request.prompt_tokens > SHORT_TOKENS {
            continue;
        }
        let Some(ttft) = counted_ttft(request, record) else {
            continue;
        };
        let idle =
            prefill_time(&profile, 0, request.prompt_tokens, 1.0) + HOP_DELAY * ROUND_TRIP_HOPS;
        let scaled = ttft.as_secs_f64() / idle.as_secs_f64() * SLOWDOWN_SCALE;
        slowdowns.saturating_record(rounded_u64(scaled));
    }
    let at = |quantile| rounded(as_f64(slowdowns.value_at_quantile(quantile)) / SLOWDOWN_SCALE);
    SlowdownSummary {
        p50: at(0.50),
        p99: at(0.99),
    }
}

fn goodput(ledger: &RequestLedger) -> u64 {
    let end = ledger.scope.start + ledger.scope.duration;
    let tokens: TokenCount = requests_with_records(ledger)
        .filter(|(_, record)| record.outcome == CallerOutcome::Finished)
        .filter(|(_, record)| record.finished.is_some_and(|finished| finished <= end))
        .map(|(request, record)| request.prompt_tokens + record.delivered)
        .sum();
    rounded_u64(as_f64(tokens) / ledger.scope.duration.as_secs_f64())
}

fn milliseconds(times: &Histogram<u64>, quantile: f64) -> f64 {
    rounded(as_f64(times.value_at_quantile(quantile)) / 1_000.0)
}

/// Rounds to thousandths, so that equal runs print equal digits.
fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}

#[allow(clippy::cast_precision_loss)]
fn as_f64(value: u64) -> f64 {
    value as f64
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn rounded_u64(value: f64) -> u64 {
    value.max(0.0).round() as u64
}
