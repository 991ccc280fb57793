//! Handles attempts on engines: submission, reservation, cancellation, failure.

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
    pub(super) fn send_attempt(&mut self, attempt: InFlightAttempt) {
        if attempt.engines.is_empty() {
            self.notify_failure(&attempt);
            return;
        }
        let attempt_index = self.attempts.len();
        self.callers[attempt.request].attempts.push(attempt_index);
        self.attempts.push(attempt);
        self.schedule.after(
            HOP_DELAY,
            DriverEvent::Submit {
                attempt: attempt_index,
            },
        );
    }

    pub(super) fn submit_attempt(&mut self, attempt_index: usize) {
        if !self.keep_if_wanted(attempt_index) {
            return;
        }
        if self.attempts[attempt_index].is_gang() {
            self.reserve_gang(attempt_index);
        } else {
            self.start_sequence(attempt_index);
        }
    }

    /// Reserves memory on all engines of a gang, or on none.
    fn reserve_gang(&mut self, attempt_index: usize) {
        let now = self.schedule.now();
        let attempt = self.attempts[attempt_index].clone();
        let holder = FleetShape::node_id(attempt.node);
        let hold = attempt.hold(&self.callers[attempt.request].spec, holder);
        for engine in &attempt.engines {
            let host = &mut self.engines[*engine];
            let granted = host.alive && host.model.reserve(now, &hold).is_ok();
            self.process_events(*engine);
            if !granted {
                self.refuse_gang(attempt_index, *engine);
                return;
            }
        }
        self.attempts[attempt_index].stage = AttemptStage::Reserved;
        self.gangs.push(attempt_index);
        self.schedule.after(
            GANG_START_DELAY,
            DriverEvent::Start {
                attempt: attempt_index,
            },
        );
    }

    fn refuse_gang(&mut self, attempt_index: usize, engine: usize) {
        self.end_attempt(attempt_index);
        let attempt = &self.attempts[attempt_index];
        let event = SchedulerEvent::GangReservationRefused {
            request: attempt.id.clone(),
            attempt: attempt.attempt,
            engine: self.engines[engine].id.clone(),
        };
        let node = attempt.node;
        self.notify_node(node, event);
    }

    /// Submits an attempt to its leading engine.
    pub(super) fn start_sequence(&mut self, attempt_index: usize) {
        if !self.keep_if_wanted(attempt_index) {
            return;
        }
        let now = self.schedule.now();
        let attempt = &self.attempts[attempt_index];
        let leader = attempt.leader();
        let spec = attempt.attempt_spec(&self.callers[attempt.request].spec);
        let host = &mut self.engines[leader];
        let alive = host.alive;
        let submitted = alive.then(|| host.model.submit(now, spec));
        let Some(Ok(sequence)) = submitted else {
            self.fail_attempt(attempt_index);
            return;
        };
        host.sequences.insert(sequence, attempt_index);
        self.attempts[attempt_index].sequence = Some(sequence);
        self.attempts[attempt_index].stage = AttemptStage::Running;
        self.process_events(leader);
    }

    /// Whether an attempt is in flight and its caller still waits. Ends the attempt
    /// when the caller has left.
    fn keep_if_wanted(&mut self, attempt_index: usize) -> bool {
        let attempt = &self.attempts[attempt_index];
        if attempt.stage == AttemptStage::Ended {
            return false;
        }
        if self.ledger.is_open(attempt.request) {
            return true;
        }
        self.end_attempt(attempt_index);
        false
    }

    /// Cancels an attempt on its engines.
    pub(super) fn cancel_on_engines(&mut self, attempt_index: usize) {
        if self.attempts[attempt_index].stage != AttemptStage::Ended {
            self.end_attempt(attempt_index);
        }
    }

    /// Cancels an attempt on behalf of the node that dispatched it.
    pub(super) fn cancel_attempt(&mut self, node: usize, request: usize, attempt: AttemptId) {
        let matching = self.callers[request]
            .attempts
            .iter()
            .copied()
            .find(|attempt_index| {
                let candidate = &self.attempts[*attempt_index];
                candidate.node == node && candidate.attempt == attempt
            });
        let Some(attempt_index) = matching else {
            return;
        };
        self.attempts[attempt_index].cancelled = true;
        self.schedule.after(
            HOP_DELAY,
            DriverEvent::Cancel {
                attempt: attempt_index,
            },
        );
    }

    /// Ends an attempt and frees its memory on every engine.
    pub(super) fn end_attempt(&mut self, attempt_index: usize) {
        let now = self.schedule.now();
        self.attempts[attempt_index].stage = AttemptStage::Ended;
        self.gangs.retain(|gang| *gang != attempt_index);
        let attempt = self.attempts[attempt_index].clone();
        self.callers[attempt.request]
            .attempts
            .retain(|other| *other != attempt_index);
        if let Some(sequence) = attempt.sequence {
            self.engines[attempt.leader()].sequences.remove(&sequence);
        }
        for engine in attempt.engines {
            let model = &mut self.engines[engine].model;
            model.cancel(now, &attempt.id, attempt.attempt);
            self.process_events(engine);
        }
    }

    fn fail_attempt(&mut self, attempt_index: usize) {
        if self.attempts[attempt_index].stage == AttemptStage::Ended {
            return;
        }
        self.end_attempt(attempt_index);
        let attempt = self.attempts[attempt_index].clone();
        if !attempt.cancelled {
            self.notify_failure(&attempt);
        }
    }

    fn notify_failure(&mut self, attempt: &InFlightAttempt) {
        let event = SchedulerEvent::Failed {
            request: attempt.id.clone(),
            attempt: attempt.attempt,
            delivered: self.ledger.delivered(attempt.request),
            retryable: true,
        };
        self.notify_node(attempt.node, event);
    }

    /// Fails every attempt that ran or held memory on a crashed engine.
    pub(super) fn fail_attempts_on(&mut self, engine: usize) {
        let mut lost: Vec<usize> = self.engines[engine].sequences.values().copied().collect();
        let gangs = self.gangs.iter().copied();
        lost.extend(gangs.filter(|gang| self.attempts[*gang].engines.contains(&engine)));
        lost.sort_unstable();
        lost.dedup();
        for attempt_index in lost {
            self.fail_attempt(attempt_index);
        }
    }
}
