//! Queue of settlements to be written in the background, and the worker that
//! writes them and retries while the table service fails.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use errors::PlatformError;
use kernel::ClockSource;
use orders::{OrderName, PendingSettlement, SettleStep, settle_step};
use smol::channel::{Receiver, Sender, bounded};

use super::{clock::WallClock, ledger::OrderLedger, writer::RowWriter};

const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
const BATCH_SETTLEMENTS: usize = 64;

/// A pending settlement with the name of its order.
#[derive(Clone)]
pub(crate) struct QueuedSettlement {
    pub(crate) name: OrderName,
    pub(crate) settlement: PendingSettlement,
}

/// Settlements not yet written, in order of arrival.
pub(crate) struct SettlementQueue {
    waiting: Mutex<VecDeque<QueuedSettlement>>,
    wake_sender: Sender<()>,
    wake_receiver: Receiver<()>,
}

impl SettlementQueue {
    pub(crate) fn new() -> Self {
        let (wake_sender, wake_receiver) = bounded(1);
        Self {
            waiting: Mutex::default(),
            wake_sender,
            wake_receiver,
        }
    }

    pub(crate) fn push(&self, entry: QueuedSettlement) {
        self.locked(|waiting| waiting.push_back(entry));
        self.wake_sender.try_send(()).ok();
    }

    pub(crate) fn len(&self) -> usize {
        self.locked(|waiting| waiting.len())
    }

    fn peek(&self, count: usize) -> Vec<QueuedSettlement> {
        self.locked(|waiting| waiting.iter().take(count).cloned().collect())
    }

    /// Removes the first `count` entries and appends `failed` to the end.
    fn requeue(&self, count: usize, failed: Vec<QueuedSettlement>) {
        self.locked(|waiting| {
            waiting.drain(..count);
            waiting.extend(failed);
        });
    }

    fn locked<T>(&self, change: impl FnOnce(&mut VecDeque<QueuedSettlement>) -> T) -> T {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut waiting)
    }
}

/// Writes queued settlements in batches, whose writes share transactions. While
/// the store fails, it probes the store with one entry at a time.
pub(crate) struct SettlementWorker {
    pub(crate) clock: ClockSource,
    pub(crate) wall: WallClock,
    pub(crate) ledger: Arc<OrderLedger>,
    pub(crate) writer: Arc<RowWriter>,
    pub(crate) queue: Arc<SettlementQueue>,
}

impl SettlementWorker {
    pub(crate) async fn run(self: Arc<Self>) {
        let mut backoff = Duration::ZERO;
        loop {
            if self.queue.len() == 0 {
                self.queue.wake_receiver.recv().await.ok();
                continue;
            }
            let size = if backoff.is_zero() {
                BATCH_SETTLEMENTS
            } else {
                1
            };
            if self.settle_batch(size).await {
                backoff = Duration::ZERO;
                continue;
            }
            backoff = (backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
            let jitter: f64 = rand::random();
            self.clock.sleep(backoff.mul_f64(0.5 + jitter / 2.0)).await;
        }
    }

    /// Writes the first entries concurrently; returns whether all were written.
    async fn settle_batch(self: &Arc<Self>, size: usize) -> bool {
        let entries = self.queue.peek(size);
        let tasks: Vec<_> = entries
            .iter()
            .map(|entry| smol::spawn(Arc::clone(self).settle(entry.clone())))
            .collect();
        let mut failed = Vec::new();
        for (task, entry) in tasks.into_iter().zip(&entries) {
            if let Err(error) = task.await {
                log::warn!("event=owed_settlement_failed error=\"{error}\"");
                failed.push(entry.clone());
            }
        }
        let all = failed.is_empty();
        self.queue.requeue(entries.len(), failed);
        all
    }

    async fn settle(self: Arc<Self>, entry: QueuedSettlement) -> Result<(), PlatformError> {
        let row_key = entry.name.row_key();
        loop {
            let found = self.ledger.order(&row_key).await?;
            let write = match settle_step(found.as_ref(), &entry.settlement, self.wall.now()) {
                SettleStep::Write(write) => *write,
                SettleStep::Discard => return Ok(()),
                SettleStep::Contradiction => {
                    log::error!("event=order_settled_against_evidence order={row_key}");
                    return Ok(());
                }
            };
            match self.writer.write(row_key.clone(), write).await {
                Ok(_) => {
                    log::info!("event=order_settled_late order={row_key}");
                    return Ok(());
                }
                Err(PlatformError::Conflict { .. }) => {}
                Err(error) => return Err(error),
            }
        }
    }
}
