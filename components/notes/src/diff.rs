//! Differences between two states, and entries that two notes both change.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    EntryName, FleetState, NoteDocument,
    fault::EntryKind,
    validate::{entry_names, withdrawn_names},
};

/// How an entry differs between two states.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeKind {
    /// Only the later state has the entry.
    Added,
    /// Both states have the entry, with different content.
    Changed,
    /// Only the earlier state has the entry.
    Withdrawn,
}

/// An entry that differs between two states.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EntryChange {
    /// Kind and name of the entry.
    pub entry: EntryName,
    /// How the entry differs.
    pub change: ChangeKind,
    /// Content in the earlier state, as JSON; empty if the entry was added.
    pub before: String,
    /// Content in the later state, as JSON; empty if the entry was withdrawn.
    pub after: String,
}

/// Lists the entries that differ from `before` to `after`, by kind and name.
#[must_use]
pub fn diff(before: &FleetState, after: &FleetState) -> Vec<EntryChange> {
    let mut changes = Vec::new();
    let organisation = EntryKind::Organisation;
    compare_entries(
        organisation,
        &before.organisations,
        &after.organisations,
        &mut changes,
    );
    compare_entries(
        EntryKind::Model,
        &before.models,
        &after.models,
        &mut changes,
    );
    compare_entries(
        EntryKind::Adapter,
        &before.adapters,
        &after.adapters,
        &mut changes,
    );
    compare_entries(
        EntryKind::Service,
        &before.services,
        &after.services,
        &mut changes,
    );
    changes
}

/// Entries named both by `document` and by a note of `between`, the notes that
/// were accepted after the state for which `document` was written.
///
/// A document without such entries may be applied unchanged after these notes,
/// if it is valid for the resulting state.
#[must_use]
pub fn overlapping_entries(document: &NoteDocument, between: &[NoteDocument]) -> Vec<EntryName> {
    let own: BTreeSet<_> = named_entries(document).collect();
    let others: BTreeSet<_> = between.iter().flat_map(named_entries).collect();
    own.intersection(&others).cloned().collect()
}

fn named_entries(document: &NoteDocument) -> impl Iterator<Item = EntryName> + use<> {
    let added = entry_names(&document.added);
    let changed = entry_names(&document.changed);
    let withdrawn = withdrawn_names(document);
    added.into_iter().chain(changed).chain(withdrawn)
}

fn compare_entries<T: PartialEq + Serialize>(
    kind: EntryKind,
    before: &BTreeMap<String, T>,
    after: &BTreeMap<String, T>,
    changes: &mut Vec<EntryChange>,
) {
    let names: BTreeSet<_> = before.keys().chain(after.keys()).collect();
    for name in names {
        let change = match (before.get(name), after.get(name)) {
            (None, Some(_)) => ChangeKind::Added,
            (Some(_), None) => ChangeKind::Withdrawn,
            (Some(old), Some(new)) if old != new => ChangeKind::Changed,
            _ => continue,
        };
        changes.push(EntryChange {
            entry: EntryName::new(kind, name),
            change,
            before: entry_json(before.get(name)),
            after: entry_json(after.get(name)),
        });
    }
}

fn entry_json<T: Serialize>(entry: Option<&T>) -> String {
    let text = entry.and_then(|entry| serde_json::to_string(entry).ok());
    text.unwrap_or_default()
}
