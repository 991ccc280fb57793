//! Versioned rows with the last 64 states of each row, for lagging reads.

use std::{collections::BTreeMap, time::Instant};

use types::RowVersion;

use crate::{RowExpectation, RowWrite, TableRow};

/// States kept for each row; a lagging read of an older one finds no row.
const MAX_HISTORY_ENTRIES: usize = 64;

type RowKey = (String, String);

#[derive(Debug)]
struct RowState {
    since: Instant,
    row: Option<TableRow>,
}

/// First row of a transaction whose precondition failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct RowConflict {
    pub(crate) key: String,
    pub(crate) found: Option<RowVersion>,
}

/// Rows of all tables, indexed by table and key.
#[derive(Debug, Default)]
pub(crate) struct RowStore {
    rows: BTreeMap<RowKey, Vec<RowState>>,
}

impl RowStore {
    /// Reads a row as it was at time `at`.
    pub(crate) fn read(&self, table: &str, key: &str, at: Instant) -> Option<TableRow> {
        let states = self.rows.get(&(table.to_owned(), key.to_owned()))?;
        row_at(states, at)
    }

    /// Reads rows in key order as they were at time `at`.
    pub(crate) fn scan(
        &self,
        table: &str,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
        at: Instant,
    ) -> Vec<TableRow> {
        let start = (table.to_owned(), after.unwrap_or(prefix).to_owned());
        self.rows
            .range(start..)
            .take_while(|((row_table, _), _)| row_table == table)
            .filter(|((_, key), _)| key.starts_with(prefix))
            .filter(|((_, key), _)| after.is_none_or(|after| key.as_str() > after))
            .filter_map(|(_, states)| row_at(states, at))
            .take(limit)
            .collect()
    }

    /// Applies all writes, or none when a precondition fails.
    pub(crate) fn apply(
        &mut self,
        writes: &[RowWrite],
        now: Instant,
    ) -> Result<Vec<RowVersion>, RowConflict> {
        for write in writes {
            self.check_precondition(write)?;
        }
        let versions = writes.iter().map(|write| self.put(write, now)).collect();
        Ok(versions)
    }

    fn check_precondition(&self, write: &RowWrite) -> Result<(), RowConflict> {
        let found = self.current_version(write);
        let is_satisfied = match write.expected {
            RowExpectation::Absent => found.is_none(),
            RowExpectation::Version(version) => found == Some(version),
            RowExpectation::Any => true,
        };
        if is_satisfied {
            return Ok(());
        }
        Err(RowConflict {
            key: write.key.clone(),
            found,
        })
    }

    fn current_version(&self, write: &RowWrite) -> Option<RowVersion> {
        let states = self.rows.get(&(write.table.clone(), write.key.clone()))?;
        let row = states.last()?.row.as_ref()?;
        Some(row.version)
    }

    fn put(&mut self, write: &RowWrite, now: Instant) -> RowVersion {
        let version = self.current_version(write).unwrap_or(0) + 1;
        let row = write.value.as_ref().map(|value| TableRow {
            key: write.key.clone(),
            version,
            value: value.clone(),
        });
        let exists = row.is_some();
        let states = self
            .rows
            .entry((write.table.clone(), write.key.clone()))
            .or_default();
        states.push(RowState { since: now, row });
        if states.len() > MAX_HISTORY_ENTRIES {
            states.remove(0);
        }
        if exists { version } else { 0 }
    }
}

fn row_at(states: &[RowState], at: Instant) -> Option<TableRow> {
    states
        .iter()
        .rev()
        .find(|state| state.since <= at)
        .and_then(|state| state.row.clone())
}
