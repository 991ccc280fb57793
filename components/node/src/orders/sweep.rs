//! Goes over the index of claims: once to settle what dead nodes left, and
//! once, when it is old, to delete.

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
    service::OrderParts,
    writer::{claims_prefix, expectation},
};

const ROUND_PAUSE: Duration = Duration::from_secs(30);
const HOLD_TIME: Duration = Duration::from_mins(2);
const PAGE_ROWS: usize = 32;

/// Where a pass stands. The hold saves nodes from doing the same work; no
/// decision rests on it.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
struct PassCursor {
    holder: String,
    held_until: SystemTime,
    after: String,
}

pub(crate) struct SweepWorker {
    pub(crate) parts: Arc<OrderParts>,
    pub(crate) process: String,
}

impl SweepWorker {
    pub(crate) async fn run(self) {
        loop {
            let jitter: f64 = rand::random();
            let pause = ROUND_PAUSE.mul_f64(0.5 + jitter);
            self.parts.clock.sleep(pause).await;
            if let Err(error) = self.sweep().await {
                log::warn!("event=order_sweep_failed error=\"{error}\"");
            }
            if let Err(error) = self.purge().await {
                log::warn!("event=order_purge_failed error=\"{error}\"");
            }
        }
    }

    /// Settles what the claims since the cursor left behind.
    async fn sweep(&self) -> Result<(), PlatformError> {
        let Some(mut cursor) = self.hold("sweep").await? else {
            return Ok(());
        };
        let ledger = &self.parts.ledger;
        loop {
            let after = Some(cursor.after.as_str());
            let page = ledger.scan(CLAIMS_TABLE, "", after, PAGE_ROWS).await?;
            let young = claims_prefix(self.parts.wall.now() - SWEEP_AGE);
            let ripe: Vec<&TableRow> = page.iter().filter(|row| row.key < young).collect();
            let Some(last) = ripe.last() else {
                return self.release("sweep", cursor).await;
            };
            for claims in &ripe {
                self.sweep_claims(claims).await?;
            }
            cursor.after.clone_from(&last.key);
            self.store_cursor("sweep", &cursor).await?;
        }
    }

    async fn sweep_claims(&self, claims: &TableRow) -> Result<(), PlatformError> {
        for row_key in listed(claims) {
            let Some(found) = self.parts.ledger.order(&row_key).await? else {
                continue;
            };
            let Some(write) = sweep_step(&found, self.parts.wall.now()) else {
                continue;
            };
            match self.parts.writer.write(row_key.clone(), write).await {
                Ok(_) => log::warn!("event=order_swept order={row_key}"),
                Err(PlatformError::Conflict { .. }) => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Deletes rows whose claim is older than the retention.
    async fn purge(&self) -> Result<(), PlatformError> {
        let Some(cursor) = self.hold("purge").await? else {
            return Ok(());
        };
        let young = claims_prefix(self.parts.wall.now() - RETENTION);
        let mut after = String::new();
        loop {
            let ledger = &self.parts.ledger;
            let page = ledger.scan(CLAIMS_TABLE, "", Some(&after), PAGE_ROWS);
            let page = page.await?;
            let ripe: Vec<&TableRow> = page.iter().filter(|row| row.key < young).collect();
            let Some(last) = ripe.last() else {
                return self.release("purge", cursor).await;
            };
            for claims in &ripe {
                self.purge_claims(claims).await?;
            }
            after.clone_from(&last.key);
        }
    }

    /// Deletes the orders of one index row and the row in one transaction.
    async fn purge_claims(&self, claims: &TableRow) -> Result<(), PlatformError> {
        let mut writes = Vec::new();
        let mut relisted = Vec::new();
        for row_key in listed(claims) {
            let Some(found) = self.parts.ledger.order(&row_key).await? else {
                continue;
            };
            match purge_step(&found.row, self.parts.wall.now()) {
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
            writes.push(self.parts.writer.claims_write(&relisted));
        }
        writes.push(RowWrite {
            table: CLAIMS_TABLE.to_owned(),
            key: claims.key.clone(),
            expected: RowExpectation::Any,
            value: None,
        });
        self.parts.ledger.transact(writes).await?;
        Ok(())
    }

    /// Takes the pass unless another node holds it.
    async fn hold(&self, pass: &str) -> Result<Option<PassCursor>, PlatformError> {
        let now = self.parts.wall.now();
        let found = self.parts.ledger.row(CURSORS_TABLE, pass).await?;
        let known: Option<PassCursor> = found
            .as_ref()
            .and_then(|row| serde_json::from_str(&row.value).ok());
        if known.as_ref().is_some_and(|cursor| cursor.held_until > now) {
            return Ok(None);
        }
        let cursor = PassCursor {
            holder: self.process.clone(),
            held_until: now + HOLD_TIME,
            after: known.map(|cursor| cursor.after).unwrap_or_default(),
        };
        let expected = found.map_or(RowExpectation::Absent, |row| {
            RowExpectation::Version(row.version)
        });
        match self.write_cursor(pass, &cursor, expected).await {
            Ok(()) => Ok(Some(cursor)),
            Err(PlatformError::Conflict { .. }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Moves the cursor on. A pass that lost its hold may move it back, which
    /// repeats work and harms nothing.
    async fn store_cursor(&self, pass: &str, cursor: &PassCursor) -> Result<(), PlatformError> {
        let held_until = self.parts.wall.now() + HOLD_TIME;
        let cursor = PassCursor {
            held_until,
            ..cursor.clone()
        };
        self.write_cursor(pass, &cursor, RowExpectation::Any).await
    }

    async fn release(&self, pass: &str, cursor: PassCursor) -> Result<(), PlatformError> {
        let held_until = self.parts.wall.now() + ROUND_PAUSE;
        let cursor = PassCursor {
            held_until,
            ..cursor
        };
        self.write_cursor(pass, &cursor, RowExpectation::Any).await
    }

    async fn write_cursor(
        &self,
        pass: &str,
        cursor: &PassCursor,
        expected: RowExpectation,
    ) -> Result<(), PlatformError> {
        let write = RowWrite {
            table: CURSORS_TABLE.to_owned(),
            key: pass.to_owned(),
            expected,
            value: serde_json::to_string(cursor).ok(),
        };
        self.parts.ledger.transact(vec![write]).await?;
        Ok(())
    }
}

fn listed(claims: &TableRow) -> Vec<String> {
    serde_json::from_str(&claims.value).unwrap_or_default()
}
