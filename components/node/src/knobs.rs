//! Converts a node's settings to settings of its scheduler.

use std::time::Duration;

use admission::QueueBounds;
use routing::SchedulerSettings;
use settings::SchedulingSettings;

/// Settings of the scheduler; `seed` starts its random number generator.
#[must_use]
pub fn scheduler_settings(scheduling: &SchedulingSettings, seed: u64) -> SchedulerSettings {
    SchedulerSettings {
        seed,
        queue: QueueBounds {
            requests: scheduling.queue.requests,
            tokens: scheduling.queue.tokens,
        },
        trial_floor: scheduling.trial_floor,
        wait_margin: scheduling.wait_margin,
        short_headroom: scheduling.short_headroom,
        trial_drag: scheduling.trial_drag,
        surplus_drag: scheduling.surplus_drag,
        engine_backlog_limit: Duration::from_millis(scheduling.engine_backlog_ms),
        summary_lifetime: Duration::from_millis(scheduling.summary_lifetime_ms),
        retry_ratio: scheduling.retry_ratio,
        retry_burst: scheduling.retry_burst,
        attempt_limit: scheduling.attempt_limit,
        ..SchedulerSettings::default()
    }
}
