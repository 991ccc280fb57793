//! Index from API key digests to organisations, for the release note in force.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
};

use entry::digest_matches;
use notes::FleetState;
use types::OrganisationId;

/// Index of the key digests of every organisation, rebuilt when the fleet state
/// changes.
#[derive(Debug, Default)]
pub struct KeyIndex {
    snapshot: Mutex<Arc<IndexSnapshot>>,
}

#[derive(Debug, Default)]
struct IndexSnapshot {
    state: Arc<FleetState>,
    organisations: HashMap<String, OrganisationId>,
}

impl KeyIndex {
    /// Returns the organisation that has a key with this digest.
    #[must_use]
    pub fn organisation_of(&self, state: &Arc<FleetState>, digest: &str) -> Option<OrganisationId> {
        let index = self.snapshot_of(state);
        let (known, organisation) = index.organisations.get_key_value(digest)?;
        digest_matches(known, digest).then(|| organisation.clone())
    }

    fn snapshot_of(&self, state: &Arc<FleetState>) -> Arc<IndexSnapshot> {
        let mut snapshot = self.snapshot.lock().unwrap_or_else(PoisonError::into_inner);
        if !Arc::ptr_eq(&snapshot.state, state) {
            *snapshot = Arc::new(IndexSnapshot::new(state));
        }
        Arc::clone(&snapshot)
    }
}

impl IndexSnapshot {
    fn new(state: &Arc<FleetState>) -> Self {
        let organisations = state
            .organisations
            .iter()
            .flat_map(|(organisation, entry)| {
                let digests = entry.key_digests.iter();
                digests.map(|digest| (digest.to_ascii_lowercase(), organisation.clone()))
            })
            .collect();
        Self {
            state: Arc::clone(state),
            organisations,
        }
    }
}
