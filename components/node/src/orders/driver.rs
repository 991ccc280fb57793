//! Performs the I/O of one order attempt: table writes, reads and the send.

use std::{sync::Arc, time::Duration};

use errors::{PlatformError, SendPhase, UpstreamError};
use orders::{
    AttemptAction, AttemptEvent, AttemptPlan, DoubtCause, OrderAttempt, OrderOutcome,
    PendingSettlement, RecordedAnswer, RefusalCause, SendResult, request_digest,
};
use smol::channel::{Receiver, bounded};
use types::FencingNumber;
use upstream::{OrderCall, ServiceResponse};

use super::{
    owed::QueuedSettlement,
    request::{OrderRequest, ServicePeer, ServiceTarget},
    service::{OpenOrderGuard, OrderContext},
};

/// Time beyond its timeout for which a send still counts as in flight.
const SEND_GRACE: Duration = Duration::from_secs(2);

/// One attempt of an order with its request, target and process.
pub(crate) struct AttemptDriver {
    pub(crate) context: Arc<OrderContext>,
    pub(crate) request: OrderRequest,
    pub(crate) target: ServiceTarget,
    pub(crate) peer: ServicePeer,
    /// Id of the attempt, unique among all nodes and processes.
    pub(crate) tag: String,
}

impl AttemptDriver {
    /// Runs the attempt until its outcome is known.
    pub(crate) async fn run(self) -> OrderOutcome {
        let row_key = self.request.name.row_key();
        let mut attempt = OrderAttempt::new(self.plan(), self.context.settings.guards);
        let mut event = AttemptEvent::Submitted;
        loop {
            event = match attempt.step(self.context.wall.now(), event) {
                AttemptAction::Write(write) => {
                    write_event(self.context.writer.write(row_key.clone(), write).await)
                }
                AttemptAction::Read => match self.context.ledger.order(&row_key).await {
                    Ok(found) => AttemptEvent::RowRead(found),
                    Err(_) => AttemptEvent::ReadFailed,
                },
                AttemptAction::Send { fencing } => {
                    AttemptEvent::SendEnded(self.send(fencing).await)
                }
                AttemptAction::Finish(end) => {
                    if let Some(settlement) = end.pending {
                        self.queue_settlement(settlement);
                    }
                    let code = end.outcome.code();
                    let peer = &self.peer.id;
                    log::info!("event=order_answered order={row_key} peer={peer} code={code}");
                    return end.outcome;
                }
                // Not reached: `Ignore` answers only a late event, and this loop
                // passes exactly one event per action.
                AttemptAction::Ignore => AttemptEvent::ReadFailed,
            };
        }
    }

    fn plan(&self) -> AttemptPlan {
        let request = &self.request;
        AttemptPlan {
            tag: self.tag.clone(),
            node: self.context.settings.node.clone(),
            digest: request_digest(&request.path, &request.content_type, &request.body),
            rule: self.target.guarantee.into(),
            send_limit: self.target.timeout + SEND_GRACE,
            deadline: self.context.wall.now() + request.deadline_in,
        }
    }

    fn queue_settlement(&self, settlement: PendingSettlement) {
        let name = self.request.name.clone();
        self.context
            .settlements
            .push(QueuedSettlement { name, settlement });
    }

    /// Sends the order once and waits until the timeout. An answer that comes
    /// later still settles the order, if it comes within `late_answer_limit`
    /// after the timeout.
    async fn send(&self, fencing: FencingNumber) -> SendResult {
        let answer = self.spawn_call(fencing);
        let timeout = self.target.timeout;
        let result = self.context.clock.timeout(timeout, answer.recv()).await;
        if let Some(result) = result {
            return result.unwrap_or(SendResult::Unknown(DoubtCause::AnswerLost));
        }
        self.settle_late_answer(answer);
        SendResult::Unknown(DoubtCause::AnswerLost)
    }

    fn spawn_call(&self, fencing: FencingNumber) -> Receiver<SendResult> {
        let (sender, receiver) = bounded(1);
        let limit = self.target.timeout + self.context.settings.late_answer_limit;
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
        let clock = self.context.clock.clone();
        smol::spawn(async move {
            // When the limit expires, the channel closes without a result.
            if let Some(result) = clock.timeout(limit, client.order(call)).await {
                sender.try_send(send_result(result)).ok();
            }
        })
        .detach();
        receiver
    }

    /// Waits for a late answer in the background and queues its settlement.
    fn settle_late_answer(&self, answer: Receiver<SendResult>) {
        let context = Arc::clone(&self.context);
        let name = self.request.name.clone();
        let tag = self.tag.clone();
        let guard = OpenOrderGuard::new(&context);
        smol::spawn(async move {
            if let Ok(result) = answer.recv().await {
                let verdict = result.verdict();
                let settlement = PendingSettlement { tag, verdict };
                context
                    .settlements
                    .push(QueuedSettlement { name, settlement });
            }
            drop(guard);
        })
        .detach();
    }
}

fn write_event(result: Result<u64, PlatformError>) -> AttemptEvent {
    match result {
        Ok(version) => AttemptEvent::RowWritten(version),
        Err(PlatformError::Conflict { .. }) => AttemptEvent::WriteConflicted,
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
