//! Clock of a process: the system clock, or one that tests advance.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use smol::{
    Timer,
    channel::{Receiver, Sender, bounded},
};

/// Clock that a component uses to read the time and to sleep.
#[derive(Clone, Debug)]
pub enum ClockSource {
    /// The monotonic system clock.
    System,
    /// A test clock that moves only when it is advanced.
    Paused(Arc<PausedClock>),
}

impl ClockSource {
    /// Current time of this clock.
    #[must_use]
    pub fn now(&self) -> Instant {
        match self {
            Self::System => Instant::now(),
            Self::Paused(clock) => clock.now(),
        }
    }

    /// Sleeps until `delay` has passed on this clock.
    pub async fn sleep(&self, delay: Duration) {
        match self {
            Self::System => {
                Timer::after(delay).await;
            }
            Self::Paused(clock) => clock.sleep(delay).await,
        }
    }

    /// Runs `work` for at most `limit`; returns `None` on timeout.
    pub async fn timeout<T>(&self, limit: Duration, work: impl Future<Output = T>) -> Option<T> {
        smol::future::or(async { Some(work.await) }, async {
            self.sleep(limit).await;
            None
        })
        .await
    }
}

/// Test clock that stands still until it is advanced.
#[derive(Debug)]
pub struct PausedClock {
    state: Mutex<ClockState>,
}

#[derive(Debug)]
struct ClockState {
    now: Instant,
    sleepers: Vec<(Instant, Sender<()>)>,
}

impl PausedClock {
    /// Creates a clock that stands at the current system time.
    #[must_use]
    pub fn new() -> Arc<Self> {
        let state = ClockState {
            now: Instant::now(),
            sleepers: Vec::new(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
        })
    }

    /// Time at which this clock stands.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.with_state(|state| state.now)
    }

    /// Advances the clock by `step` and wakes all sleepers that are due.
    pub fn advance(&self, step: Duration) {
        self.with_state(|state| {
            state.now += step;
            let now = state.now;
            state.sleepers.retain(|(due, waker)| {
                let is_waiting = *due > now && !waker.is_closed();
                if !is_waiting {
                    waker.try_send(()).ok();
                }
                is_waiting
            });
        });
    }

    /// Time until the next sleeper is due; `None` if there are no sleepers.
    #[must_use]
    pub fn next_due(&self) -> Option<Duration> {
        self.with_state(|state| {
            // A closed channel means that the sleeping future was dropped.
            state.sleepers.retain(|(_, waker)| !waker.is_closed());
            let due = state.sleepers.iter().map(|(due, _)| *due).min()?;
            Some(due.saturating_duration_since(state.now))
        })
    }

    async fn sleep(&self, delay: Duration) {
        if delay.is_zero() {
            return;
        }
        let woken = self.add_sleeper(delay);
        woken.recv().await.ok();
    }

    fn add_sleeper(&self, delay: Duration) -> Receiver<()> {
        let (waker, woken) = bounded(1);
        self.with_state(|state| {
            let due = state.now + delay;
            state.sleepers.push((due, waker));
        });
        woken
    }

    fn with_state<T>(&self, change: impl FnOnce(&mut ClockState) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut state)
    }
}
