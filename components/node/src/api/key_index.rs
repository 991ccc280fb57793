//! Which organisation a key belongs to, under the release note in force.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
};

use entry::digest_matches;
use notes::FleetState;
use types::OrganisationId;

/// Key digests of every organisation, made anew when the state changes.
#[derive(Debug, Default)]
pub struct KeyIndex {
    built: Mutex<Arc<BuiltIndex>>,
}

#[derive(Debug, Default)]
struct BuiltIndex {
    state: Arc<FleetState>,
    organisations: HashMap<String, OrganisationId>,
}

impl KeyIndex {
    /// The organisation that has a key of this digest.
    #[must_use]
    pub fn organisation_of(&self, state: &Arc<FleetState>, digest: &str) -> Option<OrganisationId> {
        let index = self.index_of(state);
        let (known, organisation) = index.organisations.get_key_value(digest)?;
        digest_matches(known, digest).then(|| organisation.clone())
    }

    fn index_of(&self, state: &Arc<FleetState>) -> Arc<BuiltIndex> {
        let mut built = self.built.lock().unwrap_or_else(PoisonError::into_inner);
        if !Arc::ptr_eq(&built.state, state) {
            *built = Arc::new(BuiltIndex::new(state));
        }
        Arc::clone(&built)
    }
}

impl BuiltIndex {
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
