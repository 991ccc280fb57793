//! The table service: rows with versions and compare-and-set transactions.

use async_trait::async_trait;
use errors::PlatformError;
use serde::{Deserialize, Serialize};
use types::RowVersion;

/// How fresh a read must be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ReadMode {
    /// Sees every transaction acknowledged before the read began.
    Latest,
    /// May lag behind; cheaper.
    Lagging,
}

/// One row as read.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TableRow {
    /// Key within the table.
    pub key: String,
    /// Version; grows by one with each write of the row.
    pub version: RowVersion,
    /// JSON text.
    pub value: String,
}

/// What a row must be for a write to take effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RowExpectation {
    /// The row does not exist.
    Absent,
    /// The row exists at this version.
    Version(RowVersion),
    /// Any state.
    Any,
}

/// One write of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RowWrite {
    /// Table of the row.
    pub table: String,
    /// Key within the table.
    pub key: String,
    /// Condition of the whole transaction.
    pub expected: RowExpectation,
    /// New JSON text; `None` deletes the row.
    pub value: Option<String>,
}

/// The platform's transactional table service.
#[async_trait]
pub trait TableService: Send + Sync {
    /// Reads one row.
    ///
    /// # Errors
    /// `PlatformError`, never `Conflict`.
    async fn read(
        &self,
        table: &str,
        key: &str,
        mode: ReadMode,
    ) -> Result<Option<TableRow>, PlatformError>;

    /// Reads at most `limit` rows whose key starts with `prefix` and sorts
    /// after `after`, in key order.
    ///
    /// # Errors
    /// `PlatformError`, never `Conflict`.
    async fn scan(
        &self,
        table: &str,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
        mode: ReadMode,
    ) -> Result<Vec<TableRow>, PlatformError>;

    /// Applies all writes or none. Returns the new versions in the order of
    /// the writes; 0 for a deleted row.
    ///
    /// # Errors
    /// `PlatformError`; `effect_unknown` tells whether it may have applied.
    async fn transact(&self, writes: Vec<RowWrite>) -> Result<Vec<RowVersion>, PlatformError>;
}
