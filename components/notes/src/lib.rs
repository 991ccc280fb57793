//! Release notes: their format and validation, the state that results from
//! them, and how a node adopts new ones.

mod adopter;
mod chain;
mod diff;
mod document;
mod fault;
mod parse;
mod state;
mod validate;

pub use adopter::{
    AdopterAction, AdopterEvent, AdopterSettings, NoteAdopter, NoteHolder, NoteSource, VersionGate,
};
pub use chain::{
    AcceptedNote, ChainError, ChainHead, ChainState, NoteId, NotesReply, NotesRequest, note_id,
};
pub use diff::{ChangeKind, EntryChange, diff, overlapping_entries};
pub use document::{
    AdapterEntry, ModelEntry, NoteDocument, NoteEntries, OrganisationEntry, OrganisationLimits,
    ServiceEntry, ServiceGuarantee, WithdrawnNames,
};
pub use fault::{EntryKind, EntryName, NoteError};
pub use parse::parse_document;
pub use state::FleetState;
pub use validate::{MAX_ENTRIES_PER_KIND, MAX_NOTE_BYTES, MAX_ORGANISATIONS, validate};
