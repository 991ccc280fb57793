//! Handles engine events: starts, tokens and ends of attempts.

use std::time::{Duration, Instant};

use model::{EventKind, ModelEvent};
use routing::SchedulerEvent;

use crate::{
    FleetShape, driver::FleetDriver, fleet::HOP_DELAY, flight::InFlightAttempt,
    schedule::DriverEvent,
};

impl FleetDriver {
    pub(super) fn handle_wake(&mut self, engine: usize) {
        self.engines[engine].wake_at = None;
        self.process_events(engine);
    }

    /// Handles an engine's pending events and schedules its next wake-up.
    pub(super) fn process_events(&mut self, engine: usize) {
        if !self.engines[engine].alive {
            return;
        }
        let now = self.schedule.now();
        for event in self.engines[engine].model.advance(now) {
            self.handle_event(engine, &event);
        }
        let host = &mut self.engines[engine];
        let Some(next) = host.model.next_event_at() else {
            return;
        };
        if host.wake_at.is_none_or(|wake_at| next < wake_at) {
            host.wake_at = Some(next);
            self.schedule.at(next, DriverEvent::Wake { engine });
        }
    }

    fn handle_event(&mut self, engine: usize, event: &ModelEvent) {
        let Some(attempt_index) = self.engines[engine].sequences.get(&event.sequence).copied()
        else {
            return;
        };
        match event.kind {
            EventKind::Started {
                prompt_tokens,
                cached_tokens,
            } => {
                self.set_lending(attempt_index, true);
                let attempt = &self.attempts[attempt_index];
                let started = SchedulerEvent::Started {
                    request: attempt.id.clone(),
                    attempt: attempt.attempt,
                    prompt_tokens,
                    cached_tokens,
                };
                self.notify_dispatcher(attempt_index, started);
            }
            EventKind::Token { index } => self.handle_token(attempt_index, index, event.at),
            EventKind::Finished { tokens } => self.handle_finish(attempt_index, tokens, event.at),
        }
    }

    fn handle_token(&mut self, attempt_index: usize, index: u64, at: Instant) {
        let attempt = &self.attempts[attempt_index];
        if attempt.cancelled {
            return;
        }
        let at = at + self.return_delay(attempt);
        self.ledger.record_token(attempt.request, index, at);
        if self.attempts[attempt_index].lending {
            self.set_lending(attempt_index, false);
        }
        let attempt = &mut self.attempts[attempt_index];
        if attempt.first_token_reported {
            return;
        }
        attempt.first_token_reported = true;
        let first = SchedulerEvent::FirstToken {
            request: attempt.id.clone(),
            attempt: attempt.attempt,
        };
        self.notify_dispatcher(attempt_index, first);
    }

    fn handle_finish(&mut self, attempt_index: usize, tokens: u64, at: Instant) {
        self.end_attempt(attempt_index);
        let attempt = self.attempts[attempt_index].clone();
        if attempt.cancelled {
            return;
        }
        let was_open = self.ledger.is_open(attempt.request);
        let at = at + self.return_delay(&attempt);
        self.ledger.record_finish(attempt.request, tokens, at);
        self.open_requests -= usize::from(was_open);
        let finished = SchedulerEvent::Finished {
            request: attempt.id.clone(),
            attempt: attempt.attempt,
            output_tokens: tokens,
        };
        self.notify_dispatcher(attempt_index, finished);
        let entry = self.callers[attempt.request].entry;
        if entry == attempt.node {
            return;
        }
        let event = SchedulerEvent::ForwardFinished {
            request: attempt.id,
            node: FleetShape::node_id(attempt.node),
            output_tokens: tokens,
        };
        self.schedule.deliver_after(HOP_DELAY * 2, entry, event);
    }

    /// Network delay from an engine to the caller.
    fn return_delay(&self, attempt: &InFlightAttempt) -> Duration {
        if self.callers[attempt.request].entry == attempt.node {
            return HOP_DELAY * 2;
        }
        HOP_DELAY * 3
    }

    fn notify_dispatcher(&mut self, attempt_index: usize, event: SchedulerEvent) {
        let attempt = &self.attempts[attempt_index];
        if !attempt.cancelled {
            let node = attempt.node;
            self.notify_node(node, event);
        }
    }

    /// Sets whether the further engines of a gang lend compute to it.
    fn set_lending(&mut self, attempt_index: usize, lending: bool) {
        let now = self.schedule.now();
        let attempt = &mut self.attempts[attempt_index];
        if !attempt.is_gang() {
            return;
        }
        attempt.lending = lending;
        let attempt = attempt.clone();
        for engine in attempt.members() {
            let model = &mut self.engines[*engine].model;
            model.set_hold_priority(now, &attempt.id, attempt.attempt, attempt.priority);
            model.set_lending(now, &attempt.id, attempt.attempt, lending);
        }
    }
}
