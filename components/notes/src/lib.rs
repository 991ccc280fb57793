//! Release notes: what they say, and what is in force after them.

mod document;
mod state;

pub use document::{
    AdapterEntry, ModelEntry, NoteDocument, NoteEntries, OrganisationEntry, OrganisationLimits,
    ServiceEntry, ServiceGuarantee, WithdrawnNames,
};
pub use state::FleetState;
