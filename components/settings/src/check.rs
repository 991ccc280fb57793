//! Collecting faults of meaning after a document has been read.

use std::net::SocketAddr;

use errors::DocumentFault;

use crate::FieldPositions;

/// Faults found so far, each at the place of its field.
#[derive(Debug)]
pub struct FaultList<'a> {
    places: &'a FieldPositions,
    faults: Vec<DocumentFault>,
}

impl<'a> FaultList<'a> {
    /// An empty list for the document indexed by `places`.
    #[must_use]
    pub fn new(places: &'a FieldPositions) -> Self {
        Self {
            places,
            faults: Vec::new(),
        }
    }

    /// Adds a fault unless `valid`.
    pub fn require(&mut self, valid: bool, path: &str, cause: &str) {
        if !valid {
            self.faults.push(self.places.fault(path, cause));
        }
    }

    /// Requires an IP number with a port.
    pub fn require_address(&mut self, address: &str, path: &str) {
        self.require(
            address.parse::<SocketAddr>().is_ok(),
            path,
            "expected an IP number with a port, such as 10.0.0.4:7100",
        );
    }

    /// Requires `value` within `low..=high`.
    pub fn require_range(&mut self, value: u64, low: u64, high: u64, path: &str) {
        self.require(
            (low..=high).contains(&value),
            path,
            &format!("expected a value from {low} to {high}"),
        );
    }

    /// Requires a SHA-256 digest in hexadecimal.
    pub fn require_digest(&mut self, digest: &str, path: &str) {
        let valid = digest.len() == 64 && digest.bytes().all(|byte| byte.is_ascii_hexdigit());
        self.require(
            valid,
            path,
            "expected a SHA-256 digest of 64 hexadecimal digits",
        );
    }

    /// Requires a name of letters, digits, `.`, `-` and `_`.
    pub fn require_name(&mut self, name: &str, path: &str) {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b".-_".contains(&byte);
        let valid = !name.is_empty() && name.len() <= 128 && name.bytes().all(allowed);
        self.require(
            valid,
            path,
            "expected 1 to 128 letters, digits, dots, hyphens or underscores",
        );
    }

    /// The faults, in the order of their places.
    #[must_use]
    pub fn into_faults(mut self) -> Vec<DocumentFault> {
        self.faults.sort_by_key(|fault| (fault.line, fault.column));
        self.faults
    }
}
