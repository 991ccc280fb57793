//! Prompts handed to other nodes, and what became of them there.

use std::time::{Duration, Instant};

use admission::QueuedJob;
use types::{NodeId, RequestId, TokenCount};

use crate::{
    NodeScheduler, RefusalReason, SchedulerAction, arrival::Rejection, scheduler::refusal,
};

/// Most nodes that a prompt is handed to, one after the other.
const HANDED_LIMIT: usize = 2;
/// Time after its deadline at which a prompt is given up here, if the node
/// that has it says nothing.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);

/// One prompt that another node has.
#[derive(Debug)]
pub(crate) struct ForwardedJob {
    pub(crate) queued: QueuedJob,
    pub(crate) node: NodeId,
    /// Nodes that had it, this one last.
    pub(crate) handed: Vec<NodeId>,
}

impl NodeScheduler {
    /// Hands a prompt to another node.
    pub(crate) fn forward(
        &mut self,
        now: Instant,
        queued: QueuedJob,
        node: NodeId,
        mut handed: Vec<NodeId>,
    ) -> SchedulerAction {
        let request = queued.job.request.clone();
        self.peers.forwarded(
            now,
            &node,
            request.clone(),
            queued.class,
            queued.prefill_time,
        );
        handed.push(node.clone());
        self.silences
            .insert((silence_limit(&queued), request.clone()));
        let forwarded = ForwardedJob {
            queued,
            node: node.clone(),
            handed,
        };
        self.forwarded.insert(request.clone(), forwarded);
        SchedulerAction::Forward { request, node }
    }

    /// Forgets a forwarded prompt that `node` has; `None` if it has not.
    pub(crate) fn end_forward(
        &mut self,
        request: &RequestId,
        node: Option<&NodeId>,
    ) -> Option<ForwardedJob> {
        let forwarded = self.forwarded.get(request)?;
        if node.is_some_and(|node| forwarded.node != *node) {
            return None;
        }
        let forwarded = self.forwarded.remove(request)?;
        let limit = silence_limit(&forwarded.queued);
        self.silences.remove(&(limit, request.clone()));
        self.peers.forget_forward(&forwarded.node, request);
        Some(forwarded)
    }

    /// A node refused the prompt: another one or this one may take it.
    pub(crate) fn forward_refused(
        &mut self,
        now: Instant,
        request: &RequestId,
        node: &NodeId,
        rejection: Rejection,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(forwarded) = self.end_forward(request, Some(node)) else {
            return;
        };
        if rejection.reason == RefusalReason::ModelNotReady {
            self.peers.avoid(now, node, rejection.retry_after);
        }
        self.hand_on(now, forwarded, rejection, actions);
    }

    /// The hop to a node broke: the prompt is tried again if the budget of
    /// retries allows.
    pub(crate) fn forward_failed(
        &mut self,
        now: Instant,
        request: &RequestId,
        node: &NodeId,
        delivered: TokenCount,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(mut forwarded) = self.end_forward(request, Some(node)) else {
            return;
        };
        self.peers.avoid(now, node, Duration::from_secs(1));
        let queued = &mut forwarded.queued;
        queued.resume_at = queued.resume_at.max(delivered);
        queued.failures += 1;
        let rejection = Rejection::new(RefusalReason::RetriesExhausted, Duration::ZERO);
        if queued.failures >= self.settings.attempt_limit || !self.retries.spend() {
            actions.push(refusal(
                request.clone(),
                rejection.reason,
                rejection.retry_after,
            ));
            return;
        }
        self.hand_on(now, forwarded, rejection, actions);
    }

    /// Gives up prompts that another node has kept past their deadline.
    pub(crate) fn end_silent(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        while let Some((limit, request)) = self.silences.first() {
            if *limit > now {
                return;
            }
            let request = request.clone();
            self.end_forward(&request, None);
            let rejection = Rejection::new(RefusalReason::DeadlineUnreachable, Duration::ZERO);
            actions.push(refusal(request, rejection.reason, rejection.retry_after));
        }
    }

    fn hand_on(
        &mut self,
        now: Instant,
        forwarded: ForwardedJob,
        rejection: Rejection,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let request = forwarded.queued.job.request.clone();
        let may_forward = forwarded.handed.len() < HANDED_LIMIT;
        let handed = may_forward.then_some(forwarded.handed);
        match self.settle(now, forwarded.queued, handed) {
            Ok(action) => actions.extend(action),
            Err(here) => {
                let retry_after = here.retry_after.min(rejection.retry_after);
                actions.push(refusal(request, rejection.reason, retry_after));
            }
        }
    }
}

fn silence_limit(queued: &QueuedJob) -> Instant {
    queued.job.deadline + SILENCE_LIMIT
}
