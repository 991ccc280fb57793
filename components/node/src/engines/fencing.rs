//! Allocates fencing numbers from counters in the table service.

use std::sync::Arc;

use errors::PlatformError;
use sha2::{Digest, Sha256};
use stores::{ReadMode, RowExpectation, RowWrite, TableRow, TableService};
use types::{EngineId, FencingNumber};

const TABLE: &str = "fencing";
/// Counter rows over which engines are spread by hash, so that nodes which
/// allocate at the same time seldom conflict on a row.
const SHARDS: u8 = 64;
const MAX_ATTEMPTS: u32 = 8;

/// Allocates fencing numbers that only increase, whichever node allocates.
#[derive(Clone)]
pub struct FencingAllocator {
    table: Arc<dyn TableService>,
}

impl FencingAllocator {
    /// Creates an allocator that keeps its counters in `table`.
    #[must_use]
    pub fn new(table: Arc<dyn TableService>) -> Self {
        Self { table }
    }

    /// Allocates a number for `engine` that is higher than every earlier one and
    /// than `minimum`.
    ///
    /// # Errors
    /// `PlatformError` when the store can't be read or written, or after
    /// `MAX_ATTEMPTS` conflicts or writes of unknown effect; the caller then holds no
    /// number.
    pub async fn allocate(
        &self,
        engine: &EngineId,
        minimum: FencingNumber,
    ) -> Result<FencingNumber, PlatformError> {
        let key = shard_key(engine);
        let mut attempts = 0;
        loop {
            attempts += 1;
            let row = self.table.read(TABLE, &key, ReadMode::Latest).await?;
            let number = stored_number(row.as_ref()).max(minimum) + 1;
            let write = RowWrite {
                table: TABLE.to_owned(),
                key: key.clone(),
                expected: row.map_or(RowExpectation::Absent, |row| {
                    RowExpectation::Version(row.version)
                }),
                value: Some(number.to_string()),
            };
            match self.table.transact(vec![write]).await {
                Ok(_) => return Ok(number),
                Err(error) if attempts == MAX_ATTEMPTS => return Err(error),
                // Another node wrote the row first, or the answer was lost: try
                // again. Skipped numbers do no harm.
                Err(PlatformError::Conflict { .. }) => {}
                Err(error) if error.effect_unknown() => {}
                Err(error) => return Err(error),
            }
        }
    }
}

fn stored_number(row: Option<&TableRow>) -> FencingNumber {
    row.and_then(|row| row.value.parse().ok()).unwrap_or(0)
}

fn shard_key(engine: &EngineId) -> String {
    let digest = Sha256::digest(engine.as_bytes());
    format!("{:02}", digest[0] % SHARDS)
}
