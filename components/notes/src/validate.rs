//! Validation of a note against a state. All errors are reported at once.

mod entries;
mod references;

use std::collections::BTreeSet;

use crate::{EntryKind, EntryName, FleetState, NoteDocument, NoteEntries, NoteError};

/// Maximum size of a note as JSON, so that its row stays within the table
/// service's limit for the size of a row.
pub const MAX_NOTE_BYTES: usize = 200 * 1024;

/// Maximum number of organisations in force.
pub const MAX_ORGANISATIONS: usize = 20_000;

/// Maximum number of models, of adapters and of services in force.
pub const MAX_ENTRIES_PER_KIND: usize = 2_000;

/// Checks that `document` can be applied to `state`.
///
/// # Errors
/// All errors, sorted. A note with any error is refused as a whole.
pub fn validate(state: &FleetState, document: &NoteDocument) -> Result<(), Vec<NoteError>> {
    let mut errors = Vec::new();
    check_size(document, &mut errors);
    check_names(state, document, &mut errors);
    entries::check(&document.added, &mut errors);
    entries::check(&document.changed, &mut errors);
    let next = state.with_note(document);
    references::check(state, &next, &mut errors);
    check_counts(&next, &mut errors);
    errors.sort();
    errors.dedup();
    if errors.is_empty() {
        Ok(())
    } else {
        Err(errors)
    }
}

fn check_size(document: &NoteDocument, errors: &mut Vec<NoteError>) {
    let bytes = serde_json::to_vec(document).map_or(usize::MAX, |text| text.len());
    if bytes > MAX_NOTE_BYTES {
        errors.push(NoteError::TooLong {
            bytes,
            limit: MAX_NOTE_BYTES,
        });
    }
}

fn check_names(state: &FleetState, document: &NoteDocument, errors: &mut Vec<NoteError>) {
    let added = entry_names(&document.added);
    let changed = entry_names(&document.changed);
    let withdrawn = withdrawn_names(document);
    if added.is_empty() && changed.is_empty() && withdrawn.is_empty() {
        errors.push(NoteError::Empty);
    }
    let present = state_names(state);
    for entry in &added {
        if present.contains(entry) {
            errors.push(NoteError::AlreadyExists(entry.clone()));
        }
    }
    for entry in changed.iter().chain(&withdrawn) {
        if !present.contains(entry) {
            errors.push(NoteError::Missing(entry.clone()));
        }
    }
    let mut seen = BTreeSet::new();
    for entry in added.iter().chain(&changed).chain(&withdrawn) {
        if !seen.insert(entry) {
            errors.push(NoteError::Duplicate(entry.clone()));
        }
    }
}

fn check_counts(next: &FleetState, errors: &mut Vec<NoteError>) {
    let counts = [
        (
            EntryKind::Organisation,
            next.organisations.len(),
            MAX_ORGANISATIONS,
        ),
        (EntryKind::Model, next.models.len(), MAX_ENTRIES_PER_KIND),
        (
            EntryKind::Adapter,
            next.adapters.len(),
            MAX_ENTRIES_PER_KIND,
        ),
        (
            EntryKind::Service,
            next.services.len(),
            MAX_ENTRIES_PER_KIND,
        ),
    ];
    for (kind, count, limit) in counts {
        if count > limit {
            errors.push(NoteError::TooMany { kind, count, limit });
        }
    }
}

/// Kind and name of each entry that a note adds, or of each that it changes.
#[must_use]
pub fn entry_names(entries: &NoteEntries) -> Vec<EntryName> {
    let organisations = entries.organisations.keys();
    let models = entries.models.keys();
    let adapters = entries.adapters.keys();
    let services = entries.services.keys();
    qualified_names(organisations, models, adapters, services)
}

/// Kind and name of each entry that a note withdraws.
#[must_use]
pub fn withdrawn_names(document: &NoteDocument) -> Vec<EntryName> {
    let withdrawn = &document.withdrawn;
    qualified_names(
        withdrawn.organisations.iter(),
        withdrawn.models.iter(),
        withdrawn.adapters.iter(),
        withdrawn.services.iter(),
    )
}

fn state_names(state: &FleetState) -> BTreeSet<EntryName> {
    let names = qualified_names(
        state.organisations.keys(),
        state.models.keys(),
        state.adapters.keys(),
        state.services.keys(),
    );
    names.into_iter().collect()
}

fn qualified_names<'a>(
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
