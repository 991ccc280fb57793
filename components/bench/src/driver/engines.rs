//! The engines' side of a run: attempts, memory, reports and cache events.

use std::time::{Duration, Instant};

use model::{EventKind, ModelEvent, gang_pace};
use routing::SchedulerEvent;
use types::{AttemptId, CacheEvent, EngineReport};

use crate::{
    FleetShape,
    driver::FleetDriver,
    fleet::HOP,
    flight::{FlightStage, FlightState, GANG_START, RENEW_PERIOD},
    schedule::DriverEvent,
    workload::mix,
};

/// One lost event in this many, when a read of cache events has a gap.
const GAP_ONE_IN: usize = 4;

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

    /// Holds memory on all engines of an attempt, or on none.
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
        let event = SchedulerEvent::GangRefused {
            request: flight.id.clone(),
            attempt: flight.attempt,
            engine: self.engines[engine].id.clone(),
        };
        let node = flight.node;
        self.tell(node, event);
    }

    /// Starts an attempt on its first engine.
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

    /// Whether an attempt is under way and its caller waits for it.
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

    /// A node cancels an attempt of its own.
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

    /// Frees all that an attempt has on any engine.
    fn end_flight(&mut self, place: usize) {
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

    /// Fails every attempt that runs on, or holds memory on, a dead engine.
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

    pub(super) fn wake(&mut self, engine: usize) {
        self.engines[engine].wake = None;
        self.settle(engine);
    }

    /// Takes what an engine has to say and plans when to look again.
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
        let learn = DriverEvent::Learn { node: entry, event };
        self.schedule.after(HOP * 2, learn);
    }

    /// Time from an engine to the caller.
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

    /// Starts or ends the part of an attempt in which the further engines
    /// compute for it.
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

    /// Renews the holds of running attempts, and sets their speed by how busy
    /// the further engines are.
    pub(super) fn renew(&mut self) {
        let now = self.schedule.now();
        for place in self.gangs.clone() {
            let flight = self.flights[place].clone();
            let holder = FleetShape::node_id(flight.node);
            let hold = flight.hold(&self.callers[flight.request].spec, holder);
            let shares: Vec<f64> = flight
                .members()
                .iter()
                .map(|engine| self.renew_member(now, *engine, &hold))
                .collect();
            let leader = flight.leader();
            let model = &mut self.engines[leader].model;
            model.set_pace(now, &flight.id, flight.attempt, gang_pace(shares));
            self.settle(leader);
        }
        self.schedule.after(RENEW_PERIOD, DriverEvent::Renew);
    }

    fn renew_member(&mut self, now: Instant, engine: usize, hold: &model::HoldSpec) -> f64 {
        let model = &mut self.engines[engine].model;
        model.reserve(now, hold).ok();
        let share = model.lending_share();
        self.settle(engine);
        share
    }

    pub(super) fn report(&mut self, engine: usize) {
        if !self.engines[engine].alive {
            return;
        }
        self.share_report(engine, self.shape.report_lag);
        let period = self.shape.report_period;
        self.schedule.after(period, DriverEvent::Report { engine });
    }

    /// Sends an engine's report of now, to arrive after `lag`.
    pub(super) fn share_report(&mut self, engine: usize, lag: Duration) {
        let now = self.schedule.now();
        let report = self.engines[engine].report(now, lag);
        self.settle(engine);
        let event = DriverEvent::Reported { engine, report };
        self.schedule.after(lag, event);
    }

    pub(super) fn reported(&mut self, engine: usize, report: &EngineReport) {
        if !self.engines[engine].alive {
            return;
        }
        for node in self.watchers(engine) {
            self.learn(node, SchedulerEvent::Reported(report.clone()));
        }
    }

    /// Reads an engine's cache events for its owner; some reads have gaps.
    pub(super) fn read_cache(&mut self, engine: usize) {
        let host = &mut self.engines[engine];
        if !host.alive || self.policy.sees_all() {
            return;
        }
        let slice = host.model.cache_events(host.cache_place);
        let skipped = slice.first > host.cache_place;
        host.cache_place = slice.next;
        let (node, id) = (host.owner, host.id.clone());
        let lossy = self.draw() < self.shape.cache_gaps;
        let events = lose_some(slice.events, lossy);
        if !events.is_empty() || skipped || lossy {
            let event = SchedulerEvent::Cached {
                engine: id,
                gap: skipped || lossy,
                events,
            };
            let learn = DriverEvent::Learn { node, event };
            self.schedule.after(self.shape.cache_lag, learn);
        }
        let period = self.shape.cache_period;
        self.schedule
            .after(period, DriverEvent::ReadCache { engine });
    }

    /// An even draw from 0 to 1.
    fn draw(&mut self) -> f64 {
        self.draws = mix(self.draws, 1);
        let bits = u32::try_from(self.draws >> 32).unwrap_or(0);
        f64::from(bits) / f64::from(u32::MAX)
    }
}

fn lose_some(events: Vec<CacheEvent>, lossy: bool) -> Vec<CacheEvent> {
    if !lossy {
        return events;
    }
    events
        .into_iter()
        .enumerate()
        .filter(|(place, _)| place % GAP_ONE_IN != 0)
        .map(|(_, event)| event)
        .collect()
}
