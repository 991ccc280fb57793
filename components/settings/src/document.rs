//! Parser for typed documents that reports all faults together.

use errors::{DocumentFault, SettingsError};
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast, parse_to_serde_value};
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::{Path, Segment};

use crate::FieldPositions;

/// Each attempt finds one fault, so this also limits the faults of decoding.
const MAX_DECODE_ATTEMPTS: usize = 100;

/// Parsed document with the positions of its fields, for later validation.
#[derive(Clone, Debug)]
pub struct ParsedDocument<T> {
    /// Content of the document.
    pub value: T,
    /// Line and column of each field, for faults of its value.
    pub positions: FieldPositions,
}

/// Parses `text` as a document of type `T`; `file` is its name in errors.
///
/// Comments and trailing commas are allowed. `T` should deny unknown fields, so
/// that each of them is reported.
///
/// # Errors
/// `SettingsError::Faulty` with the faults found, at most 100 from decoding.
pub fn parse_document<T: DeserializeOwned>(
    file: &str,
    text: &str,
) -> Result<ParsedDocument<T>, SettingsError> {
    let reject = |faults| SettingsError::Faulty {
        file: file.to_owned(),
        faults,
    };
    let (positions, root) = parse_text(text).map_err(|fault| reject(vec![fault]))?;
    let mut faults: Vec<DocumentFault> = positions
        .duplicate_paths()
        .iter()
        .map(|path| positions.fault(path, "stands twice in the same object"))
        .collect();
    match parse_value(&positions, root, &mut faults) {
        Some(value) if faults.is_empty() => Ok(ParsedDocument { value, positions }),
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

/// Decodes the value. After each fault, removes the faulty field, or the object that
/// lacks a required one, and decodes the rest again, so that later faults are found
/// too. An object removed that way is then itself missing; that is not reported
/// again.
fn parse_value<T: DeserializeOwned>(
    positions: &FieldPositions,
    mut root: Value,
    faults: &mut Vec<DocumentFault>,
) -> Option<T> {
    let mut removed: Vec<String> = Vec::new();
    for _ in 0..MAX_DECODE_ATTEMPTS {
        let error = match serde_path_to_error::deserialize(&root) {
            Ok(value) => return Some(value),
            Err(error) => error,
        };
        let cause = error.inner().to_string();
        let segments = path_segments(error.path(), &cause);
        let path = field_path(&segments);
        if !removed.contains(&path) {
            faults.push(positions.fault(&path, cause.clone()));
        }
        let target = if is_missing_field(&cause) {
            &segments[..segments.len() - 1]
        } else {
            &segments[..]
        };
        if target.is_empty() || !remove_value(&mut root, target) {
            return None;
        }
        removed.push(field_path(target));
    }
    None
}

#[derive(Clone, Debug, PartialEq)]
enum PathSegment {
    Key(String),
    Index(usize),
}

/// Returns the path to the faulty field. Serde names an unknown or missing field
/// only in its message, so the name is taken from there.
fn path_segments(path: &Path, cause: &str) -> Vec<PathSegment> {
    let mut segments: Vec<PathSegment> = path
        .iter()
        .filter_map(|segment| match segment {
            Segment::Map { key } => Some(PathSegment::Key(key.clone())),
            Segment::Seq { index } => Some(PathSegment::Index(*index)),
            Segment::Enum { .. } | Segment::Unknown => None,
        })
        .collect();
    if let Some(name) = field_name_in_message(cause) {
        let named = PathSegment::Key(name.to_owned());
        if segments.last() != Some(&named) {
            segments.push(named);
        }
    }
    segments
}

fn is_missing_field(cause: &str) -> bool {
    cause.starts_with("missing field")
}

fn field_name_in_message(cause: &str) -> Option<&str> {
    let rest = cause
        .strip_prefix("unknown field `")
        .or_else(|| cause.strip_prefix("missing field `"))?;
    rest.split('`').next()
}

fn field_path(segments: &[PathSegment]) -> String {
    segments
        .iter()
        .fold(String::new(), |path, segment| match segment {
            PathSegment::Key(key) if path.is_empty() => key.clone(),
            PathSegment::Key(key) => format!("{path}.{key}"),
            PathSegment::Index(index) => format!("{path}[{index}]"),
        })
}

fn remove_value(root: &mut Value, segments: &[PathSegment]) -> bool {
    let Some((last, parents)) = segments.split_last() else {
        return false;
    };
    let mut value = root;
    for segment in parents {
        let child = match segment {
            PathSegment::Key(key) => value.get_mut(key),
            PathSegment::Index(index) => value.get_mut(index),
        };
        match child {
            Some(child) => value = child,
            None => return false,
        }
    }
    match (last, value) {
        (PathSegment::Key(key), Value::Object(fields)) => fields.shift_remove(key).is_some(),
        (PathSegment::Index(index), Value::Array(elements)) if *index < elements.len() => {
            elements.remove(*index);
            true
        }
        _ => false,
    }
}
