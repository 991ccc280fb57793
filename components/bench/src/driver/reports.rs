//! Periodic work: renewal of holds, engine reports and cache events.

use std::time::{Duration, Instant};

use model::{HoldSpec, gang_speedup};
use routing::SchedulerEvent;
use types::{CacheEvent, EngineReport};

use crate::{
    FleetShape, driver::FleetDriver, flight::RENEW_PERIOD, schedule::DriverEvent, workload::mix,
};

/// One event in this many is lost when a read of cache events has a gap.
const LOST_EVENT_ONE_IN: usize = 4;

impl FleetDriver {
    /// Renews the holds of gangs on their further engines, and sets their prefill
    /// speed by how much time these engines can lend.
    pub(super) fn renew_gangs(&mut self) {
        let now = self.schedule.now();
        for attempt_index in self.gangs.clone() {
            let attempt = self.attempts[attempt_index].clone();
            let holder = FleetShape::node_id(attempt.node);
            let hold = attempt.hold(&self.callers[attempt.request].spec, holder);
            let shares: Vec<f64> = attempt
                .members()
                .iter()
                .map(|engine| self.renew_member(now, *engine, &hold))
                .collect();
            let leader = attempt.leader();
            let model = &mut self.engines[leader].model;
            model.set_prefill_speedup(now, &attempt.id, attempt.attempt, gang_speedup(shares));
            self.process_events(leader);
        }
        self.schedule.after(RENEW_PERIOD, DriverEvent::Renew);
    }

    /// Renews a hold; returns the engine's lending share, 0 to 1.
    fn renew_member(&mut self, now: Instant, engine: usize, hold: &HoldSpec) -> f64 {
        let model = &mut self.engines[engine].model;
        model.reserve(now, hold).ok();
        let share = model.lending_share();
        self.process_events(engine);
        share
    }

    pub(super) fn send_report(&mut self, engine: usize) {
        if !self.engines[engine].alive {
            return;
        }
        self.schedule_report(engine, self.shape.report_lag);
        let period = self.shape.report_period;
        self.schedule.after(period, DriverEvent::Report { engine });
    }

    /// Takes an engine's report now and delivers it after `lag`.
    pub(super) fn schedule_report(&mut self, engine: usize, lag: Duration) {
        let now = self.schedule.now();
        let report = Box::new(self.engines[engine].report(now, lag));
        self.process_events(engine);
        let event = DriverEvent::Reported { engine, report };
        self.schedule.after(lag, event);
    }

    pub(super) fn deliver_report(&mut self, engine: usize, report: &EngineReport) {
        if !self.engines[engine].alive {
            return;
        }
        for node in self.report_receivers(engine) {
            self.deliver(node, SchedulerEvent::EngineReported(report.clone()));
        }
    }

    /// Reads an engine's cache events for its owner; some reads lose events.
    pub(super) fn read_cache(&mut self, engine: usize) {
        let host = &mut self.engines[engine];
        if !host.alive || self.policy.sees_all() {
            return;
        }
        let slice = host.model.cache_events(host.cache_position);
        let skipped = slice.first > host.cache_position;
        host.cache_position = slice.next;
        let (node, id) = (host.owner, host.id.clone());
        let lossy = self.random_fraction() < self.shape.cache_gaps;
        let events = drop_events(slice.events, lossy);
        if !events.is_empty() || skipped || lossy {
            let event = SchedulerEvent::CacheChanged {
                engine: id,
                events_lost: skipped || lossy,
                events,
            };
            self.schedule
                .deliver_after(self.shape.cache_lag, node, event);
        }
        let period = self.shape.cache_period;
        self.schedule
            .after(period, DriverEvent::ReadCache { engine });
    }

    /// Draws a uniform random number from 0 to 1.
    fn random_fraction(&mut self) -> f64 {
        self.random_state = mix(self.random_state, 1);
        let bits = u32::try_from(self.random_state >> 32).unwrap_or(0);
        f64::from(bits) / f64::from(u32::MAX)
    }
}

fn drop_events(events: Vec<CacheEvent>, lossy: bool) -> Vec<CacheEvent> {
    if !lossy {
        return events;
    }
    events
        .into_iter()
        .enumerate()
        .filter(|(index, _)| index % LOST_EVENT_ONE_IN != 0)
        .map(|(_, event)| event)
        .collect()
}
