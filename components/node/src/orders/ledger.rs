//! Access of orders to the table service, with a time limit for each call,
//! call counters and a circuit breaker.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use errors::PlatformError;
use kernel::ClockSource;
use orders::{CircuitBreaker, VersionedRow};
use stores::{ReadMode, RowWrite, TableRow, TableService};
use types::RowVersion;

/// Table of order rows, keyed by organisation, service and order key.
pub(crate) const ORDERS_TABLE: &str = "orders";
/// Index of claimed orders by minute, one row per transaction.
pub(crate) const CLAIMS_TABLE: &str = "order-claims";
/// Index of orders in doubt, keyed by the order's row key.
pub(crate) const DOUBTS_TABLE: &str = "order-doubts";
/// Cursors of the sweep and the purge.
pub(crate) const CURSORS_TABLE: &str = "order-cursors";

/// Counts of calls to the table service.
#[derive(Debug, Default)]
pub(crate) struct LedgerCounts {
    pub(crate) reads: AtomicU64,
    pub(crate) transactions: AtomicU64,
    pub(crate) row_writes: AtomicU64,
}

pub(crate) struct OrderLedger {
    table: Arc<dyn TableService>,
    clock: ClockSource,
    limit: Duration,
    breaker: Mutex<CircuitBreaker>,
    pub(crate) counts: LedgerCounts,
}

impl OrderLedger {
    pub(crate) fn new(table: Arc<dyn TableService>, clock: ClockSource, limit: Duration) -> Self {
        Self {
            table,
            clock,
            limit,
            breaker: Mutex::default(),
            counts: LedgerCounts::default(),
        }
    }

    /// Whether the circuit breaker lets a new order call the store; otherwise
    /// the order is refused at once.
    pub(crate) fn admits(&self) -> bool {
        let now = self.clock.now();
        self.locked(|breaker| breaker.admit(now))
    }

    pub(crate) async fn sleep(&self, time: Duration) {
        self.clock.sleep(time).await;
    }

    /// Reads the latest version of an order's row.
    pub(crate) async fn order(&self, row_key: &str) -> Result<Option<VersionedRow>, PlatformError> {
        let row = self.row(ORDERS_TABLE, row_key).await?;
        row.map(|row| parse_order(&row)).transpose()
    }

    pub(crate) async fn row(
        &self,
        table: &str,
        key: &str,
    ) -> Result<Option<TableRow>, PlatformError> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        let read = self.table.read(table, key, ReadMode::Latest);
        // HTTP answers to operators show this step; cursor rows share it.
        self.call("read an order", read).await
    }

    pub(crate) async fn scan(
        &self,
        table: &str,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Vec<TableRow>, PlatformError> {
        self.counts.reads.fetch_add(1, Ordering::Relaxed);
        let scan = self
            .table
            .scan(table, prefix, after, limit, ReadMode::Lagging);
        self.call("scan orders", scan).await
    }

    pub(crate) async fn transact(
        &self,
        writes: Vec<RowWrite>,
    ) -> Result<Vec<RowVersion>, PlatformError> {
        let rows = writes.len() as u64;
        self.counts.transactions.fetch_add(1, Ordering::Relaxed);
        self.counts.row_writes.fetch_add(rows, Ordering::Relaxed);
        let transaction = self.table.transact(writes);
        self.call("write rows", transaction).await
    }

    async fn call<T>(
        &self,
        step: &str,
        request: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        let result = self.clock.timeout(self.limit, request).await;
        let result = result.unwrap_or_else(|| Err(timed_out(step)));
        let now = self.clock.now();
        self.locked(|breaker| match &result {
            Ok(_) | Err(PlatformError::Conflict { .. }) => breaker.record_success(),
            // A refusal by the rate limit doesn't count as an outage.
            Err(PlatformError::Refused {
                retry_after: Some(_),
                ..
            }) => {}
            Err(_) => breaker.record_failure(now),
        });
        result
    }

    fn locked<T>(&self, change: impl FnOnce(&mut CircuitBreaker) -> T) -> T {
        let mut breaker = self.breaker.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut breaker)
    }
}

fn timed_out(step: &str) -> PlatformError {
    PlatformError::Unanswered {
        step: step.to_owned(),
        peer: "table service".to_owned(),
        cause: "no answer in time".to_owned(),
    }
}

pub(crate) fn parse_order(row: &TableRow) -> Result<VersionedRow, PlatformError> {
    let parsed = serde_json::from_str(&row.value).map_err(|error| PlatformError::Malformed {
        step: format!("read order {}", row.key),
        peer: "table service".to_owned(),
        cause: error.to_string(),
    })?;
    Ok(VersionedRow {
        version: row.version,
        row: parsed,
    })
}
