//! The orders service: submissions, questions, settlement by hand, and the
//! tasks behind them.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use kernel::{CancellationToken, ClockSource};
use orders::{
    DoubtCause, OrderName, OrderOutcome, RefusalCause, RefusalScope, StatusReply, status_read_step,
};
use smol::channel::bounded;
use stores::TableService;

use super::{
    clock::WallClock,
    driver::AttemptDriver,
    ledger::OrderLedger,
    owed::{OwedQueue, OwedWorker},
    reads::ReadGate,
    request::{OrderRequest, OrderSettings, ServiceTarget},
    sweep::SweepWorker,
    writer::RowWriter,
};

/// Name of the service in the kernel.
pub const ORDER_SERVICE: &str = "orders";

/// Finds a service under the release note in force; `None` when there is none.
pub type ServiceResolver = Arc<dyn Fn(&str) -> Option<ServiceTarget> + Send + Sync>;

const DRAIN_POLL: Duration = Duration::from_millis(20);

/// What attempts and background tasks share.
pub(crate) struct OrderParts {
    pub(crate) settings: OrderSettings,
    pub(crate) clock: ClockSource,
    pub(crate) wall: WallClock,
    pub(crate) ledger: Arc<OrderLedger>,
    pub(crate) writer: Arc<RowWriter>,
    pub(crate) owed: Arc<OwedQueue>,
    under_way: AtomicUsize,
}

/// Counts one order as under way until it is dropped.
pub(crate) struct OpenOrder(Arc<OrderParts>);

impl OpenOrder {
    pub(crate) fn new(parts: &Arc<OrderParts>) -> Self {
        parts.under_way.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(parts))
    }
}

impl Drop for OpenOrder {
    fn drop(&mut self) {
        self.0.under_way.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Orders and reads of plain services on one node.
pub struct OrderService {
    pub(crate) parts: Arc<OrderParts>,
    pub(crate) resolver: ServiceResolver,
    pub(crate) reads: Mutex<ReadGate>,
    process: String,
    serial: AtomicU64,
    draining: CancellationToken,
}

impl OrderService {
    /// A service with no orders; cancelling `draining` stops new ones.
    #[must_use]
    pub fn new(
        settings: OrderSettings,
        table: Arc<dyn TableService>,
        resolver: ServiceResolver,
        clock: ClockSource,
        draining: CancellationToken,
    ) -> Arc<Self> {
        let process = format!("{}-{:016x}", settings.node, rand::random::<u64>());
        let wall = WallClock::new(clock.clone());
        let ledger = Arc::new(OrderLedger::new(table, clock.clone(), settings.store_limit));
        let writer = Arc::new(RowWriter::new(
            Arc::clone(&ledger),
            wall.clone(),
            process.clone(),
            settings.batch_orders,
            settings.concurrent_commits,
        ));
        let parts = OrderParts {
            settings,
            clock,
            wall,
            ledger,
            writer,
            owed: Arc::new(OwedQueue::new()),
            under_way: AtomicUsize::new(0),
        };
        Arc::new(Self {
            parts: Arc::new(parts),
            resolver,
            reads: Mutex::default(),
            process,
            serial: AtomicU64::new(0),
            draining,
        })
    }

    /// Runs the background tasks until `token` is cancelled.
    pub async fn run(self: Arc<Self>, token: CancellationToken) {
        let parts = &self.parts;
        let owed = Arc::new(OwedWorker {
            clock: parts.clock.clone(),
            wall: parts.wall.clone(),
            ledger: Arc::clone(&parts.ledger),
            writer: Arc::clone(&parts.writer),
            queue: Arc::clone(&parts.owed),
        });
        let sweep = SweepWorker {
            parts: Arc::clone(parts),
            process: self.process.clone(),
        };
        let work = smol::future::zip(owed.run(), sweep.run());
        smol::future::or(
            async {
                work.await;
            },
            token.cancelled(),
        )
        .await;
    }

    /// Submits an order; it goes on when the caller leaves.
    pub async fn submit(&self, request: OrderRequest) -> OrderOutcome {
        let driver = match self.admit(request) {
            Ok(driver) => driver,
            Err(outcome) => return outcome,
        };
        let (sender, receiver) = bounded(1);
        let open = OpenOrder::new(&self.parts);
        smol::spawn(async move {
            let outcome = driver.run().await;
            drop(open);
            sender.try_send(outcome).ok();
        })
        .detach();
        receiver.recv().await.unwrap_or(OrderOutcome::InDoubt {
            cause: DoubtCause::SenderSilent,
        })
    }

    fn admit(&self, request: OrderRequest) -> Result<AttemptDriver, OrderOutcome> {
        if self.draining.is_cancelled() {
            return Err(refused(RefusalCause::Draining));
        }
        let target = (self.resolver)(&request.name.service)
            .ok_or_else(|| refused(RefusalCause::ServiceUnknown))?;
        let peer = target
            .peers
            .first()
            .cloned()
            .ok_or_else(|| refused(RefusalCause::ServiceUnreachable))?;
        if self.parts.writer.is_full() || !self.parts.ledger.admits() {
            return Err(refused(RefusalCause::StoreUnavailable));
        }
        let serial = self.serial.fetch_add(1, Ordering::Relaxed);
        Ok(AttemptDriver {
            parts: Arc::clone(&self.parts),
            request,
            target,
            peer,
            tag: format!("{}-{serial:x}", self.process),
        })
    }

    /// Where an order stands. A row that its attempt left is settled first.
    pub async fn state(&self, name: &OrderName) -> StatusReply {
        let row_key = name.row_key();
        let found = match self.parts.ledger.order(&row_key).await {
            Ok(Some(found)) => found,
            Ok(None) => return StatusReply::Unrecorded,
            Err(_) => return StatusReply::StoreUnavailable,
        };
        let now = self.parts.wall.now();
        let mut outcome = found.row.outcome(now);
        if let Some(write) = status_read_step(&found, now) {
            let settled = write.row.outcome(now);
            if self.parts.writer.write(row_key, write).await.is_ok() {
                outcome = settled;
            }
        }
        StatusReply::Known { outcome }
    }

    /// Orders under way, late answers awaited and settlements owed.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.parts.under_way.load(Ordering::Relaxed) + self.parts.owed.len()
    }

    /// Refuses new orders and waits at most `limit` for those under way and
    /// for what is owed; returns what is left.
    pub async fn drain(&self, limit: Duration) -> usize {
        self.draining.cancel();
        let clock = &self.parts.clock;
        let emptied = async {
            while self.open_count() > 0 {
                clock.sleep(DRAIN_POLL).await;
            }
        };
        clock.timeout(limit, emptied).await;
        self.open_count()
    }

    /// Reads, transactions and row writes made so far.
    #[must_use]
    pub fn store_calls(&self) -> [u64; 3] {
        let counts = &self.parts.ledger.counts;
        [&counts.reads, &counts.transactions, &counts.row_writes]
            .map(|count| count.load(Ordering::Relaxed))
    }

    pub(crate) fn clock(&self) -> &ClockSource {
        &self.parts.clock
    }

    pub(crate) fn with_reads<T>(&self, change: impl FnOnce(&mut ReadGate) -> T) -> T {
        let mut reads = self.reads.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut reads)
    }
}

/// A refusal before anything was tried.
fn refused(cause: RefusalCause) -> OrderOutcome {
    OrderOutcome::Refused {
        cause,
        scope: RefusalScope::Request,
    }
}
