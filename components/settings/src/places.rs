//! Where each field of a document stands.

use std::collections::BTreeMap;

use errors::DocumentFault;
use jsonc_parser::{
    ast::{ObjectProp, Value},
    common::Ranged,
};

/// Byte offsets of the fields of one document, by path.
#[derive(Clone, Debug)]
pub struct FieldPositions {
    line_starts: Vec<usize>,
    offsets: BTreeMap<String, usize>,
    doubled: Vec<String>,
}

impl FieldPositions {
    /// Indexes the parsed `text`.
    #[must_use]
    pub(crate) fn new(text: &str, root: &Value<'_>) -> Self {
        let breaks = text.match_indices('\n').map(|(offset, _)| offset + 1);
        let mut index = Self {
            line_starts: std::iter::once(0).chain(breaks).collect(),
            offsets: BTreeMap::new(),
            doubled: Vec::new(),
        };
        index.visit("", root);
        index
    }

    /// A fault at the field named by `path`, or at its nearest parent.
    #[must_use]
    pub fn fault(&self, path: &str, cause: impl Into<String>) -> DocumentFault {
        let (line, column) = self.place(path);
        DocumentFault {
            line,
            column,
            field: path.to_owned(),
            cause: cause.into(),
        }
    }

    /// Paths of the fields that stand twice in one object.
    #[must_use]
    pub fn doubled(&self) -> &[String] {
        &self.doubled
    }

    fn place(&self, path: &str) -> (usize, usize) {
        let mut known = path;
        loop {
            if let Some(offset) = self.offsets.get(known) {
                return self.line_and_column(*offset);
            }
            match known.rfind(['.', '[']) {
                Some(end) => known = &known[..end],
                None => known = "",
            }
            if known.is_empty() {
                let offset = self.offsets.get("").copied().unwrap_or(0);
                return self.line_and_column(offset);
            }
        }
    }

    fn line_and_column(&self, offset: usize) -> (usize, usize) {
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let start = self.line_starts[line - 1];
        (line, offset - start + 1)
    }

    fn visit(&mut self, path: &str, value: &Value<'_>) {
        self.offsets
            .entry(path.to_owned())
            .or_insert_with(|| value.range().start);
        match value {
            Value::Object(object) => {
                for property in &object.properties {
                    self.visit_property(path, property);
                }
            }
            Value::Array(array) => {
                for (position, element) in array.elements.iter().enumerate() {
                    self.visit(&format!("{path}[{position}]"), element);
                }
            }
            _ => {}
        }
    }

    fn visit_property(&mut self, path: &str, property: &ObjectProp<'_>) {
        let name = property.name.as_str();
        let field = if path.is_empty() {
            name.to_owned()
        } else {
            format!("{path}.{name}")
        };
        if self.offsets.contains_key(&field) {
            self.doubled.push(field);
            return;
        }
        self.offsets.insert(field.clone(), property.range.start);
        self.visit(&field, &property.value);
    }
}
