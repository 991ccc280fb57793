//! Interface to the table service: versioned rows and compare-and-set transactions.

use async_trait::async_trait;
use errors::PlatformError;
use serde::{Deserialize, Serialize};
use types::RowVersion;

/// Consistency of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ReadMode {
    /// Sees every transaction that was acknowledged before the read started.
    Latest,
    /// May return older data; costs less.
    Lagging,
}

/// Row returned by a read.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TableRow {
    /// Key within the table.
    pub key: String,
    /// Version, incremented by each write of the row.
    pub version: RowVersion,
    /// Content as JSON text.
    pub value: String,
}

/// Precondition on the state of a row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RowExpectation {
    /// The row does not exist.
    Absent,
    /// The row exists at this version.
    Version(RowVersion),
    /// The row may have any state.
    Any,
}

/// Write of one row in a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RowWrite {
    /// Table of the row.
    pub table: String,
    /// Key within the table.
    pub key: String,
    /// Precondition; if it fails, the whole transaction is rejected.
    pub expected: RowExpectation,
    /// New JSON text; `None` deletes the row.
    pub value: Option<String>,
}

/// Operations of the platform's transactional table service.
#[async_trait]
pub trait TableService: Send + Sync {
    /// Reads one row; `None` when it does not exist.
    ///
    /// # Errors
    /// `PlatformError`, but never `Conflict`.
    async fn read(
        &self,
        table: &str,
        key: &str,
        mode: ReadMode,
    ) -> Result<Option<TableRow>, PlatformError>;

    /// Reads up to `limit` rows in key order, from those whose key starts with
    /// `prefix` and sorts after `after`.
    ///
    /// # Errors
    /// `PlatformError`, but never `Conflict`.
    async fn scan(
        &self,
        table: &str,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
        mode: ReadMode,
    ) -> Result<Vec<TableRow>, PlatformError>;

    /// Applies all writes atomically. Returns the new versions in the order of the
    /// writes, with 0 for a deleted row.
    ///
    /// # Errors
    /// `Conflict` when a precondition fails. For any `PlatformError`,
    /// `effect_unknown` tells whether the writes may have applied.
    async fn transact(&self, writes: Vec<RowWrite>) -> Result<Vec<RowVersion>, PlatformError>;
}
