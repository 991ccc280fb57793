//! Whether a note may follow a state; every fault is named.

mod entries;
mod references;

use std::collections::BTreeSet;

use crate::{EntryKind, EntryName, FleetState, NoteDocument, NoteEntries, NoteError};

/// Most bytes of a note as JSON, so that its row stays under the row limit.
pub const NOTE_LIMIT_BYTES: usize = 200 * 1024;

/// Most organisations.
pub const ORGANISATION_LIMIT: usize = 20_000;

/// Most models, adapters and services, each.
pub const OTHER_LIMIT: usize = 2_000;

/// Checks `document` against `state`.
///
/// # Errors
/// Every fault, sorted; the note is refused whole.
pub fn validate(state: &FleetState, document: &NoteDocument) -> Result<(), Vec<NoteError>> {
    let mut faults = Vec::new();
    check_size(document, &mut faults);
    check_names(state, document, &mut faults);
    entries::check(&document.added, &mut faults);
    entries::check(&document.changed, &mut faults);
    let next = state.after(document);
    references::check(state, &next, &mut faults);
    check_counts(&next, &mut faults);
    faults.sort();
    faults.dedup();
    if faults.is_empty() {
        Ok(())
    } else {
        Err(faults)
    }
}

fn check_size(document: &NoteDocument, faults: &mut Vec<NoteError>) {
    let bytes = serde_json::to_vec(document).map_or(usize::MAX, |text| text.len());
    if bytes > NOTE_LIMIT_BYTES {
        faults.push(NoteError::TooLong {
            bytes,
            limit: NOTE_LIMIT_BYTES,
        });
    }
}

fn check_names(state: &FleetState, document: &NoteDocument, faults: &mut Vec<NoteError>) {
    let added = entry_names(&document.added);
    let changed = entry_names(&document.changed);
    let withdrawn = withdrawn_names(document);
    if added.is_empty() && changed.is_empty() && withdrawn.is_empty() {
        faults.push(NoteError::Empty);
    }
    let present = state_names(state);
    for entry in &added {
        if present.contains(entry) {
            faults.push(NoteError::Exists(entry.clone()));
        }
    }
    for entry in changed.iter().chain(&withdrawn) {
        if !present.contains(entry) {
            faults.push(NoteError::Missing(entry.clone()));
        }
    }
    let mut seen = BTreeSet::new();
    for entry in added.iter().chain(&changed).chain(&withdrawn) {
        if !seen.insert(entry) {
            faults.push(NoteError::Doubled(entry.clone()));
        }
    }
}

fn check_counts(next: &FleetState, faults: &mut Vec<NoteError>) {
    let counts = [
        (
            EntryKind::Organisation,
            next.organisations.len(),
            ORGANISATION_LIMIT,
        ),
        (EntryKind::Model, next.models.len(), OTHER_LIMIT),
        (EntryKind::Adapter, next.adapters.len(), OTHER_LIMIT),
        (EntryKind::Service, next.services.len(), OTHER_LIMIT),
    ];
    for (kind, count, limit) in counts {
        if count > limit {
            faults.push(NoteError::TooMany { kind, count, limit });
        }
    }
}

/// Names of all entries of a section.
#[must_use]
pub fn entry_names(entries: &NoteEntries) -> Vec<EntryName> {
    let organisations = entries.organisations.keys();
    let models = entries.models.keys();
    let adapters = entries.adapters.keys();
    let services = entries.services.keys();
    named(organisations, models, adapters, services)
}

/// Names of all entries that a note withdraws.
#[must_use]
pub fn withdrawn_names(document: &NoteDocument) -> Vec<EntryName> {
    let withdrawn = &document.withdrawn;
    named(
        withdrawn.organisations.iter(),
        withdrawn.models.iter(),
        withdrawn.adapters.iter(),
        withdrawn.services.iter(),
    )
}

fn state_names(state: &FleetState) -> BTreeSet<EntryName> {
    let names = named(
        state.organisations.keys(),
        state.models.keys(),
        state.adapters.keys(),
        state.services.keys(),
    );
    names.into_iter().collect()
}

fn named<'a>(
    organisations: impl Iterator<Item = &'a String>,
    models: impl Iterator<Item = &'a String>,
    adapters: impl Iterator<Item = &'a String>,
    services: impl Iterator<Item = &'a String>,
) -> Vec<EntryName> {
    let organisations = organisations.map(|name| (EntryKind::Organisation, name));
    let models = models.map(|name| (EntryKind::Model, name));
    let adapters = adapters.map(|name| (EntryKind::Adapter, name));
    let services = services.map(|name| (EntryKind::Service, name));
    organisations
        .chain(models)
        .chain(adapters)
        .chain(services)
        .map(|(kind, name)| EntryName::new(kind, name))
        .collect()
}
