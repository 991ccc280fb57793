//! The phases of a planned stop.

use std::time::{Duration, Instant};

/// Knobs of a planned stop.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DrainSettings {
    /// Longest time until no other node names this one in a new answer.
    pub spread_time: Duration,
    /// Longest lifetime of an address answer.
    pub answer_lifetime: Duration,
    /// Time a caller may take between reading its answer and connecting.
    pub connect_grace: Duration,
    /// Time after which what still runs is cut.
    pub drain_timeout: Duration,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            spread_time: Duration::from_secs(3),
            answer_lifetime: Duration::from_secs(5),
            connect_grace: Duration::from_secs(1),
            drain_timeout: Duration::from_mins(15),
        }
    }
}

/// What a stopping node still holds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RemainingWork {
    /// Requests that callers or other nodes await.
    pub requests: usize,
    /// Orders under way.
    pub orders: usize,
    /// Leases and engine memory not yet handed over or freed.
    pub resources: usize,
}

impl RemainingWork {
    fn is_empty(self) -> bool {
        self == Self::default()
    }
}

/// How far a planned stop has got.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainPhase {
    /// No stop was asked for.
    Serving,
    /// Out of new answers; callers with old answers are served as before.
    ServingOldAnswers,
    /// No new connections; what runs is finished.
    Finishing,
    /// The process may end.
    Ended,
}

/// Something to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainAction {
    /// Tell the other nodes that this one is leaving.
    AnnounceLeaving,
    /// Name other nodes only in this node's own answers.
    LeaveAnswers,
    /// Give up engine ownership and hand queued prompts to their new owners.
    HandOver,
    /// Close the listeners for callers.
    StopAccepting,
    /// The hard limit has come: log and cut each request that still runs.
    CutRemaining,
    /// Tell the other nodes that this process ends, then end it with 0.
    Exit,
}

/// Decides when each phase of a planned stop begins.
#[derive(Debug)]
pub struct DrainPlan {
    settings: DrainSettings,
    phase: DrainPhase,
    begun: Option<Instant>,
}

impl DrainPlan {
    /// A plan for a node that serves.
    #[must_use]
    pub fn new(settings: DrainSettings) -> Self {
        Self {
            settings,
            phase: DrainPhase::Serving,
            begun: None,
        }
    }

    /// How far the stop has got.
    #[must_use]
    pub fn phase(&self) -> DrainPhase {
        self.phase
    }

    /// Begins the stop; a second call changes nothing.
    pub fn begin(&mut self, now: Instant) -> Vec<DrainAction> {
        if self.phase != DrainPhase::Serving {
            return Vec::new();
        }
        self.begun = Some(now);
        self.phase = DrainPhase::ServingOldAnswers;
        vec![
            DrainAction::LeaveAnswers,
            DrainAction::AnnounceLeaving,
            DrainAction::HandOver,
        ]
    }

    /// Goes on with the stop, given what the node still holds.
    pub fn poll(&mut self, now: Instant, held: RemainingWork) -> Vec<DrainAction> {
        let Some(begun) = self.begun else {
            return Vec::new();
        };
        let passed = now.saturating_duration_since(begun);
        let mut actions = Vec::new();
        if self.phase == DrainPhase::ServingOldAnswers && passed >= self.old_answers() {
            self.phase = DrainPhase::Finishing;
            actions.push(DrainAction::StopAccepting);
        }
        if self.phase == DrainPhase::Finishing {
            self.finish(passed, held, &mut actions);
        }
        actions
    }

    /// Time after the begin in which callers may still hold this address.
    #[must_use]
    pub fn old_answers(&self) -> Duration {
        self.settings.spread_time + self.settings.answer_lifetime + self.settings.connect_grace
    }

    fn finish(&mut self, passed: Duration, held: RemainingWork, actions: &mut Vec<DrainAction>) {
        let limit = self.settings.drain_timeout.max(self.old_answers());
        let over = passed >= limit;
        if !held.is_empty() && !over {
            return;
        }
        if !held.is_empty() {
            actions.push(DrainAction::CutRemaining);
        }
        self.phase = DrainPhase::Ended;
        actions.push(DrainAction::Exit);
    }
}
