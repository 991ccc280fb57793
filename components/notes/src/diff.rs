//! What differs between states, and whether notes touch the same entries.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{
    EntryName, FleetState, NoteDocument,
    fault::EntryKind,
    validate::{entry_names, withdrawn_names},
};

/// How one entry differs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeKind {
    /// Only the later state has it.
    Added,
    /// Both have it, with other content.
    Changed,
    /// Only the earlier state has it.
    Withdrawn,
}

/// One difference between two states.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct EntryChange {
    /// The entry.
    pub entry: EntryName,
    /// How it differs.
    pub change: ChangeKind,
    /// Its content before, as JSON; empty when added.
    pub before: String,
    /// Its content after, as JSON; empty when withdrawn.
    pub after: String,
}

/// What changed from `before` to `after`, by kind and name.
#[must_use]
pub fn diff(before: &FleetState, after: &FleetState) -> Vec<EntryChange> {
    let mut changes = Vec::new();
    let organisation = EntryKind::Organisation;
    compare(
        organisation,
        &before.organisations,
        &after.organisations,
        &mut changes,
    );
    compare(
        EntryKind::Model,
        &before.models,
        &after.models,
        &mut changes,
    );
    compare(
        EntryKind::Adapter,
        &before.adapters,
        &after.adapters,
        &mut changes,
    );
    compare(
        EntryKind::Service,
        &before.services,
        &after.services,
        &mut changes,
    );
    changes
}

/// Entries that `document` names and that a note of `between` names as well.
///
/// A note without such entries may be put on top of `between` unchanged,
/// once it is valid there.
#[must_use]
pub fn overlapping_entries(document: &NoteDocument, between: &[NoteDocument]) -> Vec<EntryName> {
    let own: BTreeSet<_> = touched(document).collect();
    let others: BTreeSet<_> = between.iter().flat_map(touched).collect();
    own.intersection(&others).cloned().collect()
}

fn touched(document: &NoteDocument) -> impl Iterator<Item = EntryName> + use<> {
    let added = entry_names(&document.added);
    let changed = entry_names(&document.changed);
    let withdrawn = withdrawn_names(document);
    added.into_iter().chain(changed).chain(withdrawn)
}

fn compare<T: PartialEq + Serialize>(
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
            before: text(before.get(name)),
            after: text(after.get(name)),
        });
    }
}

fn text<T: Serialize>(entry: Option<&T>) -> String {
    let text = entry.and_then(|entry| serde_json::to_string(entry).ok());
    text.unwrap_or_default()
}
