//! The event queue of a simulated run.

use std::{
    cmp::Ordering,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use routing::SchedulerEvent;
use types::EngineReport;

/// A scheduled event of a run. Numbers are indices into the driver's lists of
/// requests, nodes, engines and attempts in flight.
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
    /// A scheduler event reaches a node.
    Deliver {
        node: usize,
        event: Box<SchedulerEvent>,
    },
    /// An engine's report reaches the nodes that receive it.
    Reported {
        engine: usize,
        report: Box<EngineReport>,
    },
    /// An attempt, or the reservations of a gang, reach their engines.
    Submit { attempt: usize },
    /// A gang starts after its reservations.
    Start { attempt: usize },
    /// A cancellation reaches an attempt's engines.
    Cancel { attempt: usize },
    /// An engine's simulation changes.
    Wake { engine: usize },
    /// An engine makes its next report.
    Report { engine: usize },
    /// An engine's cache events are read.
    ReadCache { engine: usize },
    /// A node sends its summary.
    Summarise { node: usize },
    /// A node's scheduler tick is due.
    Tick { node: usize },
    /// Holds of gangs on their further engines are renewed and the prefill speed of
    /// the gangs is updated.
    Renew,
    /// A caller's deadline passes.
    Deadline { request: usize },
    /// An engine crashes and does not restart.
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

/// Pending events by time; those due at the same time keep the order in which
/// they were scheduled.
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

    /// Schedules a scheduler event for a node after a delay.
    pub(crate) fn deliver_after(&mut self, delay: Duration, node: usize, event: SchedulerEvent) {
        let event = Box::new(event);
        self.after(delay, DriverEvent::Deliver { node, event });
    }

    pub(crate) fn at(&mut self, at: Instant, event: DriverEvent) {
        self.sequence += 1;
        self.heap.push(TimedEvent {
            at: at.max(self.now),
            sequence: self.sequence,
            event,
        });
    }

    /// Removes the next event and advances the clock to it.
    pub(crate) fn pop(&mut self) -> Option<DriverEvent> {
        let next = self.heap.pop()?;
        self.now = next.at;
        Some(next.event)
    }
}
