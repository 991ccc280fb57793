//! Settings of routing and admission.

use serde::{Deserialize, Serialize};
use types::TokenCount;

use crate::FaultList;

/// Limits of a node's request queue.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct QueueSettings {
    /// Maximum number of queued requests, at least 1.
    pub requests: usize,
    /// Maximum number of queued prompt tokens, at least 1000.
    pub tokens: TokenCount,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            requests: 20_000,
            tokens: 200_000_000,
        }
    }
}

/// Settings of the scheduler; the operators' documentation describes their effects.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct SchedulingSettings {
    /// Limits of the node's request queue.
    pub queue: QueueSettings,
    /// Smallest fraction of engine time that queued trial work gets, 0 to 1.
    pub trial_floor: f64,
    /// Factor on estimated queue waits at admission, 1 to 10.
    pub wait_margin: f64,
    /// Fraction of an engine's KV cache that only short prompts may fill, 0 to 1.
    pub short_headroom: f64,
    /// Maximum slowdown of an engine's other prompts that trial prompts beyond
    /// `trial_floor` may cause in its batch, as a fraction, 0 to 1.
    pub trial_drag: f64,
    /// The same limit for the prompts of a paying organisation that is over its fair
    /// share of the engines and has further prompts queued, 0 to 1.
    pub surplus_drag: f64,
    /// Maximum prefill time queued on an engine ahead of a new prompt, in
    /// milliseconds, 0 to 60000.
    pub engine_backlog_ms: u64,
    /// Age above which another node's gossiped summary of its state is ignored, in
    /// milliseconds, 1000 to 3600000.
    pub summary_lifetime_ms: u64,
    /// Retries added to the retry budget for each arriving request, 0 to 1.
    pub retry_ratio: f64,
    /// Maximum number of retries in the budget, 1 to 10000.
    pub retry_burst: f64,
    /// Maximum number of attempts of one request, 1 to 100.
    pub attempt_limit: u32,
}

impl Default for SchedulingSettings {
    fn default() -> Self {
        Self {
            queue: QueueSettings::default(),
            trial_floor: 0.03,
            wait_margin: 1.2,
            short_headroom: 0.1,
            trial_drag: 0.02,
            surplus_drag: 0.06,
            engine_backlog_ms: 20,
            summary_lifetime_ms: 15_000,
            retry_ratio: 0.1,
            retry_burst: 20.0,
            attempt_limit: 4,
        }
    }
}

impl SchedulingSettings {
    /// Adds a fault to `list` for each value out of range.
    pub(crate) fn check(&self, list: &mut FaultList<'_>) {
        let fraction_expected = "expected a value from 0 to 1";
        let is_fraction = |value: f64| (0.0..=1.0).contains(&value);
        list.require(
            is_fraction(self.trial_floor),
            "scheduling.trial_floor",
            fraction_expected,
        );
        list.require(
            is_fraction(self.short_headroom),
            "scheduling.short_headroom",
            fraction_expected,
        );
        list.require(
            is_fraction(self.trial_drag),
            "scheduling.trial_drag",
            fraction_expected,
        );
        list.require(
            is_fraction(self.surplus_drag),
            "scheduling.surplus_drag",
            fraction_expected,
        );
        list.require(
            is_fraction(self.retry_ratio),
            "scheduling.retry_ratio",
            fraction_expected,
        );
        list.require(
            (1.0..=10.0).contains(&self.wait_margin),
            "scheduling.wait_margin",
            "expected a value from 1 to 10",
        );
        list.require(
            (1.0..=10_000.0).contains(&self.retry_burst),
            "scheduling.retry_burst",
            "expected a value from 1 to 10000",
        );
        list.require(
            self.queue.requests >= 1,
            "scheduling.queue.requests",
            "expected at least 1",
        );
        list.require(
            self.queue.tokens >= 1_000,
            "scheduling.queue.tokens",
            "expected at least 1000",
        );
        list.require_range(
            self.attempt_limit.into(),
            1,
            100,
            "scheduling.attempt_limit",
        );
        list.require_range(
            self.engine_backlog_ms,
            0,
            60_000,
            "scheduling.engine_backlog_ms",
        );
        list.require_range(
            self.summary_lifetime_ms,
            1_000,
            3_600_000,
            "scheduling.summary_lifetime_ms",
        );
    }
}
