//! Parsing of a release note, including the detection of duplicate keys.

use std::{collections::BTreeSet, fmt};

use serde::{
    Deserialize, Deserializer,
    de::{IgnoredAny, MapAccess, Visitor},
};

use crate::{EntryKind, EntryName, NoteDocument, NoteError};

/// Parses a note from JSON.
///
/// # Errors
/// `NoteError::Malformed`, or one `NoteError::Duplicate` for each repeated
/// entry name under `added` or `changed`.
pub fn parse_document(text: &str) -> Result<NoteDocument, Vec<NoteError>> {
    let malformed_error = |error: serde_json::Error| {
        vec![NoteError::Malformed {
            line: error.line(),
            column: error.column(),
            cause: error.to_string(),
        }]
    };
    let document = serde_json::from_str(text).map_err(malformed_error)?;
    let keys: DocumentKeys = serde_json::from_str(text).map_err(malformed_error)?;
    let duplicates: Vec<_> = [keys.added, keys.changed]
        .into_iter()
        .flat_map(SectionKeys::duplicates)
        .collect();
    if duplicates.is_empty() {
        Ok(document)
    } else {
        Err(duplicates)
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
    fn duplicates(self) -> Vec<NoteError> {
        let lists = [
            (EntryKind::Organisation, self.organisations),
            (EntryKind::Model, self.models),
            (EntryKind::Adapter, self.adapters),
            (EntryKind::Service, self.services),
        ];
        let mut errors = Vec::new();
        for (kind, list) in lists {
            let mut seen = BTreeSet::new();
            let repeated = list.0.iter().filter(|key| !seen.insert(*key));
            errors.extend(repeated.map(|key| NoteError::Duplicate(EntryName::new(kind, key))));
        }
        errors
    }
}

/// Keys of a JSON object in order, including duplicates.
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
