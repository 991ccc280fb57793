//! Requests as callers see them: arrivals, forwards, refusals and deadlines.

use std::time::Duration;

use routing::{RefusalReason, SchedulerEvent};
use types::RequestId;

use crate::{
    FleetShape, caller::request_index, driver::FleetDriver, fleet::HOP_DELAY,
    ledger::CallerOutcome, schedule::DriverEvent,
};

impl FleetDriver {
    pub(super) fn handle_arrival(&mut self, request: usize) {
        if !self.ledger.is_open(request) {
            return;
        }
        let now = self.schedule.now();
        let caller = &mut self.callers[request];
        caller.send_count += 1;
        caller.forwarded = None;
        let entry = caller.entry;
        let event = caller.arrival(&self.shape, now, None);
        self.deliver(entry, event);
    }

    pub(super) fn on_forward(&mut self, request: usize, node: usize, via: usize) {
        if !self.ledger.is_open(request) {
            return;
        }
        let now = self.schedule.now();
        let via = Some(FleetShape::node_id(via));
        let event = self.callers[request].arrival(&self.shape, now, via);
        self.deliver(node, event);
    }

    /// Index of the request with this id while its caller still waits for it.
    pub(super) fn open_request_index(&self, id: &RequestId) -> Option<usize> {
        let index = request_index(id)?;
        let current = self.callers[index].request_id() == *id;
        (current && self.ledger.is_open(index)).then_some(index)
    }

    pub(super) fn forward(&mut self, from: usize, id: &RequestId, to: &str) {
        let Some(request) = self.open_request_index(id) else {
            return;
        };
        let Some(node) = (0..self.nodes.len()).find(|node| FleetShape::node_id(*node) == to) else {
            return;
        };
        self.callers[request].forwarded = Some(node);
        let event = DriverEvent::Forwarded {
            request,
            node,
            via: from,
        };
        self.schedule.after(HOP_DELAY, event);
    }

    pub(super) fn refuse(
        &mut self,
        node: usize,
        id: &RequestId,
        reason: RefusalReason,
        retry_after: Duration,
    ) {
        let Some(request) = self.open_request_index(id) else {
            return;
        };
        let entry = self.callers[request].entry;
        if node != entry {
            self.refuse_forward(node, request, id, reason, retry_after);
            return;
        }
        if self.ledger.delivered(request) > 0 {
            self.close_request(request, CallerOutcome::Failed);
            return;
        }
        let now = self.schedule.now();
        match self.callers[request].retry_at(now, retry_after) {
            Some(retry_at) => self.schedule.at(retry_at, DriverEvent::Arrive { request }),
            None => self.close_request(request, CallerOutcome::Refused),
        }
    }

    /// Reports to the entry node that the node it forwarded to refused.
    fn refuse_forward(
        &mut self,
        node: usize,
        request: usize,
        id: &RequestId,
        reason: RefusalReason,
        retry_after: Duration,
    ) {
        self.callers[request].forwarded = None;
        let entry = self.callers[request].entry;
        let delivered = self.ledger.delivered(request);
        let node = FleetShape::node_id(node);
        let request = id.clone();
        let event = if delivered > 0 {
            SchedulerEvent::ForwardFailed {
                request,
                node,
                delivered,
            }
        } else {
            SchedulerEvent::ForwardRefused {
                request,
                node,
                reason,
                retry_after,
            }
        };
        self.notify_node(entry, event);
    }

    /// Records the outcome of a request for its caller.
    pub(crate) fn close_request(&mut self, request: usize, outcome: CallerOutcome) {
        let was_open = self.ledger.is_open(request);
        self.ledger.record_outcome(request, outcome);
        self.open_requests -= usize::from(was_open);
    }

    /// Ends a request at its deadline and cancels its remaining attempts.
    pub(super) fn expire_request(&mut self, request: usize) {
        if !self.ledger.is_open(request) {
            return;
        }
        let outcome = if self.callers[request].send_count == 0 {
            CallerOutcome::Refused
        } else {
            CallerOutcome::Failed
        };
        self.close_request(request, outcome);
        let caller = &self.callers[request];
        let id = caller.request_id();
        let nodes = [Some(caller.entry), caller.forwarded];
        for attempt in caller.attempts.clone() {
            self.schedule
                .after(HOP_DELAY * 2, DriverEvent::Cancel { attempt });
        }
        for node in nodes.into_iter().flatten() {
            let request = id.clone();
            self.notify_node(node, SchedulerEvent::Cancelled { request });
        }
    }
}
