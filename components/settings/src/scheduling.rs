//! Knobs of routing and admission.

use serde::{Deserialize, Serialize};
use types::TokenCount;

use crate::FaultList;

/// Most that may wait on a node.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct QueueSettings {
    /// Requests.
    pub requests: usize,
    /// Prompt tokens.
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

/// Knobs of the scheduler; the operators' pages say what each does.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct SchedulingSettings {
    /// Most that may wait on a node.
    pub queue: QueueSettings,
    /// Least part of the service that waiting trial work gets, 0 to 1.
    pub trial_floor: f64,
    /// Factor on estimated waits at admission, at least 1.
    pub wait_margin: f64,
    /// Part of an engine's memory that only short prompts may fill, 0 to 1.
    pub short_headroom: f64,
    /// Part of an engine's speed that trial prompts beyond the floor may take.
    pub trial_drag: f64,
    /// The same for an organisation over its share that has a backlog.
    pub surplus_drag: f64,
    /// Work that may wait on an engine ahead of a prompt, in milliseconds.
    pub engine_backlog_ms: u64,
    /// Age at which another node's summary is not used, in milliseconds.
    pub summary_lifetime_ms: u64,
    /// Retries allowed for each request that arrives.
    pub retry_ratio: f64,
    /// Most retries saved up.
    pub retry_burst: f64,
    /// Most attempts of one request.
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
    /// Adds the faults of meaning to `list`.
    pub(crate) fn check(&self, list: &mut FaultList<'_>) {
        let part = "expected a value from 0 to 1";
        let is_part = |value: f64| (0.0..=1.0).contains(&value);
        list.require(is_part(self.trial_floor), "scheduling.trial_floor", part);
        list.require(
            is_part(self.short_headroom),
            "scheduling.short_headroom",
            part,
        );
        list.require(is_part(self.trial_drag), "scheduling.trial_drag", part);
        list.require(is_part(self.surplus_drag), "scheduling.surplus_drag", part);
        list.require(is_part(self.retry_ratio), "scheduling.retry_ratio", part);
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
