//! Knobs of the scheduler.

use std::time::Duration;

use admission::QueueBounds;

/// Knobs of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerSettings {
    /// Longest time between two `Tick` events.
    pub tick: Duration,
    /// Seed of the randomised choices.
    pub seed: u64,
    /// Most that may wait on this node.
    pub queue: QueueBounds,
    /// Least part of the engines' time that waiting trial work gets, 0 to 1.
    pub trial_floor: f64,
    /// Most tokens that an organisation served elsewhere starts behind the
    /// others here.
    pub fairness_lead_tokens: u64,
    /// Factor on estimated waits at admission, at least 1.
    pub wait_margin: f64,
    /// Part of an engine's KV memory that only short prompts may fill, 0 to 1.
    pub short_headroom: f64,
    /// Part of an engine's speed that trial prompts in its batch may take
    /// from paying ones, 0 to 1.
    pub trial_drag: f64,
    /// The same for paying organisations over their share.
    pub surplus_drag: f64,
    /// Work that may wait on an engine ahead of a prompt handed to it.
    pub engine_backlog_limit: Duration,
    /// Age at which another node's summary is not used any more.
    pub summary_lifetime: Duration,
    /// Retries allowed for each request that arrives.
    pub retry_ratio: f64,
    /// Most retries saved up.
    pub retry_burst: f64,
    /// Most attempts of one request.
    pub attempt_limit: u32,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(50),
            seed: 1,
            queue: QueueBounds {
                requests: 20_000,
                tokens: 200_000_000,
            },
            trial_floor: 0.03,
            fairness_lead_tokens: 1_000_000,
            wait_margin: 1.2,
            short_headroom: 0.1,
            trial_drag: 0.02,
            surplus_drag: 0.06,
            engine_backlog_limit: Duration::from_millis(20),
            summary_lifetime: Duration::from_secs(15),
            retry_ratio: 0.1,
            retry_burst: 20.0,
            attempt_limit: 4,
        }
    }
}
