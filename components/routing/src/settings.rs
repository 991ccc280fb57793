//! Settings of the scheduler.

use std::time::Duration;

use admission::QueueBounds;

/// Settings of a node's scheduler.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerSettings {
    /// Longest time between two `Tick` events.
    pub tick: Duration,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Bounds of the node's queue.
    pub queue: QueueBounds,
    /// Smallest fraction of engine time that queued trial work gets, from 0 to
    /// 1.
    pub trial_floor: f64,
    /// Most tokens of earlier use, here or on other nodes, that count against
    /// an organisation's share when its queue on this node becomes non-empty.
    pub fairness_lead_tokens: u64,
    /// Factor on estimated waits at admission; at least 1.
    pub wait_margin: f64,
    /// Fraction of an engine's KV cache that only short prompts may fill, from
    /// 0 to 1.
    pub short_headroom: f64,
    /// A trial prompt beyond the floor starts only if all best-effort prompts
    /// in the engine's batch, itself included, would take at most this fraction
    /// of the engine's speed, from 0 to 1. Does not apply to an empty engine.
    pub trial_drag: f64,
    /// The same limit for a paying prompt of an organisation over its share.
    pub surplus_drag: f64,
    /// Longest prefill time ahead of a prompt on an engine that it may be sent
    /// to. For a prompt that is not short, short and best-effort prefills are
    /// not counted, nor is a single prefill that the prompt may preempt. The
    /// time that the engine's prefix cache saves the prompt is added to the
    /// limit.
    pub engine_backlog_limit: Duration,
    /// Age above which another node's summary is ignored.
    pub summary_lifetime: Duration,
    /// Retries added to the budget for each request that arrives.
    pub retry_ratio: f64,
    /// Largest number of retries that the budget holds.
    pub retry_burst: f64,
    /// Number of failed attempts and forwards at which a request is refused.
    /// Refused gang reservations do not count.
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
