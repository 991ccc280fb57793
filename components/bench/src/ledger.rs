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
pub(crate) struct RequestAccount {
    pub(crate) outcome: CallerOutcome,
    /// Time from sending to the first token at the caller.
    pub(crate) ttft: Option<Duration>,
    /// Answer tokens that the caller received.
    pub(crate) delivered: TokenCount,
    pub(crate) finished: Option<Instant>,
    last_token: Option<Instant>,
    /// Whether an answer token was missing.
    gap: bool,
}

impl RequestAccount {
    /// Whether a token arrives after the end or is a duplicate. Tokens after a
    /// reported failure are dropped before they reach the caller.
    fn is_closed_to(&self, index: TokenCount) -> bool {
        self.outcome != CallerOutcome::Pending || index < self.delivered
    }
}

/// The records of all requests in a run.
#[derive(Clone, Debug)]
pub(crate) struct Ledger {
    pub(crate) accounts: Vec<RequestAccount>,
    pub(crate) itl_us: Histogram<u64>,
    /// Duplicate answers and tokens that reached callers.
    pub(crate) doubled: u64,
    /// Answers reported as complete with tokens missing.
    pub(crate) broken: u64,
    pub(crate) plan: LedgerPlan,
}

/// The requests of a run and when they arrive.
#[derive(Clone, Debug)]
pub(crate) struct LedgerPlan {
    pub(crate) requests: Vec<crate::BenchRequest>,
    pub(crate) start: Instant,
    pub(crate) duration: Duration,
}

impl Ledger {
    pub(crate) fn new(plan: LedgerPlan) -> Self {
        let account = RequestAccount {
            outcome: CallerOutcome::Pending,
            ttft: None,
            delivered: 0,
            finished: None,
            last_token: None,
            gap: false,
        };
        Self {
            accounts: vec![account; plan.requests.len()],
            itl_us: histogram(),
            doubled: 0,
            broken: 0,
            plan,
        }
    }

    pub(crate) fn is_open(&self, request: usize) -> bool {
        self.accounts[request].outcome == CallerOutcome::Pending
    }

    pub(crate) fn delivered(&self, request: usize) -> TokenCount {
        self.accounts[request].delivered
    }

    /// Records a token that reached the caller.
    pub(crate) fn token(&mut self, request: usize, index: TokenCount, at: Instant) {
        let sent = self.plan.start + self.plan.requests[request].at;
        let account = &mut self.accounts[request];
        if account.is_closed_to(index) {
            self.doubled += u64::from(account.outcome != CallerOutcome::Failed);
            return;
        }
        account.gap |= index > account.delivered;
        account.delivered = index + 1;
        if let Some(last) = account.last_token {
            let gap = at.saturating_duration_since(last);
            record(&mut self.itl_us, gap);
        }
        account.last_token = Some(at);
        if account.ttft.is_none() {
            account.ttft = Some(at.saturating_duration_since(sent));
        }
    }

    /// Records a complete answer; past the deadline it counts as a failure.
    pub(crate) fn finish(&mut self, request: usize, tokens: TokenCount, at: Instant) {
        let spec = &self.plan.requests[request];
        let in_time = at <= self.plan.start + spec.at + spec.patience;
        let account = &mut self.accounts[request];
        if account.outcome != CallerOutcome::Pending {
            self.doubled += u64::from(account.outcome != CallerOutcome::Failed);
            return;
        }
        if account.gap || account.delivered != tokens {
            self.broken += 1;
        }
        if !in_time {
            account.outcome = CallerOutcome::Failed;
            return;
        }
        account.outcome = CallerOutcome::Finished;
        account.finished = Some(at);
    }

    /// Records a final refusal or a failure reported to the caller.
    pub(crate) fn end(&mut self, request: usize, outcome: CallerOutcome) {
        let account = &mut self.accounts[request];
        if account.outcome != CallerOutcome::Pending {
            self.doubled += 1;
            return;
        }
        account.outcome = outcome;
    }

    pub(crate) fn count(&self, outcome: CallerOutcome) -> u64 {
        let matching = self
            .accounts
            .iter()
            .filter(|account| account.outcome == outcome);
        u64::try_from(matching.count()).unwrap_or(u64::MAX)
    }

    /// Requests without an outcome, and answers reported complete with tokens
    /// missing.
    pub(crate) fn lost(&self) -> u64 {
        self.count(CallerOutcome::Pending) + self.broken
    }
}

pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(HISTOGRAM_MAX_US, 3)
        .unwrap_or_else(|_| Histogram::new(3).expect("3 digits"))
}

pub(crate) fn record(histogram: &mut Histogram<u64>, value: Duration) {
    let micros = u64::try_from(value.as_micros()).unwrap_or(u64::MAX);
    histogram.saturating_record(micros);
}
