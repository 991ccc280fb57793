//! Life of attempts on engines: submission, reservation, cancellation, failure.

use routing::SchedulerEvent;
use types::AttemptId;

use crate::{
    FleetShape,
    driver::FleetDriver,
    fleet::HOP,
    flight::{FlightStage, FlightState, GANG_START},
    schedule::DriverEvent,
};

impl FleetDriver {
    /// Sends an attempt to its engines.
    pub(super) fn send_flight(&mut self, flight: FlightState) {
        if flight.engines.is_empty() {
            self.tell_failed(&flight);
            return;
        }
        let place = self.flights.len();
        self.callers[flight.request].flights.push(place);
        self.flights.push(flight);
        self.schedule
            .after(HOP, DriverEvent::Submit { flight: place });
    }

    pub(super) fn submit(&mut self, place: usize) {
        if !self.is_wanted(place) {
            return;
        }
        if self.flights[place].is_gang() {
            self.reserve(place);
        } else {
            self.start(place);
        }
    }

    /// Reserves memory on all engines of a gang, or on none.
    fn reserve(&mut self, place: usize) {
        let now = self.schedule.now();
        let flight = self.flights[place].clone();
        let holder = FleetShape::node_id(flight.node);
        let hold = flight.hold(&self.callers[flight.request].spec, holder);
        for engine in &flight.engines {
            let host = &mut self.engines[*engine];
            let granted = host.alive && host.model.reserve(now, &hold).is_ok();
            self.settle(*engine);
            if !granted {
                self.refuse_gang(place, *engine);
                return;
            }
        }
        self.flights[place].stage = FlightStage::Reserved;
        self.gangs.push(place);
        self.schedule
            .after(GANG_START, DriverEvent::Start { flight: place });
    }

    fn refuse_gang(&mut self, place: usize, engine: usize) {
        self.end_flight(place);
        let flight = &self.flights[place];
        let event = SchedulerEvent::GangReservationRefused {
            request: flight.id.clone(),
            attempt: flight.attempt,
            engine: self.engines[engine].id.clone(),
        };
        let node = flight.node;
        self.tell(node, event);
    }

    /// Submits an attempt to its leading engine.
    pub(super) fn start(&mut self, place: usize) {
        if !self.is_wanted(place) {
            return;
        }
        let now = self.schedule.now();
        let flight = &self.flights[place];
        let leader = flight.leader();
        let spec = flight.attempt_spec(&self.callers[flight.request].spec);
        let host = &mut self.engines[leader];
        let alive = host.alive;
        let submitted = alive.then(|| host.model.submit(now, spec));
        let Some(Ok(sequence)) = submitted else {
            self.fail_flight(place);
            return;
        };
        host.sequences.insert(sequence, place);
        self.flights[place].sequence = Some(sequence);
        self.flights[place].stage = FlightStage::Running;
        self.settle(leader);
    }

    /// Whether an attempt is in flight and its caller still waits. Ends the attempt
    /// when the caller has left.
    fn is_wanted(&mut self, place: usize) -> bool {
        let flight = &self.flights[place];
        if flight.stage == FlightStage::Ended {
            return false;
        }
        if self.ledger.is_open(flight.request) {
            return true;
        }
        self.end_flight(place);
        false
    }

    /// Cancels an attempt on its engines.
    pub(super) fn cancel(&mut self, place: usize) {
        if self.flights[place].stage != FlightStage::Ended {
            self.end_flight(place);
        }
    }

    /// Cancels an attempt on behalf of the node that dispatched it.
    pub(super) fn abandon(&mut self, node: usize, request: usize, attempt: AttemptId) {
        let matching = self.callers[request].flights.iter().copied().find(|place| {
            let flight = &self.flights[*place];
            flight.node == node && flight.attempt == attempt
        });
        let Some(place) = matching else {
            return;
        };
        self.flights[place].abandoned = true;
        self.schedule
            .after(HOP, DriverEvent::Cancel { flight: place });
    }

    /// Ends an attempt and frees its memory on every engine.
    pub(super) fn end_flight(&mut self, place: usize) {
        let now = self.schedule.now();
        self.flights[place].stage = FlightStage::Ended;
        self.gangs.retain(|gang| *gang != place);
        let flight = self.flights[place].clone();
        self.callers[flight.request]
            .flights
            .retain(|other| *other != place);
        if let Some(sequence) = flight.sequence {
            self.engines[flight.leader()].sequences.remove(&sequence);
        }
        for engine in flight.engines {
            let model = &mut self.engines[engine].model;
            model.cancel(now, &flight.id, flight.attempt);
            self.settle(engine);
        }
    }

    fn fail_flight(&mut self, place: usize) {
        if self.flights[place].stage == FlightStage::Ended {
            return;
        }
        self.end_flight(place);
        let flight = self.flights[place].clone();
        if !flight.abandoned {
            self.tell_failed(&flight);
        }
    }

    fn tell_failed(&mut self, flight: &FlightState) {
        let event = SchedulerEvent::Failed {
            request: flight.id.clone(),
            attempt: flight.attempt,
            delivered: self.ledger.delivered(flight.request),
            retryable: true,
        };
        self.tell(flight.node, event);
    }

    /// Fails every attempt that ran or held memory on a crashed engine.
    pub(super) fn fail_flights_on(&mut self, engine: usize) {
        let mut lost: Vec<usize> = self.engines[engine].sequences.values().copied().collect();
        let gangs = self.gangs.iter().copied();
        lost.extend(gangs.filter(|gang| self.flights[*gang].engines.contains(&engine)));
        lost.sort_unstable();
        lost.dedup();
        for place in lost {
            self.fail_flight(place);
        }
    }
}
