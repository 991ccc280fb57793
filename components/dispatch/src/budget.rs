//! Retry budget: limits how often a node sends a request to another upstream.
//!
//! The limit applies to all nodes together. Each node divides the fixed number
//! of retries by the number of nodes that it knows to exist, heard or not, so that
//! nodes that start together or are in a network partition don't each use the whole
//! budget. A node that has read no list of all nodes takes none of the fixed number.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use types::ServiceName;

/// Share of the limit that a node uses, so that windows during which the
/// membership changes stay within the limit.
const BUDGET_SHARE: f64 = 0.75;

/// Counts one node's first sends and retries of each service in a sliding
/// window.
#[derive(Debug)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    extra_retries: f64,
    services: HashMap<ServiceName, ServiceSends>,
}

/// Whether a retry was allowed, and by which figures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryVerdict {
    /// Whether the retry may be sent.
    pub is_allowed: bool,
    /// Retries of this node in the window, this one included if it is allowed.
    pub used: usize,
    /// Retries that this node may have used in the window.
    pub bound: f64,
}

#[derive(Debug, Default)]
struct ServiceSends {
    first_sends: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// Creates a budget that allows all nodes together `ratio` retries per
    /// first send plus `extra_retries` retries in any `window`.
    #[must_use]
    pub fn new(window: Duration, ratio: f64, extra_retries: f64) -> Self {
        Self {
            window,
            ratio,
            extra_retries,
            services: HashMap::new(),
        }
    }

    /// Records the first send of a request for `service`.
    pub fn record_request(&mut self, now: Instant, service: &str) {
        let window = self.window;
        let sends = self.services.entry(service.to_owned()).or_default();
        sends.first_sends.push_back(now);
        sends.expire(now, window);
    }

    /// Whether this node's share of the budget allows a retry, in a fleet of `nodes`;
    /// `None` if their number is not known yet.
    pub fn allows_retry(&mut self, now: Instant, service: &str, nodes: Option<usize>) -> bool {
        self.judge_retry(now, service, nodes).is_allowed
    }

    /// Uses one retry of the budget, if one is left.
    pub fn take_retry(
        &mut self,
        now: Instant,
        service: &str,
        nodes: Option<usize>,
    ) -> RetryVerdict {
        let mut verdict = self.judge_retry(now, service, nodes);
        if verdict.is_allowed {
            let sends = self.services.entry(service.to_owned()).or_default();
            sends.retries.push_back(now);
            verdict.used += 1;
        }
        verdict
    }

    fn judge_retry(&mut self, now: Instant, service: &str, nodes: Option<usize>) -> RetryVerdict {
        let window = self.window;
        let sends = self.services.entry(service.to_owned()).or_default();
        sends.expire(now, window);
        let share = nodes.map_or(0.0, |nodes| self.extra_retries / to_f64(nodes.max(1)));
        let bound = BUDGET_SHARE * (self.ratio * to_f64(sends.first_sends.len()) + share);
        let used = sends.retries.len();
        RetryVerdict {
            is_allowed: to_f64(used) + 1.0 <= bound,
            used,
            bound,
        }
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
