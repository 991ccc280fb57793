//! Checks of the references between entries and of shared API keys in the state
//! after the note.

use std::collections::{BTreeMap, BTreeSet};

use crate::{EntryKind, EntryName, FleetState, NoteError, OrganisationEntry};

/// Checks every reference of `next`, and that no API key is listed twice. An
/// entry that `before` has and `next` lacks was withdrawn by the note.
pub fn check(before: &FleetState, next: &FleetState, errors: &mut Vec<NoteError>) {
    for (name, adapter) in &next.adapters {
        let entry = EntryName::new(EntryKind::Adapter, name);
        let model = EntryName::new(EntryKind::Model, &adapter.model);
        check_reference(before, next, &entry, model, errors);
    }
    for (name, organisation) in &next.organisations {
        check_organisation(before, next, name, organisation, errors);
    }
    check_shared_keys(next, errors);
}

fn check_organisation(
    before: &FleetState,
    next: &FleetState,
    name: &str,
    organisation: &OrganisationEntry,
    errors: &mut Vec<NoteError>,
) {
    let entry = EntryName::new(EntryKind::Organisation, name);
    let lists = [
        (EntryKind::Model, &organisation.models),
        (EntryKind::Adapter, &organisation.adapters),
        (EntryKind::Service, &organisation.services),
    ];
    for (kind, list) in lists {
        let mut seen = BTreeSet::new();
        for referenced in list {
            let reference = EntryName::new(kind, referenced);
            if !seen.insert(referenced) {
                errors.push(NoteError::DuplicateReference {
                    entry: entry.clone(),
                    reference: reference.clone(),
                });
            }
            check_reference(before, next, &entry, reference, errors);
        }
    }
    for adapter in &organisation.adapters {
        let model = next.adapters.get(adapter).map(|found| &found.model);
        let model = model.filter(|model| !organisation.models.contains(model));
        errors.extend(model.map(|model| NoteError::AdapterWithoutModel {
            organisation: name.to_owned(),
            adapter: adapter.clone(),
            model: model.clone(),
        }));
    }
}

fn check_reference(
    before: &FleetState,
    next: &FleetState,
    entry: &EntryName,
    reference: EntryName,
    errors: &mut Vec<NoteError>,
) {
    if contains_entry(next, &reference) {
        return;
    }
    errors.push(if contains_entry(before, &reference) {
        NoteError::StillReferenced {
            entry: reference,
            user: entry.clone(),
        }
    } else {
        NoteError::UnknownReference {
            entry: entry.clone(),
            reference,
        }
    });
}

fn contains_entry(state: &FleetState, entry: &EntryName) -> bool {
    match entry.kind {
        EntryKind::Organisation => state.organisations.contains_key(&entry.name),
        EntryKind::Model => state.models.contains_key(&entry.name),
        EntryKind::Adapter => state.adapters.contains_key(&entry.name),
        EntryKind::Service => state.services.contains_key(&entry.name),
    }
}

fn check_shared_keys(next: &FleetState, errors: &mut Vec<NoteError>) {
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for (name, organisation) in &next.organisations {
        for digest in &organisation.key_digests {
            if let Some(other) = owners.insert(digest, name) {
                errors.push(NoteError::SharedKey {
                    organisation: name.clone(),
                    other: other.to_owned(),
                });
            }
        }
    }
}
