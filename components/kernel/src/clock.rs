//! The clock of the process: the system's, or one that tests pause and advance.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use smol::{
    Timer,
    channel::{Receiver, Sender, bounded},
};

/// Where a component reads the time and how it waits.
#[derive(Clone, Debug)]
pub enum ClockSource {
    /// The clock of the machine.
    System,
    /// A clock that moves only when a test advances it.
    Paused(Arc<PausedClock>),
}

impl ClockSource {
    /// The time now.
    #[must_use]
    pub fn now(&self) -> Instant {
        match self {
            Self::System => Instant::now(),
            Self::Paused(clock) => clock.now(),
        }
    }

    /// Waits until `delay` has passed on this clock.
    pub async fn sleep(&self, delay: Duration) {
        match self {
            Self::System => {
                Timer::after(delay).await;
            }
            Self::Paused(clock) => clock.sleep(delay).await,
        }
    }

    /// Runs `work` for at most `limit`; `None` when the limit came first.
    pub async fn timeout<T>(&self, limit: Duration, work: impl Future<Output = T>) -> Option<T> {
        smol::future::or(async { Some(work.await) }, async {
            self.sleep(limit).await;
            None
        })
        .await
    }
}

/// A clock that stands still until it is advanced.
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
    /// A clock that stands at the machine's time now.
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

    /// The time this clock stands at.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.locked(|state| state.now)
    }

    /// Moves the clock on and wakes every sleeper whose time has come.
    pub fn advance(&self, step: Duration) {
        self.locked(|state| {
            state.now += step;
            let now = state.now;
            state.sleepers.retain(|(due, waker)| {
                let waits = *due > now && !waker.is_closed();
                if !waits {
                    waker.try_send(()).ok();
                }
                waits
            });
        });
    }

    /// Time until the next sleeper is due; `None` when nobody sleeps.
    #[must_use]
    pub fn next_due(&self) -> Option<Duration> {
        self.locked(|state| {
            // A sleeper that was given up waits for nothing.
            state.sleepers.retain(|(_, waker)| !waker.is_closed());
            let due = state.sleepers.iter().map(|(due, _)| *due).min()?;
            Some(due.saturating_duration_since(state.now))
        })
    }

    async fn sleep(&self, delay: Duration) {
        if delay.is_zero() {
            return;
        }
        let woken = self.enqueue(delay);
        woken.recv().await.ok();
    }

    fn enqueue(&self, delay: Duration) -> Receiver<()> {
        let (waker, woken) = bounded(1);
        self.locked(|state| {
            let due = state.now + delay;
            state.sleepers.push((due, waker));
        });
        woken
    }

    fn locked<T>(&self, change: impl FnOnce(&mut ClockState) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut state)
    }
}
