//! In-memory table service and object store with injected faults.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

use async_trait::async_trait;
use errors::PlatformError;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use stores::{ObjectStore, ReadMode, RowExpectation, RowWrite, TableRow, TableService};
use types::RowVersion;

struct FakeState {
    rows: BTreeMap<(String, String), TableRow>,
    objects: BTreeMap<String, Vec<u8>>,
    delayed: Vec<Vec<RowWrite>>,
    rng: StdRng,
    fault_rate: f64,
    down: bool,
    lose_next: bool,
}

/// Fakes the table service and object store. At the fault rate, reads of a row
/// lose their answers, and writes fail without an effect or lose their answers
/// after they applied or before they apply later.
pub struct FakePlatform {
    state: Mutex<FakeState>,
}

impl FakePlatform {
    pub fn new(seed: u64, fault_rate: f64) -> Arc<Self> {
        let state = FakeState {
            rows: BTreeMap::new(),
            objects: BTreeMap::new(),
            delayed: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            fault_rate,
            down: false,
            lose_next: false,
        };
        Arc::new(Self {
            state: Mutex::new(state),
        })
    }

    pub fn set_fault_rate(&self, rate: f64) {
        self.state.lock().unwrap().fault_rate = rate;
    }

    /// The next write takes effect and its answer is lost.
    pub fn lose_next_answer(&self) {
        self.state.lock().unwrap().lose_next = true;
    }

    pub fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
    }

    /// Sets the fault rate to 0 and applies delayed writes whose conditions hold.
    /// `set_down` and `lose_next_answer` stay in force.
    pub fn heal(&self) {
        let mut state = self.state.lock().unwrap();
        state.fault_rate = 0.0;
        for writes in std::mem::take(&mut state.delayed) {
            apply(&mut state, &writes).ok();
        }
    }

    async fn enter(&self) -> Result<MutexGuard<'_, FakeState>, PlatformError> {
        let pauses = self.state.lock().unwrap().rng.random_range(0..8);
        for _ in 0..pauses {
            smol::future::yield_now().await;
        }
        let mut state = self.state.lock().unwrap();
        if state.down {
            return Err(unreachable());
        }
        if !state.delayed.is_empty() && state.rng.random_bool(0.2) {
            let writes = state.delayed.remove(0);
            apply(&mut state, &writes).ok();
        }
        Ok(state)
    }
}

fn unreachable() -> PlatformError {
    PlatformError::Unreachable {
        step: "call".to_owned(),
        peer: "fake".to_owned(),
        cause: "down".to_owned(),
    }
}

fn unanswered() -> PlatformError {
    PlatformError::Unanswered {
        step: "call".to_owned(),
        peer: "fake".to_owned(),
        cause: "lost".to_owned(),
    }
}

fn apply(state: &mut FakeState, writes: &[RowWrite]) -> Result<Vec<RowVersion>, PlatformError> {
    for write in writes {
        let key = (write.table.clone(), write.key.clone());
        let found = state.rows.get(&key).map(|row| row.version);
        let holds = match write.expected {
            RowExpectation::Absent => found.is_none(),
            RowExpectation::Version(version) => found == Some(version),
            RowExpectation::Any => true,
        };
        if !holds {
            return Err(PlatformError::Conflict {
                step: "transact".to_owned(),
                peer: "fake".to_owned(),
                key: write.key.clone(),
                found,
            });
        }
    }
    let mut versions = Vec::new();
    for write in writes {
        let key = (write.table.clone(), write.key.clone());
        let value = write.value.clone().expect("notes are never deleted");
        assert!(value.len() < 256 * 1024, "{} is too long", write.key);
        let version = state.rows.get(&key).map_or(1, |row| row.version + 1);
        let row = TableRow {
            key: write.key.clone(),
            version,
            value,
        };
        state.rows.insert(key, row);
        versions.push(version);
    }
    Ok(versions)
}

#[async_trait]
impl TableService for FakePlatform {
    async fn read(
        &self,
        table: &str,
        key: &str,
        _mode: ReadMode,
    ) -> Result<Option<TableRow>, PlatformError> {
        let mut state = self.enter().await?;
        let rate = state.fault_rate;
        if state.rng.random_bool(rate) {
            return Err(unanswered());
        }
        let key = (table.to_owned(), key.to_owned());
        Ok(state.rows.get(&key).cloned())
    }

    async fn scan(
        &self,
        table: &str,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
        _mode: ReadMode,
    ) -> Result<Vec<TableRow>, PlatformError> {
        let state = self.enter().await?;
        let rows = state.rows.iter().filter(|((name, key), _)| {
            name == table
                && key.starts_with(prefix)
                && after.is_none_or(|after| key.as_str() > after)
        });
        Ok(rows.map(|(_, row)| row.clone()).take(limit).collect())
    }

    async fn transact(&self, writes: Vec<RowWrite>) -> Result<Vec<RowVersion>, PlatformError> {
        let mut state = self.enter().await?;
        if std::mem::take(&mut state.lose_next) {
            apply(&mut state, &writes)?;
            return Err(unanswered());
        }
        let rate = state.fault_rate;
        if state.rng.random_bool(rate) {
            return Err(unreachable());
        }
        if state.rng.random_bool(rate) {
            apply(&mut state, &writes).ok();
            return Err(unanswered());
        }
        if state.rng.random_bool(rate) {
            state.delayed.push(writes);
            return Err(unanswered());
        }
        apply(&mut state, &writes)
    }
}

#[async_trait]
impl ObjectStore for FakePlatform {
    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        Ok(self.enter().await?.objects.get(key).cloned())
    }

    async fn put(&self, key: &str, body: Vec<u8>) -> Result<(), PlatformError> {
        self.enter().await?.objects.insert(key.to_owned(), body);
        Ok(())
    }
}
