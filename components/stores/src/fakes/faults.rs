//! Faults that a test or an operator of a stand-in switches on.

use std::{
    future::pending,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use errors::PlatformError;
use kernel::ClockSource;
use serde::{Deserialize, Serialize};

const RATE_WINDOW: Duration = Duration::from_secs(1);

/// How an edge fails while it is down.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum OutageKind {
    /// It is up.
    #[default]
    None,
    /// It answers that it can't serve.
    Refuse,
    /// It cuts each connection without an answer; nothing takes effect.
    Cut,
    /// It never answers; nothing takes effect.
    Hang,
}

/// Faults and limits of one edge. Counters count down as calls use them up.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct InjectedFaults {
    /// Whether it is down, and how.
    pub outage: OutageKind,
    /// Time before each call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Time between a write's effect and its answer, in milliseconds.
    pub answer_delay_ms: u64,
    /// Number of writes that get lost before they take effect.
    pub lose_requests: u32,
    /// Number of writes whose answer gets lost after they took effect.
    pub lose_answers: u32,
    /// Number of writes that get no answer and take effect only when the held
    /// writes are released.
    pub hold_writes: u32,
    /// Age of what a lagging read or the host list shows, in milliseconds.
    pub lag_ms: u64,
    /// Most reads a second; 0 is no limit.
    pub reads_per_s: u32,
    /// Most writes a second; 0 is no limit.
    pub writes_per_s: u32,
}

/// Whether a call changes anything.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// It changes nothing.
    Read,
    /// It may change something.
    Write,
}

/// What becomes of one write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WriteFate {
    Answered,
    RequestLost,
    AnswerLost,
    Held,
}

#[derive(Debug, Default)]
struct RateWindow {
    began: Option<Instant>,
    calls: u32,
}

#[derive(Debug, Default)]
struct SwitchState {
    faults: InjectedFaults,
    reads: RateWindow,
    writes: RateWindow,
}

/// The faults of one edge, shared by its calls and whoever switches them.
#[derive(Debug)]
pub struct FaultInjector {
    name: String,
    clock: ClockSource,
    state: Mutex<SwitchState>,
}

impl FaultInjector {
    /// A switch with no faults; `name` is the peer of the errors.
    #[must_use]
    pub fn new(name: &str, clock: ClockSource) -> Self {
        Self {
            name: name.to_owned(),
            clock,
            state: Mutex::default(),
        }
    }

    /// The faults in force.
    #[must_use]
    pub fn faults(&self) -> InjectedFaults {
        self.locked(|state| state.faults.clone())
    }

    /// Replaces all faults.
    pub fn set(&self, faults: InjectedFaults) {
        self.locked(|state| state.faults = faults);
    }

    /// Changes some faults.
    pub fn change(&self, change: impl FnOnce(&mut InjectedFaults)) {
        self.locked(|state| change(&mut state.faults));
    }

    pub(crate) fn clock(&self) -> &ClockSource {
        &self.clock
    }

    /// The peer of the errors.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// What a read that may lag sees is as old as this time or older.
    pub(crate) fn horizon(&self) -> Instant {
        let lag = Duration::from_millis(self.faults().lag_ms);
        let now = self.clock.now();
        now.checked_sub(lag).unwrap_or(now)
    }

    /// Runs `effect` under the faults; it is told whether the write is held,
    /// and must then keep it instead of applying it.
    ///
    /// # Errors
    /// Those of `effect`; `Refused` and `Unanswered` as the faults say.
    pub async fn run<T>(
        &self,
        step: &str,
        kind: CallKind,
        effect: impl FnOnce(bool) -> Result<T, PlatformError>,
    ) -> Result<T, PlatformError> {
        self.pass(step).await?;
        self.count(step, kind)?;
        self.wait(|faults| faults.delay_ms).await;
        let fate = self.fate(kind);
        if fate == WriteFate::RequestLost {
            return Err(self.unanswered(step, "request lost"));
        }
        let outcome = effect(fate == WriteFate::Held);
        if kind == CallKind::Write {
            self.wait(|faults| faults.answer_delay_ms).await;
        }
        match fate {
            WriteFate::AnswerLost => Err(self.unanswered(step, "answer lost")),
            WriteFate::Held => Err(self.unanswered(step, "no answer in time")),
            WriteFate::Answered | WriteFate::RequestLost => outcome,
        }
    }

    async fn pass(&self, step: &str) -> Result<(), PlatformError> {
        match self.faults().outage {
            OutageKind::None => Ok(()),
            OutageKind::Refuse => Err(self.refused(step, None)),
            OutageKind::Cut => Err(self.unanswered(step, "connection cut")),
            OutageKind::Hang => pending().await,
        }
    }

    fn count(&self, step: &str, kind: CallKind) -> Result<(), PlatformError> {
        let now = self.clock.now();
        let wait = self.locked(|state| {
            let (window, limit) = match kind {
                CallKind::Read => (&mut state.reads, state.faults.reads_per_s),
                CallKind::Write => (&mut state.writes, state.faults.writes_per_s),
            };
            window.admit(now, limit)
        });
        match wait {
            Some(wait) => Err(self.refused(step, Some(wait))),
            None => Ok(()),
        }
    }

    fn fate(&self, kind: CallKind) -> WriteFate {
        if kind == CallKind::Read {
            return WriteFate::Answered;
        }
        self.locked(|state| {
            let faults = &mut state.faults;
            if take_one(&mut faults.lose_requests) {
                WriteFate::RequestLost
            } else if take_one(&mut faults.lose_answers) {
                WriteFate::AnswerLost
            } else if take_one(&mut faults.hold_writes) {
                WriteFate::Held
            } else {
                WriteFate::Answered
            }
        })
    }

    async fn wait(&self, pick: impl FnOnce(&InjectedFaults) -> u64) {
        let delay = Duration::from_millis(pick(&self.faults()));
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

    fn locked<T>(&self, change: impl FnOnce(&mut SwitchState) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut state)
    }
}

impl RateWindow {
    /// Counts a call; the time to wait when the window is full.
    fn admit(&mut self, now: Instant, limit: u32) -> Option<Duration> {
        if limit == 0 {
            return None;
        }
        let began = *self.began.get_or_insert(now);
        let passed = now.saturating_duration_since(began);
        if passed >= RATE_WINDOW {
            self.began = Some(now);
            self.calls = 1;
            return None;
        }
        if self.calls >= limit {
            return Some(RATE_WINDOW.saturating_sub(passed));
        }
        self.calls += 1;
        None
    }
}

fn take_one(counter: &mut u32) -> bool {
    let some = *counter > 0;
    *counter = counter.saturating_sub(1);
    some
}
