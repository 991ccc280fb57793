//! Bounds how often a node sends a request to a further upstream.
//!
//! The bound holds for all nodes together: each takes its share of the
//! allowance by the largest number of nodes it knew lately, so that nodes that
//! can't hear each other don't all take the whole.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use types::ServiceName;

/// Part of the bound that a node uses, so that windows that straddle a change
/// of membership stay below it.
const BUDGET_SHARE: f64 = 0.75;

/// Repeats and first sends of one node, by service.
#[derive(Debug)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    min_retries: f64,
    services: HashMap<ServiceName, ServiceSends>,
}

#[derive(Debug, Default)]
struct ServiceSends {
    first_sends: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// A budget of `ratio` times the first sends plus `allowance` repeats in
    /// any `window`, for all nodes together.
    #[must_use]
    pub fn new(window: Duration, ratio: f64, min_retries: f64) -> Self {
        Self {
            window,
            ratio,
            min_retries,
            services: HashMap::new(),
        }
    }

    /// Notes a request for `service`.
    pub fn record_request(&mut self, now: Instant, service: &str) {
        let window = self.window;
        let sends = self.services.entry(service.to_owned()).or_default();
        sends.first_sends.push_back(now);
        sends.expire(now, window);
    }

    /// Whether the share of one of `nodes` nodes allows a repeat.
    pub fn allows_retry(&mut self, now: Instant, service: &str, nodes: usize) -> bool {
        let window = self.window;
        let sends = self.services.entry(service.to_owned()).or_default();
        sends.expire(now, window);
        let share = self.min_retries / to_f64(nodes.max(1));
        let bound = BUDGET_SHARE * (self.ratio * to_f64(sends.first_sends.len()) + share);
        to_f64(sends.retries.len()) + 1.0 <= bound
    }

    /// Takes one repeat, if it is allowed.
    pub fn take_retry(&mut self, now: Instant, service: &str, nodes: usize) -> bool {
        if !self.allows_retry(now, service, nodes) {
            return false;
        }
        let sends = self.services.entry(service.to_owned()).or_default();
        sends.retries.push_back(now);
        true
    }
}

impl ServiceSends {
    fn expire(&mut self, now: Instant, window: Duration) {
        for timestamps in [&mut self.first_sends, &mut self.retries] {
            while timestamps
                .front()
                .is_some_and(|sent_at| now.duration_since(*sent_at) > window)
            {
                timestamps.pop_front();
            }
        }
    }
}

fn to_f64(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
