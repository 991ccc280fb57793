//! Rows with versions and enough history for reads that lag.

use std::{collections::BTreeMap, time::Instant};

use types::RowVersion;

use crate::{RowExpectation, RowWrite, TableRow};

const HISTORY_ENTRIES: usize = 64;

type RowKey = (String, String);

#[derive(Debug)]
struct RowState {
    since: Instant,
    row: Option<TableRow>,
}

/// The first row that was not as a transaction expected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct RowConflict {
    pub(crate) key: String,
    pub(crate) found: Option<RowVersion>,
}

/// All tables of the fake, keyed by table and key.
#[derive(Debug, Default)]
pub(crate) struct RowStore {
    rows: BTreeMap<RowKey, Vec<RowState>>,
}

impl RowStore {
    /// The row as it was at `at`.
    pub(crate) fn read(&self, table: &str, key: &str, at: Instant) -> Option<TableRow> {
        let states = self.rows.get(&(table.to_owned(), key.to_owned()))?;
        row_at(states, at)
    }

    /// Rows as they were at `at`, in key order.
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

    /// Applies all writes or none.
    pub(crate) fn apply(
        &mut self,
        writes: &[RowWrite],
        now: Instant,
    ) -> Result<Vec<RowVersion>, RowConflict> {
        for write in writes {
            self.check(write)?;
        }
        let versions = writes.iter().map(|write| self.put(write, now)).collect();
        Ok(versions)
    }

    fn check(&self, write: &RowWrite) -> Result<(), RowConflict> {
        let found = self.version(write);
        let as_expected = match write.expected {
            RowExpectation::Absent => found.is_none(),
            RowExpectation::Version(version) => found == Some(version),
            RowExpectation::Any => true,
        };
        if as_expected {
            return Ok(());
        }
        Err(RowConflict {
            key: write.key.clone(),
            found,
        })
    }

    fn version(&self, write: &RowWrite) -> Option<RowVersion> {
        let states = self.rows.get(&(write.table.clone(), write.key.clone()))?;
        let row = states.last()?.row.as_ref()?;
        Some(row.version)
    }

    fn put(&mut self, write: &RowWrite, now: Instant) -> RowVersion {
        let version = self.version(write).unwrap_or(0) + 1;
        let row = write.value.as_ref().map(|value| TableRow {
            key: write.key.clone(),
            version,
            value: value.clone(),
        });
        let kept = row.is_some();
        let states = self
            .rows
            .entry((write.table.clone(), write.key.clone()))
            .or_default();
        states.push(RowState { since: now, row });
        if states.len() > HISTORY_ENTRIES {
            states.remove(0);
        }
        if kept { version } else { 0 }
    }
}

fn row_at(states: &[RowState], at: Instant) -> Option<TableRow> {
    states
        .iter()
        .rev()
        .find(|state| state.since <= at)
        .and_then(|state| state.row.clone())
}
