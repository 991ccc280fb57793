//! Refuses requests whose turn comes too late, when they arrive.

use std::time::{Duration, Instant};

use crate::{DeadlineGate, LineEntry, WaitEstimate};

/// Shortest time after which a refused caller is told to return: a few steps of the
/// line.
const RETURN_MIN: Duration = Duration::from_millis(150);

/// Checks whether a turn comes early enough, with the margin that `gentiantally-node`
/// has by default.
const TURN_GATE: DeadlineGate = DeadlineGate { wait_margin: 1.2 };

/// Work that waits in one or several lines, and how fast it gets room.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LinePace {
    /// Engine time of the waiting requests.
    pub waiting: Duration,
    /// Engine time of the requests that start in a second; zero while unknown.
    pub started_a_second: Duration,
}

impl LinePace {
    /// Both lines together.
    #[must_use]
    pub fn with(self, other: Self) -> Self {
        Self {
            waiting: self.waiting.saturating_add(other.waiting),
            started_a_second: self.started_a_second.saturating_add(other.started_a_second),
        }
    }

    /// Time until `work` has started; `None` while the pace is unknown.
    #[must_use]
    pub fn time_for(&self, work: Duration) -> Option<Duration> {
        if self.started_a_second.is_zero() {
            return None;
        }
        let seconds = work.as_secs_f64() / self.started_a_second.as_secs_f64();
        Duration::try_from_secs_f64(seconds).ok()
    }
}

/// Decides whether a request may wait, and when the caller of one that may not returns.
///
/// Refused callers return one after the other, at the pace of the line, so that those
/// who came first are first again.
#[derive(Debug, Default)]
pub struct ReturnSchedule {
    /// When the caller that was refused last returns, with its work.
    last_return: Option<(Instant, Duration)>,
}

impl ReturnSchedule {
    /// Lets a request wait if its turn comes early enough, or if that is not known.
    ///
    /// `own` is what waits before it in this line, `all` the same with the lines of other
    /// nodes. Room goes to any of the nodes, so the later of both turns counts.
    ///
    /// # Errors
    /// Returns the time after which the caller should return: when what is ahead now, and
    /// the callers refused before, have had their turns.
    pub fn check(
        &mut self,
        now: Instant,
        entry: &LineEntry,
        own: LinePace,
        all: LinePace,
    ) -> Result<(), Duration> {
        let own_turn = own.time_for(own.waiting.saturating_add(entry.engine_time));
        let turn = all.time_for(all.waiting).max(own_turn);
        let estimate = WaitEstimate {
            wait: turn.unwrap_or_default(),
            service: Duration::ZERO,
        };
        if TURN_GATE
            .lateness(now, entry.deadline_start, estimate)
            .is_zero()
        {
            return Ok(());
        }
        Err(self.schedule(now, entry, all))
    }

    /// Time after which the caller of a refused request should return.
    pub fn schedule(&mut self, now: Instant, entry: &LineEntry, ahead: LinePace) -> Duration {
        let wait = ahead.time_for(ahead.waiting).unwrap_or_default();
        let mut return_at = now + wait.max(RETURN_MIN);
        if let Some((last, work)) = self.last_return
            && last > now
        {
            let turn = ahead.time_for(work).unwrap_or_default();
            return_at = return_at.max(last + turn);
        }
        self.last_return = Some((return_at, entry.engine_time));
        return_at.saturating_duration_since(now)
    }
}
