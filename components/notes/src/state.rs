//! What is in force after a chain of release notes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use types::{AdapterId, ModelId, NoteVersion, OrganisationId, ServiceName};

use crate::{AdapterEntry, ModelEntry, NoteDocument, OrganisationEntry, ServiceEntry};

/// Everything in force under one note version.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct FleetState {
    /// Version of the last note applied; 0 before the first.
    pub version: NoteVersion,
    /// Organisations.
    pub organisations: BTreeMap<OrganisationId, OrganisationEntry>,
    /// Models.
    pub models: BTreeMap<ModelId, ModelEntry>,
    /// Adapters.
    pub adapters: BTreeMap<AdapterId, AdapterEntry>,
    /// Plain services.
    pub services: BTreeMap<ServiceName, ServiceEntry>,
}

impl FleetState {
    /// The state after `note` as the next version. The note must be valid.
    #[must_use]
    pub fn after(&self, note: &NoteDocument) -> Self {
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
