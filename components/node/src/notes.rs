//! The release-note service of a node.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use errors::PlatformError;
use kernel::{CancellationToken, ClockSource};
use notes::{FleetState, NoteDocument};
use platform::{ReadMode, RowExpectation, RowWrite, TableService};
use types::NoteVersion;

const TABLE: &str = "notes";
const KEY: &str = "state";
const POLL_PAUSE: Duration = Duration::from_millis(500);

/// Keeps the state in force and publishes notes.
pub struct NoteService {
    table: Arc<dyn TableService>,
    clock: ClockSource,
    current: Mutex<Arc<FleetState>>,
}

impl NoteService {
    /// A service that knows no note yet.
    #[must_use]
    pub fn new(table: Arc<dyn TableService>, clock: ClockSource) -> Arc<Self> {
        Arc::new(Self {
            table,
            clock,
            current: Mutex::default(),
        })
    }

    /// The state in force.
    #[must_use]
    pub fn current(&self) -> Arc<FleetState> {
        Arc::clone(&self.current.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// The state for a node that has only version `after`.
    #[must_use]
    pub fn answer_peer(&self, _after: NoteVersion) -> FleetState {
        (*self.current()).clone()
    }

    /// Publishes a note as the next version.
    ///
    /// # Errors
    /// `PlatformError`.
    pub async fn publish(&self, note: &NoteDocument) -> Result<NoteVersion, PlatformError> {
        let row = self.table.read(TABLE, KEY, ReadMode::Latest).await?;
        let (state, expected) = match row {
            Some(row) => (
                serde_json::from_str(&row.value).unwrap_or_default(),
                RowExpectation::Version(row.version),
            ),
            None => (FleetState::default(), RowExpectation::Absent),
        };
        let next = state.after(note);
        let write = RowWrite {
            table: TABLE.to_owned(),
            key: KEY.to_owned(),
            expected,
            value: serde_json::to_string(&next).ok(),
        };
        self.table.transact(vec![write]).await?;
        let version = next.version;
        self.adopt(next);
        Ok(version)
    }

    /// Reads the store again and again until `token` is cancelled.
    pub async fn run(self: Arc<Self>, token: CancellationToken) {
        while !token.is_cancelled() {
            if let Ok(Some(row)) = self.table.read(TABLE, KEY, ReadMode::Lagging).await
                && let Ok(state) = serde_json::from_str(&row.value)
            {
                self.adopt(state);
            }
            smol::future::or(self.clock.sleep(POLL_PAUSE), token.cancelled()).await;
        }
    }

    fn adopt(&self, state: FleetState) {
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        if state.version > current.version {
            *current = Arc::new(state);
        }
    }
}
