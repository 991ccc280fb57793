//! In-memory table service.

use std::{
    mem::take,
    sync::{Mutex, PoisonError},
    time::Instant,
};

use async_trait::async_trait;
use errors::PlatformError;
use kernel::ClockSource;
use types::RowVersion;

use crate::{
    ReadMode, RowWrite, TableRow, TableService,
    fakes::{
        FaultInjector,
        faults::CallKind,
        store::{RowConflict, RowStore},
    },
};

#[derive(Debug, Default)]
struct TableState {
    store: RowStore,
    held_transactions: Vec<Vec<RowWrite>>,
}

/// In-memory table service with fault injection.
#[derive(Debug)]
pub struct MemoryTable {
    injector: FaultInjector,
    state: Mutex<TableState>,
}

impl MemoryTable {
    /// Creates a table service without rows.
    #[must_use]
    pub fn new(clock: ClockSource) -> Self {
        Self {
            injector: FaultInjector::new("memory-table", clock),
            state: Mutex::default(),
        }
    }

    /// Injector that sets the faults and limits of the calls.
    #[must_use]
    pub fn fault_injector(&self) -> &FaultInjector {
        &self.injector
    }

    /// Applies the held transactions in their order, each under its own
    /// preconditions. Returns how many succeeded.
    pub fn release_held(&self) -> usize {
        let now = self.injector.clock().now();
        self.with_state(|state| {
            let transactions = take(&mut state.held_transactions);
            transactions
                .iter()
                .filter(|writes| state.store.apply(writes, now).is_ok())
                .count()
        })
    }

    fn apply_or_hold(
        &self,
        writes: Vec<RowWrite>,
        held: bool,
    ) -> Result<Vec<RowVersion>, PlatformError> {
        let now = self.injector.clock().now();
        self.with_state(|state| {
            if held {
                state.held_transactions.push(writes);
                return Ok(Vec::new());
            }
            let outcome = state.store.apply(&writes, now);
            outcome.map_err(|conflict| self.conflict_error(conflict))
        })
    }

    fn conflict_error(&self, conflict: RowConflict) -> PlatformError {
        PlatformError::Conflict {
            step: "transact".to_owned(),
            peer: self.injector.name().to_owned(),
            key: conflict.key,
            found: conflict.found,
        }
    }

    fn with_state<T>(&self, change: impl FnOnce(&mut TableState) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut state)
    }

    fn read_time(&self, mode: ReadMode) -> Instant {
        match mode {
            ReadMode::Latest => self.injector.clock().now(),
            ReadMode::Lagging => self.injector.lagging_read_time(),
        }
    }
}

#[async_trait]
impl TableService for MemoryTable {
    async fn read(
        &self,
        table: &str,
        key: &str,
        mode: ReadMode,
    ) -> Result<Option<TableRow>, PlatformError> {
        let effect = |_| {
            let at = self.read_time(mode);
            Ok(self.with_state(|state| state.store.read(table, key, at)))
        };
        self.injector.run("read", CallKind::Read, effect).await
    }

    async fn scan(
        &self,
        table: &str,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
        mode: ReadMode,
    ) -> Result<Vec<TableRow>, PlatformError> {
        let effect = |_| {
            let at = self.read_time(mode);
            Ok(self.with_state(|state| state.store.scan(table, prefix, after, limit, at)))
        };
        self.injector.run("scan", CallKind::Read, effect).await
    }

    async fn transact(&self, writes: Vec<RowWrite>) -> Result<Vec<RowVersion>, PlatformError> {
        let effect = |held| self.apply_or_hold(writes, held);
        self.injector.run("transact", CallKind::Write, effect).await
    }
}
