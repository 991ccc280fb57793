//! Release notes in the table service, with snapshots in the object store.

use std::sync::Arc;

use errors::PlatformError;
use notes::{AcceptedNote, ChainHead, ChainState, NoteId, NotesReply};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use stores::{ObjectStore, ReadMode, RowExpectation, RowWrite, TableService};
use types::{NoteVersion, RowVersion};

/// Versions between two snapshots of the whole state.
pub const SNAPSHOT_INTERVAL: NoteVersion = 256;

/// Most notes that one scan reads.
const SCAN_LIMIT: usize = 128;

/// Snapshot rows that are looked up, newest first, before the whole chain is
/// replayed.
const SNAPSHOT_TRIES: NoteVersion = 4;

const TABLE: &str = "notes";
const HEAD_KEY: &str = "head";
const NOTE_PREFIX: &str = "note/";

/// Row that locates a snapshot and identifies its content.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
struct SnapshotRow {
    version: NoteVersion,
    note: NoteId,
    object: String,
}

/// Row that maps a note's id to the version under which it was accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
struct IdRow {
    version: NoteVersion,
}

/// The head of the chain and the version of its row.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoredHead {
    /// The newest accepted note.
    pub head: ChainHead,
    /// Version of the row; `None` before the first note.
    pub row: Option<RowVersion>,
}

/// Reads and writes the chain of notes and its snapshots.
pub struct NoteStore {
    table: Arc<dyn TableService>,
    objects: Arc<dyn ObjectStore>,
}

impl NoteStore {
    /// Creates a store on the platform's table service and object store.
    #[must_use]
    pub fn new(table: Arc<dyn TableService>, objects: Arc<dyn ObjectStore>) -> Self {
        Self { table, objects }
    }

    /// The newest accepted note.
    ///
    /// # Errors
    /// `PlatformError` when the store can't be read.
    pub async fn head(&self) -> Result<StoredHead, PlatformError> {
        let row = self.table.read(TABLE, HEAD_KEY, ReadMode::Latest).await?;
        let Some(row) = row else {
            return Ok(StoredHead::default());
        };
        Ok(StoredHead {
            head: parse("read the head", &row.value)?,
            row: Some(row.version),
        })
    }

    /// Version under which the note `id` was accepted, if it was.
    ///
    /// # Errors
    /// `PlatformError` when the store can't be read.
    pub async fn version_of(&self, id: &NoteId) -> Result<Option<NoteVersion>, PlatformError> {
        let key = id_key(id);
        let row = self.table.read(TABLE, &key, ReadMode::Latest).await?;
        let Some(row) = row else {
            return Ok(None);
        };
        let row: IdRow = parse("read a note's id", &row.value)?;
        Ok(Some(row.version))
    }

    /// Accepts `note` on top of `head`, in one transaction.
    ///
    /// # Errors
    /// `PlatformError`; `Conflict` when the head moved or the id is taken.
    pub async fn accept(
        &self,
        head: &StoredHead,
        note: &AcceptedNote,
    ) -> Result<(), PlatformError> {
        let next = ChainHead {
            version: note.version,
            id: note.id.clone(),
        };
        let row = IdRow {
            version: note.version,
        };
        let expected = head
            .row
            .map_or(RowExpectation::Absent, RowExpectation::Version);
        let writes = vec![
            write(HEAD_KEY.to_owned(), expected, &next)?,
            write(note_key(note.version), RowExpectation::Absent, note)?,
            write(id_key(&note.id), RowExpectation::Absent, &row)?,
        ];
        self.table.transact(writes).await.map(|_| ())
    }

    /// At most `limit` accepted notes after version `after`, in order.
    ///
    /// # Errors
    /// `PlatformError` when the store can't be read.
    pub async fn notes_after(
        &self,
        after: NoteVersion,
        limit: usize,
    ) -> Result<Vec<AcceptedNote>, PlatformError> {
        let after = note_key(after);
        let rows = self
            .table
            .scan(TABLE, NOTE_PREFIX, Some(&after), limit, ReadMode::Latest)
            .await?;
        rows.iter()
            .map(|row| parse("read a note", &row.value))
            .collect()
    }

    /// Snapshot and notes that bring a node from version `after` to the head.
    ///
    /// # Errors
    /// `PlatformError` when the store can't be read.
    pub async fn fetch(&self, after: NoteVersion) -> Result<NotesReply, PlatformError> {
        let head = self.head().await?.head;
        let mut reply = NotesReply {
            serves: true,
            in_force: head.version,
            ..NotesReply::default()
        };
        if head.version > after + SNAPSHOT_INTERVAL {
            reply.snapshot = self.latest_snapshot(head.version, after).await?;
        }
        let snapshot = reply.snapshot.as_ref();
        let begin = snapshot.map_or(after, |snapshot| snapshot.state.version);
        reply.notes = self.notes_between(begin, head.version).await?;
        Ok(reply)
    }

    /// The state of the chain at `version`.
    ///
    /// # Errors
    /// `PlatformError`; `Malformed` when a note does not follow its predecessor.
    pub async fn state_at(&self, version: NoteVersion) -> Result<ChainState, PlatformError> {
        let snapshot = self.latest_snapshot(version, 0).await?;
        let mut chain = snapshot.unwrap_or_default();
        let notes = self.notes_between(chain.state.version, version).await?;
        for note in &notes {
            let applied = chain.apply(note);
            applied.map_err(|fault| malformed("replay the notes", &fault.to_string()))?;
        }
        Ok(chain)
    }

    /// Writes the newest snapshot that is due, unless it exists.
    ///
    /// # Errors
    /// `PlatformError`; without the snapshot, nodes replay more notes.
    pub async fn write_snapshot(&self, head: NoteVersion) -> Result<(), PlatformError> {
        let version = head / SNAPSHOT_INTERVAL * SNAPSHOT_INTERVAL;
        if version == 0 || self.snapshot_row(version).await?.is_some() {
            return Ok(());
        }
        let chain = self.state_at(version).await?;
        let row = SnapshotRow {
            version,
            note: chain.id.clone(),
            object: format!("notes/snapshot-{version}-{}", chain.id),
        };
        let body = serde_json::to_vec(&chain);
        let body = body.map_err(|fault| malformed("write a snapshot", &fault.to_string()))?;
        self.objects.put(&row.object, body).await?;
        let write = write(snapshot_key(version), RowExpectation::Absent, &row)?;
        match self.table.transact(vec![write]).await {
            // On a conflict, another node has written the same snapshot.
            Ok(_) | Err(PlatformError::Conflict { .. }) => Ok(()),
            Err(fault) => Err(fault),
        }
    }

    /// The notes after version `after` up to version `last`, in order.
    async fn notes_between(
        &self,
        after: NoteVersion,
        last: NoteVersion,
    ) -> Result<Vec<AcceptedNote>, PlatformError> {
        let mut notes: Vec<AcceptedNote> = Vec::new();
        loop {
            let at = notes.last().map_or(after, |note| note.version);
            if at >= last {
                return Ok(notes);
            }
            let page = self.notes_after(at, SCAN_LIMIT).await?;
            if page.is_empty() {
                return Ok(notes);
            }
            notes.extend(page.into_iter().filter(|note| note.version <= last));
        }
    }

    /// The newest snapshot whose version is at most `version` and above
    /// `after`, among the last `SNAPSHOT_TRIES` intervals up to it.
    async fn latest_snapshot(
        &self,
        version: NoteVersion,
        after: NoteVersion,
    ) -> Result<Option<ChainState>, PlatformError> {
        let newest = version / SNAPSHOT_INTERVAL;
        for count in (1..=newest)
            .rev()
            .take(usize::try_from(SNAPSHOT_TRIES).unwrap_or(1))
        {
            let version = count * SNAPSHOT_INTERVAL;
            if version <= after {
                return Ok(None);
            }
            if let Some(row) = self.snapshot_row(version).await? {
                return self.read_snapshot(&row).await;
            }
        }
        Ok(None)
    }

    async fn snapshot_row(
        &self,
        version: NoteVersion,
    ) -> Result<Option<SnapshotRow>, PlatformError> {
        let key = snapshot_key(version);
        let row = self.table.read(TABLE, &key, ReadMode::Latest).await?;
        row.map(|row| parse("read a snapshot's row", &row.value))
            .transpose()
    }

    /// Reads the snapshot of `row`; `None` when it is lost or does not match its
    /// row. No older snapshot is tried then.
    async fn read_snapshot(&self, row: &SnapshotRow) -> Result<Option<ChainState>, PlatformError> {
        let body = self.objects.get(&row.object).await?;
        let chain = body.and_then(|body| serde_json::from_slice::<ChainState>(&body).ok());
        Ok(chain.filter(|chain| chain.state.version == row.version && chain.id == row.note))
    }
}

fn note_key(version: NoteVersion) -> String {
    format!("{NOTE_PREFIX}{version:020}")
}

fn id_key(id: &NoteId) -> String {
    format!("id/{id}")
}

fn snapshot_key(version: NoteVersion) -> String {
    format!("snapshot/{version:020}")
}

fn write<T: Serialize>(
    key: String,
    expected: RowExpectation,
    value: &T,
) -> Result<RowWrite, PlatformError> {
    let text = serde_json::to_string(value);
    let text = text.map_err(|fault| malformed("encode a row", &fault.to_string()))?;
    Ok(RowWrite {
        table: TABLE.to_owned(),
        key,
        expected,
        value: Some(text),
    })
}

fn parse<T: DeserializeOwned>(step: &str, text: &str) -> Result<T, PlatformError> {
    serde_json::from_str(text).map_err(|fault| malformed(step, &fault.to_string()))
}

fn malformed(step: &str, cause: &str) -> PlatformError {
    PlatformError::Malformed {
        step: step.to_owned(),
        peer: format!("table {TABLE}"),
        cause: cause.to_owned(),
    }
}
