//! The fleet's state after a chain of release notes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use types::{AdapterId, ModelId, NoteVersion, OrganisationId, ServiceName};

use crate::{AdapterEntry, ModelEntry, NoteDocument, OrganisationEntry, ServiceEntry};

/// All entries in force at one note version.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct FleetState {
    /// Version of the last note applied; 0 before the first.
    pub version: NoteVersion,
    /// Organisations by id.
    pub organisations: BTreeMap<OrganisationId, OrganisationEntry>,
    /// Models by id.
    pub models: BTreeMap<ModelId, ModelEntry>,
    /// Adapters by id.
    pub adapters: BTreeMap<AdapterId, AdapterEntry>,
    /// Plain services by name.
    pub services: BTreeMap<ServiceName, ServiceEntry>,
}

impl FleetState {
    /// Returns the next version of the state, with `note` applied. The note must
    /// be valid.
    #[must_use]
    pub fn with_note(&self, note: &NoteDocument) -> Self {
        let mut next = self.clone();
        next.version += 1;
        for entries in [&note.added, &note.changed] {
            next.organisations.extend(entries.organisations.clone());
            next.models.extend(entries.models.clone());
            next.adapters.extend(entries.adapters.clone());
            next.services.extend(entries.services.clone());
        }
        for name in &note.withdrawn.organisations {
            next.organisations.remove(name);
        }
        for name in &note.withdrawn.models {
            next.models.remove(name);
        }
        for name in &note.withdrawn.adapters {
            next.adapters.remove(name);
        }
        for name in &note.withdrawn.services {
            next.services.remove(name);
        }
        next
    }
}
