//! The settings of a node as knobs of its scheduler.

use std::time::Duration;

use admission::QueueBounds;
use routing::SchedulerSettings;
use settings::SchedulingSettings;

/// The scheduler's knobs, with `seed` for its randomised choices.
#[must_use]
pub fn scheduler_settings(knobs: &SchedulingSettings, seed: u64) -> SchedulerSettings {
    SchedulerSettings {
        seed,
        queue: QueueBounds {
            requests: knobs.queue.requests,
            tokens: knobs.queue.tokens,
        },
        trial_floor: knobs.trial_floor,
        wait_margin: knobs.wait_margin,
        short_headroom: knobs.short_headroom,
        trial_drag: knobs.trial_drag,
        surplus_drag: knobs.surplus_drag,
        engine_backlog_limit: Duration::from_millis(knobs.engine_backlog_ms),
        summary_lifetime: Duration::from_millis(knobs.summary_lifetime_ms),
        retry_ratio: knobs.retry_ratio,
        retry_burst: knobs.retry_burst,
        attempt_limit: knobs.attempt_limit,
        ..SchedulerSettings::default()
    }
}
