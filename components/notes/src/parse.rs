//! Reading a release note, with doubled entries found.

use std::{collections::BTreeSet, fmt};

use serde::{
    Deserialize, Deserializer,
    de::{IgnoredAny, MapAccess, Visitor},
};

use crate::{EntryKind, EntryName, NoteDocument, NoteError};

/// Reads a note from JSON text.
///
/// # Errors
/// `NoteError::Malformed`, or each entry that stands twice in one map.
pub fn parse_document(text: &str) -> Result<NoteDocument, Vec<NoteError>> {
    let malformed = |fault: serde_json::Error| {
        vec![NoteError::Malformed {
            line: fault.line(),
            column: fault.column(),
            cause: fault.to_string(),
        }]
    };
    let document = serde_json::from_str(text).map_err(malformed)?;
    let keys: DocumentKeys = serde_json::from_str(text).map_err(malformed)?;
    let doubled: Vec<_> = [keys.added, keys.changed]
        .into_iter()
        .flat_map(SectionKeys::doubled)
        .collect();
    if doubled.is_empty() {
        Ok(document)
    } else {
        Err(doubled)
    }
}

#[derive(Default)]
#[derive(Deserialize)]
#[serde(default)]
struct DocumentKeys {
    added: SectionKeys,
    changed: SectionKeys,
}

#[derive(Default)]
#[derive(Deserialize)]
#[serde(default)]
struct SectionKeys {
    organisations: KeyList,
    models: KeyList,
    adapters: KeyList,
    services: KeyList,
}

impl SectionKeys {
    fn doubled(self) -> Vec<NoteError> {
        let lists = [
            (EntryKind::Organisation, self.organisations),
            (EntryKind::Model, self.models),
            (EntryKind::Adapter, self.adapters),
            (EntryKind::Service, self.services),
        ];
        let mut faults = Vec::new();
        for (kind, list) in lists {
            let mut seen = BTreeSet::new();
            let twice = list.0.iter().filter(|key| !seen.insert(*key));
            faults.extend(twice.map(|key| NoteError::Doubled(EntryName::new(kind, key))));
        }
        faults
    }
}

/// Keys of a JSON object in their order, doubled ones included.
#[derive(Default)]
struct KeyList(Vec<String>);

impl<'de> Deserialize<'de> for KeyList {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(KeyVisitor)
    }
}

struct KeyVisitor;

impl<'de> Visitor<'de> for KeyVisitor {
    type Value = KeyList;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<KeyList, A::Error> {
        let mut keys = Vec::new();
        while let Some((key, IgnoredAny)) = map.next_entry()? {
            keys.push(key);
        }
        Ok(KeyList(keys))
    }
}
