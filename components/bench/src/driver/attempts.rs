//! Life of attempts on engines: submission, reservation, cancellation, failure.

use routing::SchedulerEvent;
use types::AttemptId;

use crate::{
    FleetShape,
    driver::FleetDriver,
    fleet::HOP_DELAY,
    flight::{AttemptStage, GANG_START_DELAY, InFlightAttempt},
    schedule::DriverEvent,
};

impl FleetDriver {
    /// Sends an attempt to its engines.
    pub(super) fn send_flight(&mut self, flight: InFlightAttempt) {
        if flight.engines.is_empty() {
            self.notify_failure(&flight);
            return;
        }
        let flight_index = self.flights.len();
        self.callers[flight.request].flights.push(flight_index);
        self.flights.push(flight);
        self.schedule.after(
            HOP_DELAY,
            DriverEvent::Submit {
                flight: flight_index,
            },
        );
    }

    pub(super) fn submit_flight(&mut self, flight_index: usize) {
        if !self.keep_if_wanted(flight_index) {
            return;
        }
        if self.flights[flight_index].is_gang() {
            self.reserve_gang(flight_index);
        } else {
            self.start_sequence(flight_index);
        }
    }

    /// Reserves memory on all engines of a gang, or on none.
    fn reserve_gang(&mut self, flight_index: usize) {
        let now = self.schedule.now();
        let flight = self.flights[flight_index].clone();
        let holder = FleetShape::node_id(flight.node);
        let hold = flight.hold(&self.callers[flight.request].spec, holder);
        for engine in &flight.engines {
            let host = &mut self.engines[*engine];
            let granted = host.alive && host.model.reserve(now, &hold).is_ok();
            self.process_events(*engine);
            if !granted {
                self.refuse_gang(flight_index, *engine);
                return;
            }
        }
        self.flights[flight_index].stage = AttemptStage::Reserved;
        self.gangs.push(flight_index);
        self.schedule.after(
            GANG_START_DELAY,
            DriverEvent::Start {
                flight: flight_index,
            },
        );
    }

    fn refuse_gang(&mut self, flight_index: usize, engine: usize) {
        self.end_flight(flight_index);
        let flight = &self.flights[flight_index];
        let event = SchedulerEvent::GangReservationRefused {
            request: flight.id.clone(),
            attempt: flight.attempt,
            engine: self.engines[engine].id.clone(),
        };
        let node = flight.node;
        self.notify_node(node, event);
    }

    /// Submits an attempt to its leading engine.
    pub(super) fn start_sequence(&mut self, flight_index: usize) {
        if !self.keep_if_wanted(flight_index) {
            return;
        }
        let now = self.schedule.now();
        let flight = &self.flights[flight_index];
        let leader = flight.leader();
        let spec = flight.attempt_spec(&self.callers[flight.request].spec);
        let host = &mut self.engines[leader];
        let alive = host.alive;
        let submitted = alive.then(|| host.model.submit(now, spec));
        let Some(Ok(sequence)) = submitted else {
            self.fail_flight(flight_index);
            return;
        };
        host.sequences.insert(sequence, flight_index);
        self.flights[flight_index].sequence = Some(sequence);
        self.flights[flight_index].stage = AttemptStage::Running;
        self.process_events(leader);
    }

    /// Whether an attempt is in flight and its caller still waits. Ends the attempt
    /// when the caller has left.
    fn keep_if_wanted(&mut self, flight_index: usize) -> bool {
        let flight = &self.flights[flight_index];
        if flight.stage == AttemptStage::Ended {
            return false;
        }
        if self.ledger.is_open(flight.request) {
            return true;
        }
        self.end_flight(flight_index);
        false
    }

    /// Cancels an attempt on its engines.
    pub(super) fn cancel_flight(&mut self, flight_index: usize) {
        if self.flights[flight_index].stage != AttemptStage::Ended {
            self.end_flight(flight_index);
        }
    }

    /// Cancels an attempt on behalf of the node that dispatched it.
    pub(super) fn cancel_attempt(&mut self, node: usize, request: usize, attempt: AttemptId) {
        let matching = self.callers[request]
            .flights
            .iter()
            .copied()
            .find(|flight_index| {
                let flight = &self.flights[*flight_index];
                flight.node == node && flight.attempt == attempt
            });
        let Some(flight_index) = matching else {
            return;
        };
        self.flights[flight_index].cancelled = true;
        self.schedule.after(
            HOP_DELAY,
            DriverEvent::Cancel {
                flight: flight_index,
            },
        );
    }

    /// Ends an attempt and frees its memory on every engine.
    pub(super) fn end_flight(&mut self, flight_index: usize) {
        let now = self.schedule.now();
        self.flights[flight_index].stage = AttemptStage::Ended;
        self.gangs.retain(|gang| *gang != flight_index);
        let flight = self.flights[flight_index].clone();
        self.callers[flight.request]
            .flights
            .retain(|other| *other != flight_index);
        if let Some(sequence) = flight.sequence {
            self.engines[flight.leader()].sequences.remove(&sequence);
        }
        for engine in flight.engines {
            let model = &mut self.engines[engine].model;
            model.cancel(now, &flight.id, flight.attempt);
            self.process_events(engine);
        }
    }

    fn fail_flight(&mut self, flight_index: usize) {
        if self.flights[flight_index].stage == AttemptStage::Ended {
            return;
        }
        self.end_flight(flight_index);
        let flight = self.flights[flight_index].clone();
        if !flight.cancelled {
            self.notify_failure(&flight);
        }
    }

    fn notify_failure(&mut self, flight: &InFlightAttempt) {
        let event = SchedulerEvent::Failed {
            request: flight.id.clone(),
            attempt: flight.attempt,
            delivered: self.ledger.delivered(flight.request),
            retryable: true,
        };
        self.notify_node(flight.node, event);
    }

    /// Fails every attempt that ran or held memory on a crashed engine.
    pub(super) fn fail_flights_on(&mut self, engine: usize) {
        let mut lost: Vec<usize> = self.engines[engine].sequences.values().copied().collect();
        let gangs = self.gangs.iter().copied();
        lost.extend(gangs.filter(|gang| self.flights[*gang].engines.contains(&engine)));
        lost.sort_unstable();
        lost.dedup();
        for flight_index in lost {
            self.fail_flight(flight_index);
        }
    }
}
