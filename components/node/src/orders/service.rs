//! The orders service: accepts submissions, answers status reads, and runs the
//! background tasks.

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
    owed::{SettlementQueue, SettlementWorker},
    reads::ReadLimiter,
    request::{OrderRequest, OrderSettings, ServiceTarget},
    sweep::SweepWorker,
    writer::RowWriter,
};

/// Name under which the kernel registers the orders service.
pub const ORDER_SERVICE: &str = "orders";

/// Resolves a service name under the release note in force; `None` when the
/// note names no such service.
pub type ServiceResolver = Arc<dyn Fn(&str) -> Option<ServiceTarget> + Send + Sync>;

const DRAIN_POLL_PAUSE: Duration = Duration::from_millis(20);

/// State that attempts and background tasks share.
pub(crate) struct OrderContext {
    pub(crate) settings: OrderSettings,
    pub(crate) clock: ClockSource,
    pub(crate) wall: WallClock,
    pub(crate) ledger: Arc<OrderLedger>,
    pub(crate) writer: Arc<RowWriter>,
    pub(crate) settlements: Arc<SettlementQueue>,
    in_flight: AtomicUsize,
}

/// Counts one order as in flight until the guard is dropped.
pub(crate) struct OpenOrderGuard(Arc<OrderContext>);

impl OpenOrderGuard {
    pub(crate) fn new(context: &Arc<OrderContext>) -> Self {
        context.in_flight.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(context))
    }
}

impl Drop for OpenOrderGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Runs the orders and reads of plain services on one node.
pub struct OrderService {
    pub(crate) context: Arc<OrderContext>,
    pub(crate) resolver: ServiceResolver,
    pub(crate) reads: Mutex<ReadLimiter>,
    process: String,
    serial: AtomicU64,
    draining: CancellationToken,
}

impl OrderService {
    /// Creates a service without orders; cancelling `draining` makes it refuse
    /// new ones.
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
        let context = OrderContext {
            settings,
            clock,
            wall,
            ledger,
            writer,
            settlements: Arc::new(SettlementQueue::new()),
            in_flight: AtomicUsize::new(0),
        };
        Arc::new(Self {
            context: Arc::new(context),
            resolver,
            reads: Mutex::default(),
            process,
            serial: AtomicU64::new(0),
            draining,
        })
    }

    /// Runs the background tasks until `token` is cancelled.
    pub async fn run(self: Arc<Self>, token: CancellationToken) {
        let context = &self.context;
        let settler = Arc::new(SettlementWorker {
            clock: context.clock.clone(),
            wall: context.wall.clone(),
            ledger: Arc::clone(&context.ledger),
            writer: Arc::clone(&context.writer),
            queue: Arc::clone(&context.settlements),
        });
        let sweep = SweepWorker {
            context: Arc::clone(context),
            process: self.process.clone(),
        };
        let work = smol::future::zip(settler.run(), sweep.run());
        smol::future::or(
            async {
                work.await;
            },
            token.cancelled(),
        )
        .await;
    }

    /// Submits an order, which continues when the caller disconnects.
    pub async fn submit(&self, request: OrderRequest) -> OrderOutcome {
        let driver = match self.admit(request) {
            Ok(driver) => driver,
            Err(outcome) => return outcome,
        };
        let (sender, receiver) = bounded(1);
        let guard = OpenOrderGuard::new(&self.context);
        smol::spawn(async move {
            let outcome = driver.run().await;
            drop(guard);
            sender.try_send(outcome).ok();
        })
        .detach();
        receiver.recv().await.unwrap_or(OrderOutcome::InDoubt {
            cause: DoubtCause::SenderSilent,
        })
    }

    fn admit(&self, request: OrderRequest) -> Result<AttemptDriver, OrderOutcome> {
        if self.draining.is_cancelled() {
            return Err(request_refusal(RefusalCause::Draining));
        }
        let target = (self.resolver)(&request.name.service)
            .ok_or_else(|| request_refusal(RefusalCause::ServiceUnknown))?;
        let peer = target
            .peers
            .first()
            .cloned()
            .ok_or_else(|| request_refusal(RefusalCause::ServiceUnreachable))?;
        if self.context.writer.is_full() || !self.context.ledger.admits() {
            return Err(request_refusal(RefusalCause::StoreUnavailable));
        }
        let serial = self.serial.fetch_add(1, Ordering::Relaxed);
        Ok(AttemptDriver {
            context: Arc::clone(&self.context),
            request,
            target,
            peer,
            tag: format!("{}-{serial:x}", self.process),
        })
    }

    /// Reads the state of an order. A row that its attempt abandoned is
    /// settled first.
    pub async fn state(&self, name: &OrderName) -> StatusReply {
        let row_key = name.row_key();
        let found = match self.context.ledger.order(&row_key).await {
            Ok(Some(found)) => found,
            Ok(None) => return StatusReply::Unrecorded,
            Err(_) => return StatusReply::StoreUnavailable,
        };
        let now = self.context.wall.now();
        let mut outcome = found.row.outcome(now);
        if let Some(write) = status_read_step(&found, now) {
            let settled = write.row.outcome(now);
            if self.context.writer.write(row_key, write).await.is_ok() {
                outcome = settled;
            }
        }
        StatusReply::Known { outcome }
    }

    /// Number of orders in flight, of late answers awaited and of settlements
    /// not yet written.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.context.in_flight.load(Ordering::Relaxed) + self.context.settlements.len()
    }

    /// Refuses new orders and waits at most `limit` until orders in flight and
    /// unwritten settlements are done; returns the number left.
    pub async fn drain(&self, limit: Duration) -> usize {
        self.draining.cancel();
        let clock = &self.context.clock;
        let drained = async {
            while self.open_count() > 0 {
                clock.sleep(DRAIN_POLL_PAUSE).await;
            }
        };
        clock.timeout(limit, drained).await;
        self.open_count()
    }

    /// Number of reads, transactions and row writes since the start.
    #[must_use]
    pub fn store_calls(&self) -> [u64; 3] {
        let counts = &self.context.ledger.counts;
        [&counts.reads, &counts.transactions, &counts.row_writes]
            .map(|count| count.load(Ordering::Relaxed))
    }

    pub(crate) fn clock(&self) -> &ClockSource {
        &self.context.clock
    }

    pub(crate) fn with_limiter<T>(&self, change: impl FnOnce(&mut ReadLimiter) -> T) -> T {
        let mut reads = self.reads.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut reads)
    }
}

/// Outcome of an order that is refused before anything was tried.
fn request_refusal(cause: RefusalCause) -> OrderOutcome {
    OrderOutcome::Refused {
        cause,
        scope: RefusalScope::Request,
    }
}
