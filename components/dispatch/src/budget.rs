//! Retry budget: limits how often a node sends a request to another upstream.
//!
//! The limit applies to all nodes together. Each node divides the fixed number
//! of retries by the number of nodes that it knows to exist, heard or not, so that
//! nodes that start together or are in a network partition don't each use the whole
//! budget. A node that doesn't know their number takes none of the fixed number.
//!
//! A node counts its retries in memory, so a process that starts doesn't know what the
//! ones before it have used. Until it has counted for a whole window it takes a part that
//! is kept for such processes, however many of them there are.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use types::ServiceName;

/// Share of the limit that nodes use together which have counted for a whole window.
const BUDGET_SHARE: f64 = 0.5;
/// Share of the limit that all processes use together which have not counted for a whole
/// window. The fixed number comes to a process evenly over the window: a node whose process
/// starts again and again gets no more of it than one that starts once. What is left of the
/// limit is for requests that arrive later than they were counted.
const START_SHARE: f64 = 0.45;

/// Accuracy with which the next retry is foreseen.
const FORECAST_STEP: Duration = Duration::from_millis(100);

/// Retries that all nodes together may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Span in which requests and retries are counted.
    pub window: Duration,
    /// Retries for each first send.
    pub ratio: f64,
    /// Retries in addition.
    pub extra_retries: f64,
}

/// Counts one node's first sends and retries of each service in a sliding
/// window.
#[derive(Debug)]
pub struct RetryBudget {
    /// When the process began to count.
    started: Instant,
    limit: RetryLimit,
    /// What is added to a new process's part before it is rounded down, 0 to 1. Drawn by
    /// each process, so that the fractions of many add up to what they have together.
    rounding: f64,
    services: HashMap<ServiceName, ServiceSends>,
    next_number: LineNumber,
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

/// Number of a request in the line for the retries of its service.
pub type LineNumber = u64;

#[derive(Debug, Default)]
struct ServiceSends {
    first_sends: VecDeque<Instant>,
    retries: VecDeque<Instant>,
    /// Requests that wait for a retry, the first one first.
    line: VecDeque<LineNumber>,
}

impl RetryBudget {
    /// Creates the budget of a process that starts at `started`. `rounding` is a random
    /// number from 0 to 1.
    #[must_use]
    pub fn new(started: Instant, limit: RetryLimit, rounding: f64) -> Self {
        Self {
            started,
            limit,
            rounding,
            services: HashMap::new(),
            next_number: 0,
        }
    }

    /// Records the first send of a request for `service`.
    pub fn record_request(&mut self, now: Instant, service: &str) {
        let window = self.limit.window;
        let sends = self.services.entry(service.to_owned()).or_default();
        sends.first_sends.push_back(now);
        sends.expire(now, window);
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

    /// Whether this node's share of the budget allows a retry, in a fleet of `nodes`;
    /// `None` if their number is not known yet.
    pub fn judge_retry(
        &mut self,
        now: Instant,
        service: &str,
        nodes: Option<usize>,
    ) -> RetryVerdict {
        let window = self.limit.window;
        let sends = self.services.entry(service.to_owned()).or_default();
        sends.expire(now, window);
        let sends = &self.services[service];
        let bound = self.bound(now, sends.first_sends.len(), nodes);
        let used = sends.retries.len();
        RetryVerdict {
            is_allowed: to_f64(used) + 1.0 <= bound,
            used,
            bound,
        }
    }

    /// Retries that this node may have used in the window before `at`, in which it has sent
    /// `first_sends` requests.
    fn bound(&self, at: Instant, first_sends: usize, nodes: Option<usize>) -> f64 {
        let RetryLimit {
            window,
            ratio,
            extra_retries,
        } = self.limit;
        let counted = at.saturating_duration_since(self.started);
        let extra = nodes.map_or(0.0, |nodes| extra_retries / to_f64(nodes.max(1)));
        let earned = ratio * to_f64(first_sends);
        if counted >= window {
            BUDGET_SHARE * (earned + extra)
        } else {
            let part = earned + extra * counted.div_duration_f64(window);
            START_SHARE * part + self.rounding
        }
    }

    /// Puts a request at the end of the line for the retries of `service`.
    pub fn join_line(&mut self, service: &str) -> LineNumber {
        let number = self.next_number;
        self.next_number += 1;
        let sends = self.services.entry(service.to_owned()).or_default();
        sends.line.push_back(number);
        number
    }

    /// Takes a request out of the line.
    pub fn leave_line(&mut self, service: &str, number: LineNumber) {
        if let Some(sends) = self.services.get_mut(service) {
            sends.line.retain(|other| *other != number);
        }
    }

    /// Number of requests that wait for a retry of `service` before the one with this
    /// number.
    #[must_use]
    pub fn waiting_before(&self, service: &str, number: LineNumber) -> usize {
        let line = self.services.get(service).map(|sends| &sends.line);
        let others = line.into_iter().flatten();
        others.filter(|other| **other < number).count()
    }

    /// Time after which the budget allows a retry behind `waiting` others, even if no further
    /// requests arrive; `None` if it doesn't within `limit`.
    #[must_use]
    pub fn time_to_retry(
        &self,
        now: Instant,
        service: &str,
        nodes: Option<usize>,
        waiting: usize,
        limit: Duration,
    ) -> Option<Duration> {
        let sends = self.services.get(service)?;
        let steps = (0_u32..).map(|step| FORECAST_STEP * step);
        let mut times = steps.take_while(|time| *time <= limit);
        times.find(|time| {
            let at = now + *time;
            let in_window = |times: &VecDeque<Instant>| {
                let expired =
                    |at_send: &Instant| at.saturating_duration_since(*at_send) > self.limit.window;
                times.len() - times.partition_point(expired)
            };
            let bound = self.bound(at, in_window(&sends.first_sends), nodes);
            to_f64(in_window(&sends.retries) + waiting) + 1.0 <= bound
        })
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
