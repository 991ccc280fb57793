//! Release notes service of a node: publishes notes, adopts accepted ones and
//! serves the state in force.

mod publish;
mod service;
mod store;

pub use publish::{NoteConflict, PublishOptions, PublishOutcome};
pub use service::{NOTE_SERVICE, NoteFetchError, NoteFetcher, NoteService, NoteStatus};
pub use store::{NoteStore, SNAPSHOT_INTERVAL};
