//! Records how each request ended, as its caller saw it.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use types::TokenCount;

/// Longest recordable time, in microseconds.
const HISTOGRAM_MAX_US: u64 = 3_600_000_000;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallerOutcome {
    /// Not ended; a request still pending at the end of a run counts as lost.
    Pending,
    /// Complete answer within the deadline.
    Finished,
    /// Refused before any token.
    Refused,
    /// Failed, or no complete answer by the deadline.
    Failed,
}

/// What the caller of one request received.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    pub(crate) outcome: CallerOutcome,
    /// Time from sending to the first token at the caller.
    pub(crate) ttft: Option<Duration>,
    /// Answer tokens that the caller received.
    pub(crate) delivered: TokenCount,
    pub(crate) finished: Option<Instant>,
    last_token: Option<Instant>,
    /// Whether an answer token was missing.
    missed_token: bool,
}

impl RequestRecord {
    /// Whether a token arrives after the end or is a duplicate.
    fn rejects_token(&self, index: TokenCount) -> bool {
        self.outcome != CallerOutcome::Pending || index < self.delivered
    }
}

/// The records of all requests in a run.
#[derive(Clone, Debug)]
pub(crate) struct RequestLedger {
    pub(crate) records: Vec<RequestRecord>,
    pub(crate) itl_us: Histogram<u64>,
    /// Duplicate answers and tokens that reached callers.
    pub(crate) duplicates: u64,
    /// Answers reported as complete with tokens missing.
    pub(crate) incomplete: u64,
    pub(crate) scope: LedgerScope,
}

/// The requests of a run and when they arrive.
#[derive(Clone, Debug)]
pub(crate) struct LedgerScope {
    pub(crate) requests: Vec<crate::BenchRequest>,
    pub(crate) start: Instant,
    pub(crate) duration: Duration,
}

impl RequestLedger {
    pub(crate) fn new(scope: LedgerScope) -> Self {
        let record = RequestRecord {
            outcome: CallerOutcome::Pending,
            ttft: None,
            delivered: 0,
            finished: None,
            last_token: None,
            missed_token: false,
        };
        Self {
            records: vec![record; scope.requests.len()],
            itl_us: histogram(),
            duplicates: 0,
            incomplete: 0,
            scope,
        }
    }

    pub(crate) fn is_open(&self, request: usize) -> bool {
        self.records[request].outcome == CallerOutcome::Pending
    }

    pub(crate) fn delivered(&self, request: usize) -> TokenCount {
        self.records[request].delivered
    }

    /// Records a token that reached the caller. Tokens after a reported failure
    /// are dropped before they reach the caller, so they don't count as duplicates.
    pub(crate) fn record_token(&mut self, request: usize, index: TokenCount, at: Instant) {
        let sent = self.scope.start + self.scope.requests[request].at;
        let record = &mut self.records[request];
        if record.rejects_token(index) {
            self.duplicates += u64::from(record.outcome != CallerOutcome::Failed);
            return;
        }
        record.missed_token |= index > record.delivered;
        record.delivered = index + 1;
        if let Some(last) = record.last_token {
            let gap = at.saturating_duration_since(last);
            record_duration(&mut self.itl_us, gap);
        }
        record.last_token = Some(at);
        if record.ttft.is_none() {
            record.ttft = Some(at.saturating_duration_since(sent));
        }
    }

    /// Records a complete answer; past the deadline it counts as a failure. Like a
    /// token, one after a reported failure doesn't count as a duplicate.
    pub(crate) fn record_finish(&mut self, request: usize, tokens: TokenCount, at: Instant) {
        let spec = &self.scope.requests[request];
        let in_time = at <= self.scope.start + spec.at + spec.timeout;
        let record = &mut self.records[request];
        if record.outcome != CallerOutcome::Pending {
            self.duplicates += u64::from(record.outcome != CallerOutcome::Failed);
            return;
        }
        if record.missed_token || record.delivered != tokens {
            self.incomplete += 1;
        }
        if !in_time {
            record.outcome = CallerOutcome::Failed;
            return;
        }
        record.outcome = CallerOutcome::Finished;
        record.finished = Some(at);
    }

    /// Records a final refusal or a failure reported to the caller.
    pub(crate) fn record_outcome(&mut self, request: usize, outcome: CallerOutcome) {
        let record = &mut self.records[request];
        if record.outcome != CallerOutcome::Pending {
            self.duplicates += 1;
            return;
        }
        record.outcome = outcome;
    }

    pub(crate) fn count(&self, outcome: CallerOutcome) -> u64 {
        let matching = self
            .records
            .iter()
            .filter(|record| record.outcome == outcome);
        u64::try_from(matching.count()).unwrap_or(u64::MAX)
    }

    /// Requests without an outcome, and answers reported complete with tokens
    /// missing.
    pub(crate) fn lost(&self) -> u64 {
        self.count(CallerOutcome::Pending) + self.incomplete
    }
}

pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(HISTOGRAM_MAX_US, 3)
        .unwrap_or_else(|_| Histogram::new(3).expect("3 digits"))
}

pub(crate) fn record_duration(histogram: &mut Histogram<u64>, value: Duration) {
    let micros = u64::try_from(value.as_micros()).unwrap_or(u64::MAX);
    histogram.saturating_record(micros);
}
