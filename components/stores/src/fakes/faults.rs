//! Fault injection, controlled by tests and by operators of the programs that
//! simulate the platform's services.

use std::{
    future::pending,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use errors::PlatformError;
use kernel::ClockSource;
use serde::{Deserialize, Serialize};

const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Behaviour of a service during an outage.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum OutageKind {
    /// No outage: calls are served.
    #[default]
    None,
    /// Calls are refused with a response.
    Refuse,
    /// Connections close without a response; calls have no effect.
    Cut,
    /// Calls never get a response and have no effect.
    Hang,
}

/// Faults and rate limits of one service. `lose_requests`, `lose_answers` and
/// `hold_writes` count down with each write that they affect.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct InjectedFaults {
    /// Kind of outage, if any.
    pub outage: OutageKind,
    /// Delay before each call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Delay between a write's effect and its response, in milliseconds.
    pub answer_delay_ms: u64,
    /// Number of writes to lose before they take effect.
    pub lose_requests: u32,
    /// Number of writes whose response to lose after they took effect.
    pub lose_answers: u32,
    /// Number of writes to hold; they get no response. `MemoryTable` applies them when
    /// they are released, `MemoryObjects` drops them and `MemoryWeights` grants the
    /// slot at once.
    pub hold_writes: u32,
    /// Age of the data that lagging reads and the host list return, in milliseconds.
    pub lag_ms: u64,
    /// Maximum number of reads per second; 0 for no limit.
    pub reads_per_s: u32,
    /// Maximum number of writes per second; 0 for no limit.
    pub writes_per_s: u32,
}

/// Whether a call may change data; selects its rate limit and faults.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// Changes nothing.
    Read,
    /// May change data.
    Write,
}

/// Outcome that the faults select for a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum InjectedOutcome {
    Answered,
    RequestLost,
    AnswerLost,
    Held,
}

#[derive(Debug, Default)]
struct RateWindow {
    started_at: Option<Instant>,
    calls: u32,
}

#[derive(Debug, Default)]
struct InjectorState {
    faults: InjectedFaults,
    reads: RateWindow,
    writes: RateWindow,
}

/// Applies the configured faults and rate limits to the calls of one service.
#[derive(Debug)]
pub struct FaultInjector {
    name: String,
    clock: ClockSource,
    state: Mutex<InjectorState>,
}

impl FaultInjector {
    /// Creates an injector without faults; errors name `name` as the peer.
    #[must_use]
    pub fn new(name: &str, clock: ClockSource) -> Self {
        Self {
            name: name.to_owned(),
            clock,
            state: Mutex::default(),
        }
    }

    /// Returns the current faults, with the remaining counters.
    #[must_use]
    pub fn faults(&self) -> InjectedFaults {
        self.with_state(|state| state.faults.clone())
    }

    /// Replaces all faults and limits.
    pub fn set(&self, faults: InjectedFaults) {
        self.with_state(|state| state.faults = faults);
    }

    /// Changes the faults in place.
    pub fn change(&self, change: impl FnOnce(&mut InjectedFaults)) {
        self.with_state(|state| change(&mut state.faults));
    }

    pub(crate) fn clock(&self) -> &ClockSource {
        &self.clock
    }

    /// Name of the service, reported as the peer in errors.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Point in time as of which lagging reads see the data: now minus `lag_ms`.
    pub(crate) fn lagging_read_time(&self) -> Instant {
        let lag = Duration::from_millis(self.faults().lag_ms);
        let now = self.clock.now();
        now.checked_sub(lag).unwrap_or(now)
    }

    /// Runs `effect` subject to the faults; never completes during an outage of kind
    /// `Hang`. The argument of `effect` is true for a held write: `MemoryTable` keeps
    /// it until `release_held`, `MemoryObjects` drops it and `MemoryWeights` grants the
    /// slot anyway.
    ///
    /// # Errors
    /// Those of `effect`, and `Refused` or `Unanswered` as the faults require.
    pub async fn run<T>(
        &self,
        step: &str,
        kind: CallKind,
        effect: impl FnOnce(bool) -> Result<T, PlatformError>,
    ) -> Result<T, PlatformError> {
        self.apply_outage(step).await?;
        self.check_rate(step, kind)?;
        self.delay(|faults| faults.delay_ms).await;
        let injected = self.take_outcome(kind);
        if injected == InjectedOutcome::RequestLost {
            return Err(self.unanswered(step, "request lost"));
        }
        let outcome = effect(injected == InjectedOutcome::Held);
        if kind == CallKind::Write {
            self.delay(|faults| faults.answer_delay_ms).await;
        }
        match injected {
            InjectedOutcome::AnswerLost => Err(self.unanswered(step, "answer lost")),
            InjectedOutcome::Held => Err(self.unanswered(step, "no answer in time")),
            InjectedOutcome::Answered | InjectedOutcome::RequestLost => outcome,
        }
    }

    async fn apply_outage(&self, step: &str) -> Result<(), PlatformError> {
        match self.faults().outage {
            OutageKind::None => Ok(()),
            OutageKind::Refuse => Err(self.refused(step, None)),
            OutageKind::Cut => Err(self.unanswered(step, "connection cut")),
            OutageKind::Hang => pending().await,
        }
    }

    fn check_rate(&self, step: &str, kind: CallKind) -> Result<(), PlatformError> {
        let now = self.clock.now();
        let retry_after = self.with_state(|state| {
            let (window, limit) = match kind {
                CallKind::Read => (&mut state.reads, state.faults.reads_per_s),
                CallKind::Write => (&mut state.writes, state.faults.writes_per_s),
            };
            window.admit(now, limit)
        });
        match retry_after {
            Some(delay) => Err(self.refused(step, Some(delay))),
            None => Ok(()),
        }
    }

    fn take_outcome(&self, kind: CallKind) -> InjectedOutcome {
        if kind == CallKind::Read {
            return InjectedOutcome::Answered;
        }
        self.with_state(|state| {
            let faults = &mut state.faults;
            if decrement(&mut faults.lose_requests) {
                InjectedOutcome::RequestLost
            } else if decrement(&mut faults.lose_answers) {
                InjectedOutcome::AnswerLost
            } else if decrement(&mut faults.hold_writes) {
                InjectedOutcome::Held
            } else {
                InjectedOutcome::Answered
            }
        })
    }

    async fn delay(&self, select: impl FnOnce(&InjectedFaults) -> u64) {
        let delay = Duration::from_millis(select(&self.faults()));
        if !delay.is_zero() {
            self.clock.sleep(delay).await;
        }
    }

    fn refused(&self, step: &str, retry_after: Option<Duration>) -> PlatformError {
        PlatformError::Refused {
            step: step.to_owned(),
            peer: self.name.clone(),
            retry_after,
        }
    }

    fn unanswered(&self, step: &str, cause: &str) -> PlatformError {
        PlatformError::Unanswered {
            step: step.to_owned(),
            peer: self.name.clone(),
            cause: cause.to_owned(),
        }
    }

    fn with_state<T>(&self, change: impl FnOnce(&mut InjectorState) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut state)
    }
}

impl RateWindow {
    /// Counts a call. `None` admits it; `Some` refuses it with the time until the next
    /// window.
    fn admit(&mut self, now: Instant, limit: u32) -> Option<Duration> {
        if limit == 0 {
            return None;
        }
        let started_at = *self.started_at.get_or_insert(now);
        let elapsed = now.saturating_duration_since(started_at);
        if elapsed >= RATE_WINDOW {
            self.started_at = Some(now);
            self.calls = 1;
            return None;
        }
        if self.calls >= limit {
            return Some(RATE_WINDOW.saturating_sub(elapsed));
        }
        self.calls += 1;
        None
    }
}

fn decrement(counter: &mut u32) -> bool {
    let was_positive = *counter > 0;
    *counter = counter.saturating_sub(1);
    was_positive
}
