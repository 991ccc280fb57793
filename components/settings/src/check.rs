//! Validation of values after a document has been parsed.

use std::net::SocketAddr;

use errors::DocumentFault;

use crate::FieldPositions;

/// Collects validation faults, each with the position of its field.
#[derive(Debug)]
pub struct FaultList<'a> {
    positions: &'a FieldPositions,
    faults: Vec<DocumentFault>,
}

impl<'a> FaultList<'a> {
    /// Creates an empty list for the document that `positions` describes.
    #[must_use]
    pub fn new(positions: &'a FieldPositions) -> Self {
        Self {
            positions,
            faults: Vec::new(),
        }
    }

    /// Adds a fault with `cause` at the field `path` unless `valid`.
    pub fn require(&mut self, valid: bool, path: &str, cause: &str) {
        if !valid {
            self.faults.push(self.positions.fault(path, cause));
        }
    }

    /// Requires an IP address with a port; host names are not resolved.
    pub fn require_address(&mut self, address: &str, path: &str) {
        self.require(
            address.parse::<SocketAddr>().is_ok(),
            path,
            "expected an IP number with a port, such as 10.0.0.4:7100",
        );
    }

    /// Requires `value` to be in `low..=high`.
    pub fn require_range(&mut self, value: u64, low: u64, high: u64, path: &str) {
        self.require(
            (low..=high).contains(&value),
            path,
            &format!("expected a value from {low} to {high}"),
        );
    }

    /// Requires a SHA-256 digest of 64 hexadecimal digits.
    pub fn require_digest(&mut self, digest: &str, path: &str) {
        let valid = digest.len() == 64 && digest.bytes().all(|byte| byte.is_ascii_hexdigit());
        self.require(
            valid,
            path,
            "expected a SHA-256 digest of 64 hexadecimal digits",
        );
    }

    /// Requires a name of 1 to 128 ASCII letters, digits, `.`, `-` and `_`.
    pub fn require_name(&mut self, name: &str, path: &str) {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b".-_".contains(&byte);
        let valid = !name.is_empty() && name.len() <= 128 && name.bytes().all(allowed);
        self.require(
            valid,
            path,
            "expected 1 to 128 letters, digits, dots, hyphens or underscores",
        );
    }

    /// Returns the faults, sorted by line and column.
    #[must_use]
    pub fn into_faults(mut self) -> Vec<DocumentFault> {
        self.faults.sort_by_key(|fault| (fault.line, fault.column));
        self.faults
    }
}
