//! Prompts forwarded to other nodes, and the outcomes of those forwards.

use std::time::{Duration, Instant};

use admission::QueuedJob;
use types::{NodeId, RequestId, TokenCount};

use crate::{
    NodeScheduler, RefusalReason, SchedulerAction, arrival::PromptRefusal, scheduler::refuse_action,
};

/// Largest number of nodes that a prompt is forwarded to, one after the other.
const FORWARDS_MAX: usize = 2;
/// Time after its deadline at which a forwarded prompt is refused if the other
/// node has not reported its end.
const FORWARD_EXPIRY_GRACE: Duration = Duration::from_secs(1);

/// A prompt that was forwarded to another node and has not ended.
#[derive(Debug)]
pub(crate) struct ForwardedJob {
    pub(crate) queued: QueuedJob,
    pub(crate) node: NodeId,
    /// Nodes that the prompt was forwarded to; the last one is `node`.
    pub(crate) nodes_tried: Vec<NodeId>,
}

impl NodeScheduler {
    /// Forwards a prompt to another node.
    pub(crate) fn forward(
        &mut self,
        now: Instant,
        queued: QueuedJob,
        node: NodeId,
        mut nodes_tried: Vec<NodeId>,
    ) -> SchedulerAction {
        let request = queued.job.request.clone();
        self.peers.record_forward(
            now,
            &node,
            request.clone(),
            queued.class,
            queued.prefill_time,
        );
        nodes_tried.push(node.clone());
        self.forward_expiries
            .insert((forward_expires_at(&queued), request.clone()));
        let forwarded = ForwardedJob {
            queued,
            node: node.clone(),
            nodes_tried,
        };
        self.forwarded.insert(request.clone(), forwarded);
        SchedulerAction::Forward { request, node }
    }

    /// Removes a forwarded prompt; returns `None` if it is not forwarded, or
    /// not to the given `node`.
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
        let expires_at = forward_expires_at(&forwarded.queued);
        self.forward_expiries.remove(&(expires_at, request.clone()));
        self.peers.forget_forwarded(&forwarded.node, request);
        Some(forwarded)
    }

    /// Handles a refusal by another node: forwards the prompt to a further
    /// node, queues it here or refuses it.
    pub(crate) fn forward_refused(
        &mut self,
        now: Instant,
        request: &RequestId,
        node: &NodeId,
        refusal: PromptRefusal,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let Some(forwarded) = self.end_forward(request, Some(node)) else {
            return;
        };
        if refusal.reason == RefusalReason::ModelNotReady {
            self.peers.avoid(now, node, refusal.retry_after);
        }
        self.reroute_forwarded(now, forwarded, refusal, actions);
    }

    /// Handles a broken connection to another node: tries the prompt again if
    /// the attempt limit and the retry budget allow it.
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
        // Also the reason given to the caller if a retry is allowed but neither
        // this node nor another one can take the prompt.
        let refusal = PromptRefusal::new(RefusalReason::RetriesExhausted, Duration::ZERO);
        if queued.failures >= self.settings.attempt_limit || !self.retries.try_withdraw() {
            actions.push(refuse_action(
                request.clone(),
                refusal.reason,
                refusal.retry_after,
            ));
            return;
        }
        self.reroute_forwarded(now, forwarded, refusal, actions);
    }

    /// Refuses forwarded prompts whose end was not reported within the grace
    /// time after their deadline.
    pub(crate) fn expire_forwards(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        while let Some((expires_at, request)) = self.forward_expiries.first() {
            if *expires_at > now {
                return;
            }
            let request = request.clone();
            self.end_forward(&request, None);
            let refusal = PromptRefusal::new(RefusalReason::DeadlineUnreachable, Duration::ZERO);
            actions.push(refuse_action(request, refusal.reason, refusal.retry_after));
        }
    }

    /// Forwards a returned prompt to a further node or queues it here. If
    /// neither is possible, refuses it for the reason of `refusal`.
    fn reroute_forwarded(
        &mut self,
        now: Instant,
        forwarded: ForwardedJob,
        refusal: PromptRefusal,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let request = forwarded.queued.job.request.clone();
        let may_forward = forwarded.nodes_tried.len() < FORWARDS_MAX;
        let nodes_tried = may_forward.then_some(forwarded.nodes_tried);
        match self.forward_or_enqueue(now, forwarded.queued, nodes_tried) {
            Ok(action) => actions.extend(action),
            Err(local) => {
                let retry_after = local.retry_after.min(refusal.retry_after);
                actions.push(refuse_action(request, refusal.reason, retry_after));
            }
        }
    }
}

/// Time at which a forwarded prompt is refused if its end was not reported.
fn forward_expires_at(queued: &QueuedJob) -> Instant {
    queued.job.deadline + FORWARD_EXPIRY_GRACE
}
