//! Publishing a note: one compare-and-set, whose lost answer is looked up.

use std::time::Duration;

use errors::PlatformError;
use kernel::ClockSource;
use notes::{
    AcceptedNote, ChainState, EntryName, NoteDocument, NoteError, NoteId, note_id,
    overlapping_entries, validate,
};
use types::NoteVersion;

use super::store::{NoteStore, StoredHead};

/// Times a write without a known effect is tried.
const WRITE_ATTEMPTS: u32 = 5;

/// Times a note is put on top of others that came before it.
const REBASE_ATTEMPTS: u32 = 16;

/// Pause between two tries; it doubles.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// How a note is to be published.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PublishOptions {
    /// Version the operator looked at; the newest when `None`.
    pub base: Option<NoteVersion>,
    /// Whether to put the note on top of others that touch other entries.
    pub rebase: bool,
}

/// What a note lost to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NoteConflict {
    /// Version the note was made for.
    pub base: NoteVersion,
    /// Notes accepted since.
    pub between: Vec<AcceptedNote>,
    /// Entries that both the note and those notes name.
    pub overlaps: Vec<EntryName>,
    /// What is wrong with the note on top of those notes.
    pub faults: Vec<NoteError>,
}

impl NoteConflict {
    /// Whether the note may be put on top unchanged.
    #[must_use]
    pub fn can_rebase(&self) -> bool {
        self.overlaps.is_empty() && self.faults.is_empty()
    }
}

/// What became of a note.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PublishOutcome {
    /// Accepted now.
    Accepted(Box<AcceptedNote>),
    /// The same note was accepted before; nothing changed.
    AlreadyPublished {
        /// Its id.
        id: NoteId,
        /// Its version.
        version: NoteVersion,
    },
    /// Refused whole.
    Refused(Vec<NoteError>),
    /// Another note was accepted first; nothing changed.
    Lost(NoteConflict),
    /// The store did not tell; publish the same note again to learn it.
    Unknown {
        /// The note's id.
        id: NoteId,
    },
}

enum WriteOutcome {
    Written,
    Taken(NoteVersion),
    Lost,
    Unknown,
}

impl NoteStore {
    /// Publishes `document`. `known` is any state this node has; it saves
    /// reading the notes up to there.
    ///
    /// # Errors
    /// `PlatformError` when the store can't be reached; nothing changed.
    pub async fn publish(
        &self,
        clock: &ClockSource,
        known: &ChainState,
        document: &NoteDocument,
        options: &PublishOptions,
    ) -> Result<PublishOutcome, PlatformError> {
        let id = note_id(document);
        let mut base = options.base;
        let mut chain = known.clone();
        for _ in 0..REBASE_ATTEMPTS {
            if let Some(version) = self.version_of(&id).await? {
                return Ok(PublishOutcome::AlreadyPublished { id, version });
            }
            let head = self.head().await?;
            chain = self.bring_up(chain, &head).await?;
            let first = base.is_none_or(|base| base == head.head.version);
            if !first {
                let base = base.unwrap_or_default();
                let conflict = self.conflict(base, &chain, document).await?;
                if !options.rebase || !conflict.can_rebase() {
                    return Ok(PublishOutcome::Lost(conflict));
                }
            }
            if let Err(faults) = validate(&chain.state, document) {
                return Ok(PublishOutcome::Refused(faults));
            }
            base = Some(head.head.version);
            let note = AcceptedNote::following(&head.head, document.clone());
            match self.write(clock, &head, &note).await? {
                WriteOutcome::Written => return Ok(PublishOutcome::Accepted(Box::new(note))),
                WriteOutcome::Taken(version) => {
                    return Ok(PublishOutcome::AlreadyPublished { id, version });
                }
                WriteOutcome::Unknown => return Ok(PublishOutcome::Unknown { id }),
                WriteOutcome::Lost => {}
            }
        }
        let conflict = self
            .conflict(base.unwrap_or_default(), &chain, document)
            .await?;
        Ok(PublishOutcome::Lost(conflict))
    }

    /// Writes until the effect is known. The same rows are written each time,
    /// and only on top of the same head, so that at most one write applies.
    async fn write(
        &self,
        clock: &ClockSource,
        head: &StoredHead,
        note: &AcceptedNote,
    ) -> Result<WriteOutcome, PlatformError> {
        let mut doubtful = false;
        let mut pause = FIRST_PAUSE;
        let mut last = None;
        for _ in 0..WRITE_ATTEMPTS {
            let outcome = match self.accept(head, note).await {
                Ok(()) => return Ok(WriteOutcome::Written),
                // The head never returns to a version, so none of the earlier
                // writes can apply any more: what is there now is the truth.
                Err(PlatformError::Conflict { .. }) => self.look_up(note).await,
                Err(fault) => Err(fault),
            };
            match outcome {
                Ok(outcome) => return Ok(outcome),
                Err(fault) => {
                    doubtful |= fault.effect_unknown();
                    last = Some(fault);
                }
            }
            clock.sleep(pause).await;
            pause *= 2;
        }
        match last {
            Some(fault) if !doubtful => Err(fault),
            _ => Ok(WriteOutcome::Unknown),
        }
    }

    async fn look_up(&self, note: &AcceptedNote) -> Result<WriteOutcome, PlatformError> {
        Ok(match self.version_of(&note.id).await? {
            Some(version) if version == note.version => WriteOutcome::Written,
            Some(version) => WriteOutcome::Taken(version),
            None => WriteOutcome::Lost,
        })
    }

    async fn bring_up(
        &self,
        chain: ChainState,
        head: &StoredHead,
    ) -> Result<ChainState, PlatformError> {
        if chain.head() == head.head {
            return Ok(chain);
        }
        self.state_at(head.head.version).await
    }

    async fn conflict(
        &self,
        base: NoteVersion,
        chain: &ChainState,
        document: &NoteDocument,
    ) -> Result<NoteConflict, PlatformError> {
        let newest = chain.state.version;
        let count = usize::try_from(newest.saturating_sub(base)).unwrap_or(usize::MAX);
        let between = self.notes_after(base, count).await?;
        let documents: Vec<_> = between.iter().map(|note| note.document.clone()).collect();
        Ok(NoteConflict {
            base,
            overlaps: overlapping_entries(document, &documents),
            faults: validate(&chain.state, document).err().unwrap_or_default(),
            between,
        })
    }
}
