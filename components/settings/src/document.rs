//! Reading a typed document and listing every fault at once.

use errors::{DocumentFault, SettingsError};
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast, parse_to_serde_value};
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::{Path, Segment};

use crate::FieldPositions;

const MAX_FAULTS: usize = 100;

/// A document that was read, with the places of its fields.
#[derive(Clone, Debug)]
pub struct ParsedDocument<T> {
    /// The typed document.
    pub value: T,
    /// Where its fields stand.
    pub positions: FieldPositions,
}

/// Reads `text` as a document of type `T`; `file` names it in faults.
///
/// Comments and trailing commas are allowed. Types should deny unknown
/// fields, so that each one becomes a fault.
///
/// # Errors
/// `SettingsError::Faulty` with every fault found.
pub fn parse_document<T: DeserializeOwned>(
    file: &str,
    text: &str,
) -> Result<ParsedDocument<T>, SettingsError> {
    let reject = |faults| SettingsError::Faulty {
        file: file.to_owned(),
        faults,
    };
    let (places, root) = parse_text(text).map_err(|fault| reject(vec![fault]))?;
    let mut faults: Vec<DocumentFault> = places
        .doubled()
        .iter()
        .map(|path| places.fault(path, "stands twice in the same object"))
        .collect();
    match parse_value(&places, root, &mut faults) {
        Some(value) if faults.is_empty() => Ok(ParsedDocument {
            value,
            positions: places,
        }),
        _ => {
            faults.sort_by_key(|fault| (fault.line, fault.column));
            Err(reject(faults))
        }
    }
}

fn parse_text(text: &str) -> Result<(FieldPositions, Value), DocumentFault> {
    let options = ParseOptions {
        allow_comments: true,
        allow_loose_object_property_names: false,
        allow_trailing_commas: true,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    };
    let syntax_fault = |error: jsonc_parser::errors::ParseError| DocumentFault {
        line: error.line_display(),
        column: error.column_display(),
        field: String::new(),
        cause: error.kind().to_string(),
    };
    let parsed = parse_to_ast(text, &CollectOptions::default(), &options).map_err(syntax_fault)?;
    let Some(root) = parsed.value else {
        return Err(DocumentFault {
            line: 1,
            column: 1,
            field: String::new(),
            cause: "the document is empty".to_owned(),
        });
    };
    let value = parse_to_serde_value(text, &options).map_err(syntax_fault)?;
    Ok((FieldPositions::new(text, &root), value))
}

/// Reads the value; after each fault the field at fault is taken out and the
/// rest read again, so that later faults are found too.
fn parse_value<T: DeserializeOwned>(
    places: &FieldPositions,
    mut root: Value,
    faults: &mut Vec<DocumentFault>,
) -> Option<T> {
    let mut removed: Vec<String> = Vec::new();
    for _ in 0..MAX_FAULTS {
        let error = match serde_path_to_error::deserialize(&root) {
            Ok(value) => return Some(value),
            Err(error) => error,
        };
        let cause = error.inner().to_string();
        let steps = field_steps(error.path(), &cause);
        let path = field_path(&steps);
        if !removed.contains(&path) {
            faults.push(places.fault(&path, cause.clone()));
        }
        let target = if is_missing(&cause) {
            &steps[..steps.len() - 1]
        } else {
            &steps[..]
        };
        if target.is_empty() || !remove_field(&mut root, target) {
            return None;
        }
        removed.push(field_path(target));
    }
    None
}

#[derive(Clone, Debug, PartialEq)]
enum FieldStep {
    Key(String),
    Index(usize),
}

/// The steps to the field at fault; serde names an unknown or missing field
/// in its message only.
fn field_steps(path: &Path, cause: &str) -> Vec<FieldStep> {
    let mut steps: Vec<FieldStep> = path
        .iter()
        .filter_map(|segment| match segment {
            Segment::Map { key } => Some(FieldStep::Key(key.clone())),
            Segment::Seq { index } => Some(FieldStep::Index(*index)),
            Segment::Enum { .. } | Segment::Unknown => None,
        })
        .collect();
    if let Some(name) = quoted_name(cause) {
        let named = FieldStep::Key(name.to_owned());
        if steps.last() != Some(&named) {
            steps.push(named);
        }
    }
    steps
}

fn is_missing(cause: &str) -> bool {
    cause.starts_with("missing field")
}

fn quoted_name(cause: &str) -> Option<&str> {
    let rest = cause
        .strip_prefix("unknown field `")
        .or_else(|| cause.strip_prefix("missing field `"))?;
    rest.split('`').next()
}

fn field_path(steps: &[FieldStep]) -> String {
    steps.iter().fold(String::new(), |path, step| match step {
        FieldStep::Key(key) if path.is_empty() => key.clone(),
        FieldStep::Key(key) => format!("{path}.{key}"),
        FieldStep::Index(index) => format!("{path}[{index}]"),
    })
}

fn remove_field(root: &mut Value, steps: &[FieldStep]) -> bool {
    let Some((last, parents)) = steps.split_last() else {
        return false;
    };
    let mut value = root;
    for step in parents {
        let child = match step {
            FieldStep::Key(key) => value.get_mut(key),
            FieldStep::Index(index) => value.get_mut(index),
        };
        match child {
            Some(child) => value = child,
            None => return false,
        }
    }
    match (last, value) {
        (FieldStep::Key(key), Value::Object(fields)) => fields.shift_remove(key).is_some(),
        (FieldStep::Index(index), Value::Array(elements)) if *index < elements.len() => {
            elements.remove(*index);
            true
        }
        _ => false,
    }
}
