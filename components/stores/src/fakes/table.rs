//! A table service in memory.

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
    held: Vec<Vec<RowWrite>>,
}

/// A table service in memory, with switchable faults.
#[derive(Debug)]
pub struct MemoryTable {
    switch: FaultInjector,
    state: Mutex<TableState>,
}

impl MemoryTable {
    /// An empty table service.
    #[must_use]
    pub fn new(clock: ClockSource) -> Self {
        Self {
            switch: FaultInjector::new("memory-table", clock),
            state: Mutex::default(),
        }
    }

    /// The faults.
    #[must_use]
    pub fn fault_injector(&self) -> &FaultInjector {
        &self.switch
    }

    /// Lets the held writes take effect, in their order, each under its own
    /// expectations. Returns how many did.
    pub fn release_held(&self) -> usize {
        let now = self.switch.clock().now();
        self.locked(|state| {
            let held = take(&mut state.held);
            held.iter()
                .filter(|writes| state.store.apply(writes, now).is_ok())
                .count()
        })
    }

    fn apply(&self, writes: Vec<RowWrite>, held: bool) -> Result<Vec<RowVersion>, PlatformError> {
        let now = self.switch.clock().now();
        self.locked(|state| {
            if held {
                state.held.push(writes);
                return Ok(Vec::new());
            }
            let outcome = state.store.apply(&writes, now);
            outcome.map_err(|conflict| self.conflict(conflict))
        })
    }

    fn conflict(&self, conflict: RowConflict) -> PlatformError {
        PlatformError::Conflict {
            step: "transact".to_owned(),
            peer: self.switch.name().to_owned(),
            key: conflict.key,
            found: conflict.found,
        }
    }

    fn locked<T>(&self, change: impl FnOnce(&mut TableState) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut state)
    }

    fn read_time(&self, mode: ReadMode) -> Instant {
        match mode {
            ReadMode::Latest => self.switch.clock().now(),
            ReadMode::Lagging => self.switch.horizon(),
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
            Ok(self.locked(|state| state.store.read(table, key, at)))
        };
        self.switch.run("read", CallKind::Read, effect).await
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
            Ok(self.locked(|state| state.store.scan(table, prefix, after, limit, at)))
        };
        self.switch.run("scan", CallKind::Read, effect).await
    }

    async fn transact(&self, writes: Vec<RowWrite>) -> Result<Vec<RowVersion>, PlatformError> {
        let effect = |held| self.apply(writes, held);
        self.switch.run("transact", CallKind::Write, effect).await
    }
}
