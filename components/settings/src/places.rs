//! Line and column, both from 1, of each field of a document. Columns count bytes.

use std::collections::BTreeMap;

use errors::DocumentFault;
use jsonc_parser::{
    ast::{ObjectProp, Value},
    common::Ranged,
};

/// Positions of the fields of one document, by path such as `seeds[0]`. Lines and
/// columns start at 1; columns count bytes.
#[derive(Clone, Debug)]
pub struct FieldPositions {
    line_starts: Vec<usize>,
    offsets: BTreeMap<String, usize>,
    duplicate_paths: Vec<String>,
}

impl FieldPositions {
    /// Records the position of each value in the parsed `text`.
    #[must_use]
    pub(crate) fn new(text: &str, root: &Value<'_>) -> Self {
        let line_starts = text.match_indices('\n').map(|(offset, _)| offset + 1);
        let mut positions = Self {
            line_starts: std::iter::once(0).chain(line_starts).collect(),
            offsets: BTreeMap::new(),
            duplicate_paths: Vec::new(),
        };
        positions.visit("", root);
        positions
    }

    /// Creates a fault at the position of `path`, or of its nearest parent that is
    /// in the document.
    #[must_use]
    pub fn fault(&self, path: &str, cause: impl Into<String>) -> DocumentFault {
        let (line, column) = self.position(path);
        DocumentFault {
            line,
            column,
            field: path.to_owned(),
            cause: cause.into(),
        }
    }

    /// Paths of the fields that appear more than once in an object.
    #[must_use]
    pub fn duplicate_paths(&self) -> &[String] {
        &self.duplicate_paths
    }

    fn position(&self, path: &str) -> (usize, usize) {
        let mut prefix = path;
        loop {
            if let Some(offset) = self.offsets.get(prefix) {
                return self.line_and_column(*offset);
            }
            match prefix.rfind(['.', '[']) {
                Some(end) => prefix = &prefix[..end],
                None => prefix = "",
            }
            if prefix.is_empty() {
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
            self.duplicate_paths.push(field);
            return;
        }
        self.offsets.insert(field.clone(), property.range.start);
        self.visit(&field, &property.value);
    }
}
