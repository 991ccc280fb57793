//! Drain: the phases in which a node stops without losing requests.

use std::time::{Duration, Instant};

/// Time limits of a drain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DrainSettings {
    /// Time from the start of the drain after which no other node lists this one in new
    /// address answers.
    pub propagation_time: Duration,
    /// Longest time for which a caller may use an address answer; must be at least
    /// `AddressSettings::lifetime` of every node.
    pub answer_lifetime: Duration,
    /// Time that a caller may take from reading its answer to connecting.
    pub connect_grace: Duration,
    /// Time from the start of the drain after which remaining work is aborted; never
    /// less than `DrainPlan::answer_expiry_delay`.
    pub drain_timeout: Duration,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            propagation_time: Duration::from_secs(3),
            answer_lifetime: Duration::from_secs(5),
            connect_grace: Duration::from_secs(1),
            drain_timeout: Duration::from_mins(15),
        }
    }
}

/// Work and resources that a draining node must finish or release before it exits.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RemainingWork {
    /// Requests in flight for callers or other nodes.
    pub requests: usize,
    /// Orders in flight.
    pub orders: usize,
    /// Leases and reservations of engine memory not yet handed over or released.
    pub resources: usize,
}

impl RemainingWork {
    fn is_empty(self) -> bool {
        self == Self::default()
    }
}

/// Phase of a drain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainPhase {
    /// The node serves normally; no drain was requested.
    Serving,
    /// The node is being omitted from new address answers; callers with older answers
    /// are still accepted.
    ServingOldAnswers,
    /// No new connections are accepted; work in flight is finished.
    Finishing,
    /// The drain is over and the process may exit.
    Ended,
}

/// Step of a drain that the node has to carry out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainAction {
    /// Tell the other nodes that this one is leaving.
    AnnounceLeaving,
    /// Omit this node from the address answers that this node gives.
    LeaveAnswers,
    /// Release the owned engines and forward queued prompts to the new owners.
    HandOver,
    /// Close the listeners for new connections.
    StopAccepting,
    /// The drain timeout has passed: log and abort the remaining work.
    CutRemaining,
    /// Tell the other nodes that this process exits, then exit with status 0.
    Exit,
}

/// Decides when each phase of a drain begins and what has to be done in it.
#[derive(Debug)]
pub struct DrainPlan {
    settings: DrainSettings,
    phase: DrainPhase,
    started_at: Option<Instant>,
}

impl DrainPlan {
    /// Creates the plan of a node that serves normally.
    #[must_use]
    pub fn new(settings: DrainSettings) -> Self {
        Self {
            settings,
            phase: DrainPhase::Serving,
            started_at: None,
        }
    }

    /// Current phase of the drain.
    #[must_use]
    pub fn phase(&self) -> DrainPhase {
        self.phase
    }

    /// Starts the drain and returns its first steps; a second call does nothing.
    pub fn begin(&mut self, now: Instant) -> Vec<DrainAction> {
        if self.phase != DrainPhase::Serving {
            return Vec::new();
        }
        self.started_at = Some(now);
        self.phase = DrainPhase::ServingOldAnswers;
        vec![
            DrainAction::LeaveAnswers,
            DrainAction::AnnounceLeaving,
            DrainAction::HandOver,
        ]
    }

    /// Advances the drain, given the work that remains, and returns the next steps.
    pub fn poll(&mut self, now: Instant, remaining: RemainingWork) -> Vec<DrainAction> {
        let Some(started_at) = self.started_at else {
            return Vec::new();
        };
        let elapsed = now.saturating_duration_since(started_at);
        let mut actions = Vec::new();
        if self.phase == DrainPhase::ServingOldAnswers && elapsed >= self.answer_expiry_delay() {
            self.phase = DrainPhase::Finishing;
            actions.push(DrainAction::StopAccepting);
        }
        if self.phase == DrainPhase::Finishing {
            self.finish_or_time_out(elapsed, remaining, &mut actions);
        }
        actions
    }

    /// Time from the start of the drain in which callers may still hold an answer
    /// that lists this node.
    #[must_use]
    pub fn answer_expiry_delay(&self) -> Duration {
        self.settings.propagation_time + self.settings.answer_lifetime + self.settings.connect_grace
    }

    fn finish_or_time_out(
        &mut self,
        elapsed: Duration,
        remaining: RemainingWork,
        actions: &mut Vec<DrainAction>,
    ) {
        let timeout = self.settings.drain_timeout.max(self.answer_expiry_delay());
        let timed_out = elapsed >= timeout;
        if !remaining.is_empty() && !timed_out {
            return;
        }
        if !remaining.is_empty() {
            actions.push(DrainAction::CutRemaining);
        }
        self.phase = DrainPhase::Ended;
        actions.push(DrainAction::Exit);
    }
}
