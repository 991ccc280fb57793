//! Handles engine events: starts, tokens and ends of attempts.

use std::time::{Duration, Instant};

use model::{EventKind, ModelEvent};
use routing::SchedulerEvent;

use crate::{
    FleetShape, driver::FleetDriver, fleet::HOP, flight::FlightState, schedule::DriverEvent,
};

impl FleetDriver {
    pub(super) fn wake(&mut self, engine: usize) {
        self.engines[engine].wake = None;
        self.settle(engine);
    }

    /// Handles an engine's pending events and schedules its next wake-up.
    pub(super) fn settle(&mut self, engine: usize) {
        if !self.engines[engine].alive {
            return;
        }
        let now = self.schedule.now();
        for event in self.engines[engine].model.advance(now) {
            self.take_event(engine, &event);
        }
        let host = &mut self.engines[engine];
        let Some(next) = host.model.next_event_at() else {
            return;
        };
        if host.wake.is_none_or(|wake| next < wake) {
            host.wake = Some(next);
            self.schedule.at(next, DriverEvent::Wake { engine });
        }
    }

    fn take_event(&mut self, engine: usize, event: &ModelEvent) {
        let Some(place) = self.engines[engine].sequences.get(&event.sequence).copied() else {
            return;
        };
        match event.kind {
            EventKind::Started {
                prompt_tokens,
                cached_tokens,
            } => {
                self.lend(place, true);
                let flight = &self.flights[place];
                let started = SchedulerEvent::Started {
                    request: flight.id.clone(),
                    attempt: flight.attempt,
                    prompt_tokens,
                    cached_tokens,
                };
                self.tell_of(place, started);
            }
            EventKind::Token { index } => self.take_token(place, index, event.at),
            EventKind::Finished { tokens } => self.take_finish(place, tokens, event.at),
        }
    }

    fn take_token(&mut self, place: usize, index: u64, at: Instant) {
        let flight = &self.flights[place];
        if flight.abandoned {
            return;
        }
        let at = at + self.way_back(flight);
        self.ledger.token(flight.request, index, at);
        if self.flights[place].lending {
            self.lend(place, false);
        }
        let flight = &mut self.flights[place];
        if flight.told_first {
            return;
        }
        flight.told_first = true;
        let first = SchedulerEvent::FirstToken {
            request: flight.id.clone(),
            attempt: flight.attempt,
        };
        self.tell_of(place, first);
    }

    fn take_finish(&mut self, place: usize, tokens: u64, at: Instant) {
        self.end_flight(place);
        let flight = self.flights[place].clone();
        if flight.abandoned {
            return;
        }
        let open = self.ledger.is_open(flight.request);
        let at = at + self.way_back(&flight);
        self.ledger.finish(flight.request, tokens, at);
        self.open -= usize::from(open);
        let finished = SchedulerEvent::Finished {
            request: flight.id.clone(),
            attempt: flight.attempt,
            output_tokens: tokens,
        };
        self.tell_of(place, finished);
        let entry = self.callers[flight.request].entry;
        if entry == flight.node {
            return;
        }
        let event = SchedulerEvent::ForwardFinished {
            request: flight.id,
            node: FleetShape::node_id(flight.node),
            output_tokens: tokens,
        };
        self.schedule.learn_after(HOP * 2, entry, event);
    }

    /// Network delay from an engine to the caller.
    fn way_back(&self, flight: &FlightState) -> Duration {
        if self.callers[flight.request].entry == flight.node {
            return HOP * 2;
        }
        HOP * 3
    }

    fn tell_of(&mut self, place: usize, event: SchedulerEvent) {
        let flight = &self.flights[place];
        if !flight.abandoned {
            let node = flight.node;
            self.tell(node, event);
        }
    }

    /// Sets whether the further engines of a gang lend compute to it.
    fn lend(&mut self, place: usize, lending: bool) {
        let now = self.schedule.now();
        let flight = &mut self.flights[place];
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
