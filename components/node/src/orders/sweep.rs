//! Scans the index of claims for two jobs: the sweep settles orders that dead
//! nodes abandoned, the purge deletes orders after the retention.

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use errors::PlatformError;
use orders::{PurgeStep, RETENTION, RowCondition, SWEEP_AGE, purge_step, sweep_step};
use serde::{Deserialize, Serialize};
use stores::{RowExpectation, RowWrite, TableRow};

use super::{
    ledger::{CLAIMS_TABLE, CURSORS_TABLE, ORDERS_TABLE},
    service::OrderContext,
    writer::{claims_prefix, expectation},
};

/// Average pause between two rounds on one node; random jitter makes it half
/// to one and a half times as long.
const ROUND_PAUSE: Duration = Duration::from_secs(30);
/// Time after which another node may take the lease if it isn't renewed.
const LEASE_TIME: Duration = Duration::from_mins(2);
/// Maximum number of index rows that one scan reads.
const PAGE_ROWS: usize = 32;

/// Lease on a sweep or purge, and the progress of a sweep. A purge deletes the
/// index rows that it has done, so it always begins at the first row. The lease
/// only keeps nodes from repeating each other's work; correctness doesn't depend
/// on it.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
struct ScanCursor {
    /// Process that last took the lease.
    holder: String,
    held_until: SystemTime,
    /// Key of the last index row that the sweep has done.
    after: String,
}

pub(crate) struct SweepWorker {
    pub(crate) context: Arc<OrderContext>,
    pub(crate) process: String,
}

impl SweepWorker {
    pub(crate) async fn run(self) {
        loop {
            let jitter: f64 = rand::random();
            let pause = ROUND_PAUSE.mul_f64(0.5 + jitter);
            self.context.clock.sleep(pause).await;
            if let Err(error) = self.sweep().await {
                log::warn!("event=order_sweep_failed error=\"{error}\"");
            }
            if let Err(error) = self.purge().await {
                log::warn!("event=order_purge_failed error=\"{error}\"");
            }
        }
    }

    /// Settles abandoned orders among the claims after the cursor.
    async fn sweep(&self) -> Result<(), PlatformError> {
        let Some(mut cursor) = self.acquire_cursor("sweep").await? else {
            return Ok(());
        };
        let ledger = &self.context.ledger;
        loop {
            let after = Some(cursor.after.as_str());
            let page = ledger.scan(CLAIMS_TABLE, "", after, PAGE_ROWS).await?;
            let cutoff = claims_prefix(self.context.wall.now() - SWEEP_AGE);
            let due: Vec<&TableRow> = page.iter().filter(|row| row.key < cutoff).collect();
            let Some(last) = due.last() else {
                return self.finish_round("sweep", cursor).await;
            };
            for claims in &due {
                self.sweep_claims(claims).await?;
            }
            cursor.after.clone_from(&last.key);
            self.store_cursor("sweep", &cursor).await?;
        }
    }

    /// Settles the abandoned orders of one index row.
    async fn sweep_claims(&self, claims: &TableRow) -> Result<(), PlatformError> {
        for row_key in row_keys(claims) {
            let Some(found) = self.context.ledger.order(&row_key).await? else {
                continue;
            };
            let Some(write) = sweep_step(&found, self.context.wall.now()) else {
                continue;
            };
            match self.context.writer.write(row_key.clone(), write).await {
                Ok(_) => log::warn!("event=order_swept order={row_key}"),
                Err(PlatformError::Conflict { .. }) => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Deletes the rows of orders whose claim is older than the retention.
    async fn purge(&self) -> Result<(), PlatformError> {
        let Some(cursor) = self.acquire_cursor("purge").await? else {
            return Ok(());
        };
        let cutoff = claims_prefix(self.context.wall.now() - RETENTION);
        let mut after = String::new();
        loop {
            let ledger = &self.context.ledger;
            let page = ledger.scan(CLAIMS_TABLE, "", Some(&after), PAGE_ROWS);
            let page = page.await?;
            let due: Vec<&TableRow> = page.iter().filter(|row| row.key < cutoff).collect();
            let Some(last) = due.last() else {
                return self.finish_round("purge", cursor).await;
            };
            for claims in &due {
                self.purge_claims(claims).await?;
            }
            after.clone_from(&last.key);
        }
    }

    /// Deletes the due orders of one index row and the row itself, and lists
    /// orders to look at again in a new index row, all in one transaction.
    async fn purge_claims(&self, claims: &TableRow) -> Result<(), PlatformError> {
        let mut writes = Vec::new();
        let mut relisted = Vec::new();
        for row_key in row_keys(claims) {
            let Some(found) = self.context.ledger.order(&row_key).await? else {
                continue;
            };
            match purge_step(&found.row, self.context.wall.now()) {
                PurgeStep::Delete => writes.push(RowWrite {
                    table: ORDERS_TABLE.to_owned(),
                    key: row_key,
                    expected: expectation(RowCondition::Version(found.version)),
                    value: None,
                }),
                PurgeStep::Skip => {}
                PurgeStep::Relist => relisted.push(row_key),
            }
        }
        if !relisted.is_empty() {
            writes.push(self.context.writer.claims_write(&relisted));
        }
        writes.push(RowWrite {
            table: CLAIMS_TABLE.to_owned(),
            key: claims.key.clone(),
            expected: RowExpectation::Any,
            value: None,
        });
        self.context.ledger.transact(writes).await?;
        Ok(())
    }

    /// Takes the lease on `job`; `None` while any node holds it, this one included.
    async fn acquire_cursor(&self, job: &str) -> Result<Option<ScanCursor>, PlatformError> {
        let now = self.context.wall.now();
        let found = self.context.ledger.row(CURSORS_TABLE, job).await?;
        let known: Option<ScanCursor> = found
            .as_ref()
            .and_then(|row| serde_json::from_str(&row.value).ok());
        if known.as_ref().is_some_and(|cursor| cursor.held_until > now) {
            return Ok(None);
        }
        let cursor = ScanCursor {
            holder: self.process.clone(),
            held_until: now + LEASE_TIME,
            after: known.map(|cursor| cursor.after).unwrap_or_default(),
        };
        let expected = found.map_or(RowExpectation::Absent, |row| {
            RowExpectation::Version(row.version)
        });
        match self.write_cursor(job, &cursor, expected).await {
            Ok(()) => Ok(Some(cursor)),
            Err(PlatformError::Conflict { .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Advances the cursor and renews the lease. A node that has lost the lease
    /// may move the cursor back, which only repeats work.
    async fn store_cursor(&self, job: &str, cursor: &ScanCursor) -> Result<(), PlatformError> {
        let held_until = self.context.wall.now() + LEASE_TIME;
        let cursor = ScanCursor {
            held_until,
            ..cursor.clone()
        };
        self.write_cursor(job, &cursor, RowExpectation::Any).await
    }

    /// Ends a round: keeps the lease for one `ROUND_PAUSE`, so that no other node
    /// scans again at once.
    async fn finish_round(&self, job: &str, cursor: ScanCursor) -> Result<(), PlatformError> {
        let held_until = self.context.wall.now() + ROUND_PAUSE;
        let cursor = ScanCursor {
            held_until,
            ..cursor
        };
        self.write_cursor(job, &cursor, RowExpectation::Any).await
    }

    async fn write_cursor(
        &self,
        job: &str,
        cursor: &ScanCursor,
        expected: RowExpectation,
    ) -> Result<(), PlatformError> {
        let write = RowWrite {
            table: CURSORS_TABLE.to_owned(),
            key: job.to_owned(),
            expected,
            value: serde_json::to_string(cursor).ok(),
        };
        self.context.ledger.transact(vec![write]).await?;
        Ok(())
    }
}

fn row_keys(claims: &TableRow) -> Vec<String> {
    serde_json::from_str(&claims.value).unwrap_or_default()
}
