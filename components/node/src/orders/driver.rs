//! Carries out the actions of one attempt.

use std::{sync::Arc, time::Duration};

use errors::{PlatformError, SendPhase, UpstreamError};
use orders::{
    AttemptAction, AttemptEvent, AttemptPlan, DoubtCause, OrderAttempt, OrderOutcome,
    OwedSettlement, RecordedAnswer, RefusalCause, SendResult, body_digest,
};
use smol::channel::{Receiver, bounded};
use types::FencingNumber;
use upstream::{OrderCall, ServiceResponse};

use super::{
    owed::OwedEntry,
    request::{OrderRequest, ServicePeer, ServiceTarget},
    service::{OpenOrder, OrderParts},
};

/// Time a send counts as under way beyond its timeout.
const SEND_GRACE: Duration = Duration::from_secs(2);

/// One attempt with its edges.
pub(crate) struct AttemptDriver {
    pub(crate) parts: Arc<OrderParts>,
    pub(crate) request: OrderRequest,
    pub(crate) target: ServiceTarget,
    pub(crate) peer: ServicePeer,
    pub(crate) tag: String,
}

impl AttemptDriver {
    /// Runs the attempt to its end.
    pub(crate) async fn run(self) -> OrderOutcome {
        let row_key = self.request.name.row_key();
        let mut attempt = OrderAttempt::new(self.plan(), self.parts.settings.guards);
        let mut event = AttemptEvent::Begun;
        loop {
            event = match attempt.step(self.parts.wall.now(), event) {
                AttemptAction::Write(write) => {
                    written(self.parts.writer.write(row_key.clone(), write).await)
                }
                AttemptAction::Read => match self.parts.ledger.order(&row_key).await {
                    Ok(found) => AttemptEvent::Found(found),
                    Err(_) => AttemptEvent::ReadFailed,
                },
                AttemptAction::Send { fencing } => AttemptEvent::Sent(self.send(fencing).await),
                AttemptAction::Finish(end) => {
                    if let Some(owed) = end.owed {
                        self.owe(owed);
                    }
                    let code = end.outcome.code();
                    let peer = &self.peer.id;
                    log::info!("event=order_answered order={row_key} peer={peer} code={code}");
                    return end.outcome;
                }
                // The loop feeds one event for each action, so none is late.
                AttemptAction::Ignore => AttemptEvent::ReadFailed,
            };
        }
    }

    fn plan(&self) -> AttemptPlan {
        let request = &self.request;
        AttemptPlan {
            tag: self.tag.clone(),
            node: self.parts.settings.node.clone(),
            digest: body_digest(&request.path, &request.content_type, &request.body),
            rule: self.target.guarantee.into(),
            send_limit: self.target.timeout + SEND_GRACE,
            deadline: self.parts.wall.now() + request.deadline_in,
        }
    }

    fn owe(&self, owed: OwedSettlement) {
        let name = self.request.name.clone();
        self.parts.owed.push(OwedEntry { name, owed });
    }

    /// Sends once and waits for the timeout; a later answer settles the order.
    async fn send(&self, fencing: FencingNumber) -> SendResult {
        let answer = self.spawn_call(fencing);
        let timeout = self.target.timeout;
        let result = self.parts.clock.timeout(timeout, answer.recv()).await;
        if let Some(result) = result {
            return result.unwrap_or(SendResult::Unknown(DoubtCause::AnswerLost));
        }
        self.await_late(answer);
        SendResult::Unknown(DoubtCause::AnswerLost)
    }

    fn spawn_call(&self, fencing: FencingNumber) -> Receiver<SendResult> {
        let (sender, receiver) = bounded(1);
        let limit = self.target.timeout + self.parts.settings.late_answer_limit;
        let call = OrderCall {
            path: self.request.path.clone(),
            content_type: self.request.content_type.clone(),
            body: self.request.body.clone(),
            dedup_key: Some(self.request.name.dedup_key()),
            fencing: Some(fencing),
            deadline_in: limit,
            traceparent: self.request.traceparent.clone(),
        };
        let client = Arc::clone(&self.peer.client);
        let clock = self.parts.clock.clone();
        smol::spawn(async move {
            // The channel closes without a result when the limit is over.
            if let Some(result) = clock.timeout(limit, client.order(call)).await {
                sender.try_send(send_result(result)).ok();
            }
        })
        .detach();
        receiver
    }

    fn await_late(&self, answer: Receiver<SendResult>) {
        let parts = Arc::clone(&self.parts);
        let name = self.request.name.clone();
        let tag = self.tag.clone();
        let open = OpenOrder::new(&parts);
        smol::spawn(async move {
            if let Ok(result) = answer.recv().await {
                let verdict = result.verdict();
                let owed = OwedSettlement { tag, verdict };
                parts.owed.push(OwedEntry { name, owed });
            }
            drop(open);
        })
        .detach();
    }
}

fn written(result: Result<u64, PlatformError>) -> AttemptEvent {
    match result {
        Ok(version) => AttemptEvent::Written(version),
        Err(PlatformError::Conflict { .. }) => AttemptEvent::Conflicted,
        Err(error) if error.effect_unknown() => AttemptEvent::WriteUnknown,
        Err(_) => AttemptEvent::WriteFailed,
    }
}

fn send_result(result: Result<ServiceResponse, UpstreamError>) -> SendResult {
    match result {
        Ok(answer) => SendResult::Answered(RecordedAnswer {
            status: answer.status,
            content_type: answer.content_type,
            body: answer.body,
            truncated: false,
        }),
        Err(UpstreamError::Refused { status, .. }) => {
            SendResult::NotRun(RefusalCause::ServiceRefused { status })
        }
        Err(UpstreamError::Fenced { .. }) => SendResult::NotRun(RefusalCause::Fenced),
        Err(UpstreamError::Malformed { .. }) => SendResult::Unknown(DoubtCause::AnswerMalformed),
        Err(UpstreamError::Broken { phase, .. } | UpstreamError::Overdue { phase, .. }) => {
            match phase {
                SendPhase::BeforeFirstByte => SendResult::NotRun(RefusalCause::ServiceUnreachable),
                SendPhase::AfterFirstByte => SendResult::Unknown(DoubtCause::AnswerLost),
            }
        }
    }
}
