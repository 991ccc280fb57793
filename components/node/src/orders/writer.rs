//! Group commit: changes of independent orders share a transaction.

use std::{
    collections::{HashSet, VecDeque},
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, SystemTime},
};

use errors::PlatformError;
use orders::{OrderWrite, RowCondition};
use smol::channel::{Sender, bounded};
use stores::{RowExpectation, RowWrite};
use types::RowVersion;

use super::{
    clock::WallClock,
    ledger::{CLAIMS_TABLE, DOUBTS_TABLE, ORDERS_TABLE, OrderLedger},
};

/// Total time that one batch waits for the store's rate limit.
const MAX_RATE_LIMIT_WAIT: Duration = Duration::from_secs(2);
/// Queued writes at which new orders are refused.
const MAX_QUEUED_WRITES: usize = 4_096;

type WriteResult = Result<RowVersion, PlatformError>;

struct PendingWrite {
    row_key: String,
    write: OrderWrite,
    reply: Sender<WriteResult>,
}

#[derive(Default)]
struct WriterQueue {
    waiting: VecDeque<PendingWrite>,
    /// Number of commit loops that run.
    commits: usize,
    /// Number of index rows built so far; makes their keys unique.
    serial: u64,
}

/// Writes order rows in batches; never repeats a write that may have taken
/// effect.
pub(crate) struct RowWriter {
    ledger: Arc<OrderLedger>,
    wall: WallClock,
    process: String,
    batch_orders: usize,
    concurrent_commits: usize,
    queue: Mutex<WriterQueue>,
}

impl RowWriter {
    pub(crate) fn new(
        ledger: Arc<OrderLedger>,
        wall: WallClock,
        process: String,
        batch_orders: usize,
        concurrent_commits: usize,
    ) -> Self {
        Self {
            ledger,
            wall,
            process,
            batch_orders: batch_orders.max(1),
            concurrent_commits: concurrent_commits.max(1),
            queue: Mutex::default(),
        }
    }

    /// Writes one order's row and returns the version of the new row.
    pub(crate) async fn write(self: &Arc<Self>, row_key: String, write: OrderWrite) -> WriteResult {
        let (reply, result) = bounded(1);
        let pending = PendingWrite {
            row_key,
            write,
            reply,
        };
        let starts = self.locked(|queue| {
            queue.waiting.push_back(pending);
            let starts = queue.commits < self.concurrent_commits;
            queue.commits += usize::from(starts);
            starts
        });
        if starts {
            smol::spawn(Arc::clone(self).commit_all()).detach();
        }
        result
            .recv()
            .await
            .unwrap_or_else(|_| Err(commit_unanswered()))
    }

    /// Whether the queue is so long that new orders are refused.
    pub(crate) fn is_full(&self) -> bool {
        self.locked(|queue| queue.waiting.len() >= MAX_QUEUED_WRITES)
    }

    async fn commit_all(self: Arc<Self>) {
        while let Some(batch) = self.next_batch() {
            self.commit(batch).await;
        }
    }

    /// Takes the next batch, at most one write per row; `None` ends the commit
    /// loop.
    fn next_batch(&self) -> Option<Vec<PendingWrite>> {
        self.locked(|queue| {
            let mut batch: Vec<PendingWrite> = Vec::new();
            let mut rows = HashSet::new();
            let mut kept = VecDeque::new();
            while let Some(pending) = queue.waiting.pop_front() {
                let full = batch.len() >= self.batch_orders;
                if full || !rows.insert(pending.row_key.clone()) {
                    kept.push_back(pending);
                    if full {
                        break;
                    }
                    continue;
                }
                batch.push(pending);
            }
            kept.append(&mut queue.waiting);
            queue.waiting = kept;
            if batch.is_empty() {
                queue.commits -= 1;
                return None;
            }
            Some(batch)
        })
    }

    /// Commits a batch in one transaction. A row that conflicts leaves the
    /// batch and the others are retried, because after a conflict nothing has
    /// taken effect. If the row isn't an order of the batch, all writes of the
    /// batch fail. A refusal by the store's rate limit has no effect either: the
    /// batch is retried after a pause, for `MAX_RATE_LIMIT_WAIT` in total, and
    /// the next batch grows meanwhile.
    async fn commit(&self, mut batch: Vec<PendingWrite>) {
        let mut waited = Duration::ZERO;
        while !batch.is_empty() {
            let writes = self.row_writes(&batch);
            match self.ledger.transact(writes).await {
                Err(PlatformError::Refused {
                    retry_after: Some(pause),
                    ..
                }) if waited + pause <= MAX_RATE_LIMIT_WAIT => {
                    waited += pause;
                    self.ledger.sleep(pause).await;
                }
                Ok(versions) => return acknowledge(batch, &versions),
                Err(PlatformError::Conflict {
                    step,
                    peer,
                    key,
                    found,
                }) => {
                    let conflict = PlatformError::Conflict {
                        step,
                        peer,
                        key: key.clone(),
                        found,
                    };
                    let index = batch.iter().position(|pending| pending.row_key == key);
                    let Some(index) = index else {
                        return fail(&batch, &conflict);
                    };
                    let pending = batch.swap_remove(index);
                    pending.reply.try_send(Err(conflict)).ok();
                }
                Err(error) => return fail(&batch, &error),
            }
        }
    }

    fn row_writes(&self, batch: &[PendingWrite]) -> Vec<RowWrite> {
        let orders = batch.iter().map(order_write);
        let doubts = batch.iter().filter_map(doubt_write);
        let mut writes: Vec<RowWrite> = orders.chain(doubts).collect();
        let claims = batch.iter().filter(|pending| pending.write.is_claim);
        let claimed: Vec<String> = claims.map(|pending| pending.row_key.clone()).collect();
        if !claimed.is_empty() {
            writes.push(self.claims_write(&claimed));
        }
        writes
    }

    /// Write of an index row that lists `row_keys` under the current minute.
    pub(crate) fn claims_write(&self, row_keys: &[String]) -> RowWrite {
        let serial = self.locked(|queue| {
            queue.serial += 1;
            queue.serial
        });
        let minute = claims_prefix(self.wall.now());
        RowWrite {
            table: CLAIMS_TABLE.to_owned(),
            key: format!("{minute}/{}-{serial:x}", self.process),
            expected: RowExpectation::Any,
            value: Some(serde_json::json!(row_keys).to_string()),
        }
    }

    fn locked<T>(&self, change: impl FnOnce(&mut WriterQueue) -> T) -> T {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut queue)
    }
}

/// Prefix of the index keys of the minute at `at`; prefixes sort by time.
pub(crate) fn claims_prefix(at: SystemTime) -> String {
    let passed = at.duration_since(SystemTime::UNIX_EPOCH);
    let minute = passed.map_or(0, |passed| passed.as_secs() / 60);
    format!("{minute:010}")
}

fn order_write(pending: &PendingWrite) -> RowWrite {
    RowWrite {
        table: ORDERS_TABLE.to_owned(),
        key: pending.row_key.clone(),
        expected: expectation(pending.write.expected),
        value: serde_json::to_string(&pending.write.row).ok(),
    }
}

pub(crate) fn expectation(condition: RowCondition) -> RowExpectation {
    match condition {
        RowCondition::Absent => RowExpectation::Absent,
        RowCondition::Version(version) => RowExpectation::Version(version),
        RowCondition::Any => RowExpectation::Any,
    }
}

fn doubt_write(pending: &PendingWrite) -> Option<RowWrite> {
    let in_doubt = pending.write.row.in_doubt();
    let value = in_doubt.then(|| "{}".to_owned());
    (in_doubt != pending.write.was_in_doubt).then(|| RowWrite {
        table: DOUBTS_TABLE.to_owned(),
        key: pending.row_key.clone(),
        expected: RowExpectation::Any,
        value,
    })
}

fn acknowledge(batch: Vec<PendingWrite>, versions: &[RowVersion]) {
    for (index, pending) in batch.into_iter().enumerate() {
        let result = versions.get(index).copied().ok_or_else(commit_unanswered);
        pending.reply.try_send(result).ok();
    }
}

fn fail(batch: &[PendingWrite], error: &PlatformError) {
    for pending in batch {
        pending.reply.try_send(Err(error.clone())).ok();
    }
}

/// Error of a write for which the commit returned no version; it may have taken
/// effect.
fn commit_unanswered() -> PlatformError {
    PlatformError::Unanswered {
        step: "write rows".to_owned(),
        peer: "table service".to_owned(),
        cause: "no version was returned for the write".to_owned(),
    }
}
