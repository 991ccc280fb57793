//! Settlements that the store must still be told, written when it is back.

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

const FIRST_BACKOFF: Duration = Duration::from_millis(100);
const LONGEST_BACKOFF: Duration = Duration::from_secs(5);
const ROUND_SETTLEMENTS: usize = 64;

#[derive(Clone)]
pub(crate) struct OwedEntry {
    pub(crate) name: OrderName,
    pub(crate) owed: PendingSettlement,
}

/// Settlements in the order in which they came.
pub(crate) struct OwedQueue {
    waiting: Mutex<VecDeque<OwedEntry>>,
    bell: Sender<()>,
    rung: Receiver<()>,
}

impl OwedQueue {
    pub(crate) fn new() -> Self {
        let (bell, rung) = bounded(1);
        Self {
            waiting: Mutex::default(),
            bell,
            rung,
        }
    }

    pub(crate) fn push(&self, entry: OwedEntry) {
        self.locked(|waiting| waiting.push_back(entry));
        self.bell.try_send(()).ok();
    }

    pub(crate) fn len(&self) -> usize {
        self.locked(|waiting| waiting.len())
    }

    fn first(&self, count: usize) -> Vec<OwedEntry> {
        self.locked(|waiting| waiting.iter().take(count).cloned().collect())
    }

    /// Drops the first entries, of which `failed` go back to the end.
    fn replace(&self, count: usize, failed: Vec<OwedEntry>) {
        self.locked(|waiting| {
            waiting.drain(..count);
            waiting.extend(failed);
        });
    }

    fn locked<T>(&self, change: impl FnOnce(&mut VecDeque<OwedEntry>) -> T) -> T {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut waiting)
    }
}

/// Writes what is owed; rounds go together, so their writes share
/// transactions. While the store fails, one entry alone tries it.
pub(crate) struct OwedWorker {
    pub(crate) clock: ClockSource,
    pub(crate) wall: WallClock,
    pub(crate) ledger: Arc<OrderLedger>,
    pub(crate) writer: Arc<RowWriter>,
    pub(crate) queue: Arc<OwedQueue>,
}

impl OwedWorker {
    pub(crate) async fn run(self: Arc<Self>) {
        let mut backoff = Duration::ZERO;
        loop {
            if self.queue.len() == 0 {
                self.queue.rung.recv().await.ok();
                continue;
            }
            let size = if backoff.is_zero() {
                ROUND_SETTLEMENTS
            } else {
                1
            };
            if self.round(size).await {
                backoff = Duration::ZERO;
                continue;
            }
            backoff = (backoff * 2).clamp(FIRST_BACKOFF, LONGEST_BACKOFF);
            let jitter: f64 = rand::random();
            self.clock.sleep(backoff.mul_f64(0.5 + jitter / 2.0)).await;
        }
    }

    /// Tries the first entries at once; whether the store took all.
    async fn round(self: &Arc<Self>, size: usize) -> bool {
        let entries = self.queue.first(size);
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
        self.queue.replace(entries.len(), failed);
        all
    }

    async fn settle(self: Arc<Self>, entry: OwedEntry) -> Result<(), PlatformError> {
        let row_key = entry.name.row_key();
        loop {
            let found = self.ledger.order(&row_key).await?;
            let write = match settle_step(found.as_ref(), &entry.owed, self.wall.now()) {
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
