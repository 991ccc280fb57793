//! Publishes a note with one compare-and-set; when its answer is lost, the
//! effect is looked up.

use std::time::Duration;

use errors::PlatformError;
use kernel::ClockSource;
use notes::{
    AcceptedNote, ChainState, EntryName, NoteDocument, NoteError, NoteId, note_id,
    overlapping_entries, validate,
};
use types::NoteVersion;

use super::store::{NoteStore, StoredHead};

/// Maximum number of attempts of one write.
const WRITE_ATTEMPTS: u32 = 5;

/// Attempts to rebase a note on notes that were accepted first.
const REBASE_ATTEMPTS: u32 = 16;

/// Backoff after the first failed write; it doubles with each attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Options of publishing a note, set by the operator.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PublishOptions {
    /// Version that the note was written against; the newest when `None`.
    pub base: Option<NoteVersion>,
    /// Whether to rebase the note on newer notes that touch other entries.
    pub rebase: bool,
}

/// Conflict of a note with notes that were accepted first.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NoteConflict {
    /// Version that the note was written against.
    pub base: NoteVersion,
    /// Notes accepted after `base`.
    pub between: Vec<AcceptedNote>,
    /// Entries that the note and a note of `between` both name.
    pub overlaps: Vec<EntryName>,
    /// Validation errors of the note when applied after `between`.
    pub faults: Vec<NoteError>,
}

impl NoteConflict {
    /// Whether the note can be rebased unchanged.
    #[must_use]
    pub fn can_rebase(&self) -> bool {
        self.overlaps.is_empty() && self.faults.is_empty()
    }
}

/// Outcome of publishing a note.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PublishOutcome {
    /// Accepted by this call.
    Accepted(Box<AcceptedNote>),
    /// The same note was accepted before; nothing changed.
    AlreadyPublished {
        /// Id of the note, a digest of its content.
        id: NoteId,
        /// Version under which it was accepted.
        version: NoteVersion,
    },
    /// Refused as invalid; nothing changed.
    Refused(Vec<NoteError>),
    /// Another note was accepted first; nothing changed.
    Conflicted(NoteConflict),
    /// The store's answer was lost; publish the same note again to learn
    /// whether it was accepted.
    Unknown {
        /// Id of the note, a digest of its content.
        id: NoteId,
    },
}

enum WriteOutcome {
    Written,
    AlreadyPublished(NoteVersion),
    Conflicted,
    Unknown,
}

impl NoteStore {
    /// Publishes `document`. `known` is any state this node holds; it saves
    /// reading the chain when it is already at the head.
    ///
    /// # Errors
    /// `PlatformError` when the store can't be read or written; this call wrote
    /// nothing.
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
            chain = self.update_chain(chain, &head).await?;
            let first = base.is_none_or(|base| base == head.head.version);
            if !first {
                let base = base.unwrap_or_default();
                let conflict = self.conflict(base, &chain, document).await?;
                if !options.rebase || !conflict.can_rebase() {
                    return Ok(PublishOutcome::Conflicted(conflict));
                }
            }
            if let Err(faults) = validate(&chain.state, document) {
                return Ok(PublishOutcome::Refused(faults));
            }
            base = Some(head.head.version);
            let note = AcceptedNote::following(&head.head, document.clone());
            match self.write(clock, &head, &note).await? {
                WriteOutcome::Written => return Ok(PublishOutcome::Accepted(Box::new(note))),
                WriteOutcome::AlreadyPublished(version) => {
                    return Ok(PublishOutcome::AlreadyPublished { id, version });
                }
                WriteOutcome::Unknown => return Ok(PublishOutcome::Unknown { id }),
                WriteOutcome::Conflicted => {}
            }
        }
        let conflict = self
            .conflict(base.unwrap_or_default(), &chain, document)
            .await?;
        Ok(PublishOutcome::Conflicted(conflict))
    }

    /// Writes until the effect is known, at most `WRITE_ATTEMPTS` times. Each
    /// attempt writes the same rows and expects the same head, so that at most
    /// one of them takes effect.
    async fn write(
        &self,
        clock: &ClockSource,
        head: &StoredHead,
        note: &AcceptedNote,
    ) -> Result<WriteOutcome, PlatformError> {
        let mut effect_unknown = false;
        let mut backoff = INITIAL_BACKOFF;
        let mut last = None;
        for _ in 0..WRITE_ATTEMPTS {
            let outcome = match self.accept(head, note).await {
                Ok(()) => return Ok(WriteOutcome::Written),
                // The head never returns to an older version, so no earlier
                // attempt can still apply and a lookup is conclusive.
                Err(PlatformError::Conflict { .. }) => self.write_outcome(note).await,
                Err(fault) => Err(fault),
            };
            match outcome {
                Ok(outcome) => return Ok(outcome),
                Err(fault) => {
                    effect_unknown |= fault.effect_unknown();
                    last = Some(fault);
                }
            }
            clock.sleep(backoff).await;
            backoff *= 2;
        }
        match last {
            Some(fault) if !effect_unknown => Err(fault),
            _ => Ok(WriteOutcome::Unknown),
        }
    }

    /// Effect of a write that conflicted, looked up by the note's id.
    async fn write_outcome(&self, note: &AcceptedNote) -> Result<WriteOutcome, PlatformError> {
        Ok(match self.version_of(&note.id).await? {
            Some(version) if version == note.version => WriteOutcome::Written,
            Some(version) => WriteOutcome::AlreadyPublished(version),
            None => WriteOutcome::Conflicted,
        })
    }

    /// The chain at `head`: `chain` itself if it is already there, else read from
    /// the store.
    async fn update_chain(
        &self,
        chain: ChainState,
        head: &StoredHead,
    ) -> Result<ChainState, PlatformError> {
        if chain.head() == head.head {
            return Ok(chain);
        }
        self.state_at(head.head.version).await
    }

    /// Describes how `document`, written against `base`, conflicts with the notes
    /// accepted since.
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
