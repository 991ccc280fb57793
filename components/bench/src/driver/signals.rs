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
        let Some(flight_index) = self.engines[engine].sequences.get(&event.sequence).copied()
        else {
            return;
        };
        match event.kind {
            EventKind::Started {
                prompt_tokens,
                cached_tokens,
            } => {
                self.set_lending(flight_index, true);
                let flight = &self.flights[flight_index];
                let started = SchedulerEvent::Started {
                    request: flight.id.clone(),
                    attempt: flight.attempt,
                    prompt_tokens,
                    cached_tokens,
                };
                self.notify_dispatcher(flight_index, started);
            }
            EventKind::Token { index } => self.handle_token(flight_index, index, event.at),
            EventKind::Finished { tokens } => self.handle_finish(flight_index, tokens, event.at),
        }
    }

    fn handle_token(&mut self, flight_index: usize, index: u64, at: Instant) {
        let flight = &self.flights[flight_index];
        if flight.cancelled {
            return;
        }
        let at = at + self.return_delay(flight);
        self.ledger.record_token(flight.request, index, at);
        if self.flights[flight_index].lending {
            self.set_lending(flight_index, false);
        }
        let flight = &mut self.flights[flight_index];
        if flight.first_token_reported {
            return;
        }
        flight.first_token_reported = true;
        let first = SchedulerEvent::FirstToken {
            request: flight.id.clone(),
            attempt: flight.attempt,
        };
        self.notify_dispatcher(flight_index, first);
    }

    fn handle_finish(&mut self, flight_index: usize, tokens: u64, at: Instant) {
        self.end_flight(flight_index);
        let flight = self.flights[flight_index].clone();
        if flight.cancelled {
            return;
        }
        let was_open = self.ledger.is_open(flight.request);
        let at = at + self.return_delay(&flight);
        self.ledger.record_finish(flight.request, tokens, at);
        self.open_requests -= usize::from(was_open);
        let finished = SchedulerEvent::Finished {
            request: flight.id.clone(),
            attempt: flight.attempt,
            output_tokens: tokens,
        };
        self.notify_dispatcher(flight_index, finished);
        let entry = self.callers[flight.request].entry;
        if entry == flight.node {
            return;
        }
        let event = SchedulerEvent::ForwardFinished {
            request: flight.id,
            node: FleetShape::node_id(flight.node),
            output_tokens: tokens,
        };
        self.schedule.deliver_after(HOP_DELAY * 2, entry, event);
    }

    /// Network delay from an engine to the caller.
    fn return_delay(&self, flight: &InFlightAttempt) -> Duration {
        if self.callers[flight.request].entry == flight.node {
            return HOP_DELAY * 2;
        }
        HOP_DELAY * 3
    }

    fn notify_dispatcher(&mut self, flight_index: usize, event: SchedulerEvent) {
        let flight = &self.flights[flight_index];
        if !flight.cancelled {
            let node = flight.node;
            self.notify_node(node, event);
        }
    }

    /// Sets whether the further engines of a gang lend compute to it.
    fn set_lending(&mut self, flight_index: usize, lending: bool) {
        let now = self.schedule.now();
        let flight = &mut self.flights[flight_index];
        if !flight.is_gang() {
            return;
        }
        flight.lending = lending;
        let flight = flight.clone();
        for engine in flight.members() {
            let model = &mut self.engines[*engine].model;
            model.set_hold_priority(now, &flight.id, flight.attempt, flight.priority);
            model.set_lending(now, &flight.id, flight.attempt, lending);
        }
    }
}
