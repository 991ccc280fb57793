//! What entries refer to, in the state after the note.

use std::collections::{BTreeMap, BTreeSet};

use crate::{EntryKind, EntryName, FleetState, NoteError, OrganisationEntry};

/// Checks every reference of `next`; what `before` had and `next` lacks was
/// withdrawn.
pub fn check(before: &FleetState, next: &FleetState, faults: &mut Vec<NoteError>) {
    for (name, adapter) in &next.adapters {
        let entry = EntryName::new(EntryKind::Adapter, name);
        let model = EntryName::new(EntryKind::Model, &adapter.model);
        check_reference(before, next, &entry, model, faults);
    }
    for (name, organisation) in &next.organisations {
        check_organisation(before, next, name, organisation, faults);
    }
    check_keys(next, faults);
}

fn check_organisation(
    before: &FleetState,
    next: &FleetState,
    name: &str,
    organisation: &OrganisationEntry,
    faults: &mut Vec<NoteError>,
) {
    let entry = EntryName::new(EntryKind::Organisation, name);
    let lists = [
        (EntryKind::Model, &organisation.models),
        (EntryKind::Adapter, &organisation.adapters),
        (EntryKind::Service, &organisation.services),
    ];
    for (kind, list) in lists {
        let mut seen = BTreeSet::new();
        for wanted in list {
            let reference = EntryName::new(kind, wanted);
            if !seen.insert(wanted) {
                faults.push(NoteError::Repeated {
                    entry: entry.clone(),
                    reference: reference.clone(),
                });
            }
            check_reference(before, next, &entry, reference, faults);
        }
    }
    for adapter in &organisation.adapters {
        let model = next.adapters.get(adapter).map(|found| &found.model);
        let model = model.filter(|model| !organisation.models.contains(model));
        faults.extend(model.map(|model| NoteError::AdapterWithoutModel {
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
    faults: &mut Vec<NoteError>,
) {
    if has(next, &reference) {
        return;
    }
    faults.push(if has(before, &reference) {
        NoteError::StillUsed {
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

fn has(state: &FleetState, entry: &EntryName) -> bool {
    match entry.kind {
        EntryKind::Organisation => state.organisations.contains_key(&entry.name),
        EntryKind::Model => state.models.contains_key(&entry.name),
        EntryKind::Adapter => state.adapters.contains_key(&entry.name),
        EntryKind::Service => state.services.contains_key(&entry.name),
    }
}

fn check_keys(next: &FleetState, faults: &mut Vec<NoteError>) {
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for (name, organisation) in &next.organisations {
        for digest in &organisation.key_digests {
            if let Some(other) = owners.insert(digest, name) {
                faults.push(NoteError::SharedKey {
                    organisation: name.clone(),
                    other: other.to_owned(),
                });
            }
        }
    }
}
