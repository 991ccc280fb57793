//! The events of a run, in order of time.

use std::{
    cmp::Ordering,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use routing::SchedulerEvent;
use types::EngineReport;

/// Something that will happen in a run. Numbers are places in the driver's
/// lists of requests, nodes, engines and flights.
#[derive(Clone, Debug)]
pub(crate) enum DriverEvent {
    /// A caller's request reaches its entry node.
    Arrive { request: usize },
    /// A forwarded request reaches a node.
    Forwarded {
        request: usize,
        node: usize,
        via: usize,
    },
    /// A node learns something.
    Learn {
        node: usize,
        event: Box<SchedulerEvent>,
    },
    /// Nodes receive an engine's report.
    Reported {
        engine: usize,
        report: Box<EngineReport>,
    },
    /// An attempt reaches its engine, or its reservations reach their engines.
    Submit { flight: usize },
    /// An attempt over several engines starts after its reservations.
    Start { flight: usize },
    /// A cancellation reaches an attempt's engines.
    Cancel { flight: usize },
    /// An engine has something to do.
    Wake { engine: usize },
    /// An engine makes its next report.
    Report { engine: usize },
    /// An engine's cache events are read.
    ReadCache { engine: usize },
    /// A node sends its summary.
    Summarise { node: usize },
    /// A node's time passes.
    Tick { node: usize },
    /// Holds of running attempts are renewed and their speed is set.
    Renew,
    /// A caller's patience ends.
    Deadline { request: usize },
    /// An engine dies for good.
    Crash { engine: usize },
}

#[derive(Debug)]
struct TimedEvent {
    at: Instant,
    sequence: u64,
    event: DriverEvent,
}

impl PartialEq for TimedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for TimedEvent {}

impl PartialOrd for TimedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TimedEvent {
    /// The earliest event is the greatest, as `BinaryHeap` pops that one.
    fn cmp(&self, other: &Self) -> Ordering {
        let own = (self.at, self.sequence);
        (other.at, other.sequence).cmp(&own)
    }
}

/// Pending events; those of one moment come out in the order they went in.
#[derive(Debug)]
pub(crate) struct EventSchedule {
    now: Instant,
    heap: BinaryHeap<TimedEvent>,
    sequence: u64,
}

impl EventSchedule {
    pub(crate) fn new(start: Instant) -> Self {
        Self {
            now: start,
            heap: BinaryHeap::new(),
            sequence: 0,
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.now
    }

    pub(crate) fn after(&mut self, delay: Duration, event: DriverEvent) {
        self.at(self.now + delay, event);
    }

    /// Lets a node learn something after a delay.
    pub(crate) fn learn_after(&mut self, delay: Duration, node: usize, event: SchedulerEvent) {
        let event = Box::new(event);
        self.after(delay, DriverEvent::Learn { node, event });
    }

    pub(crate) fn at(&mut self, at: Instant, event: DriverEvent) {
        self.sequence += 1;
        self.heap.push(TimedEvent {
            at: at.max(self.now),
            sequence: self.sequence,
            event,
        });
    }

    /// Moves the clock to the next event.
    pub(crate) fn pop(&mut self) -> Option<DriverEvent> {
        let next = self.heap.pop()?;
        self.now = next.at;
        Some(next.event)
    }
}
